//! Splits the event stream of an answer into complete server-sent events.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::forward::event_order::{EventJoin, EventOrder, UnjoinedEvent};

/// Maximum size of an event in bytes; a stream with a larger one is treated as broken.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Result of a read from an event stream.
#[derive(Debug, PartialEq, Eq)]
pub enum NextEvents {
    /// One or more complete events.
    Events {
        /// The bytes of the events, unchanged.
        bytes: Bytes,
    },
    /// The stream ended after a complete event.
    End,
    /// The connection failed, the stream ended within an event, an event exceeds the size
    /// limit, or the events do not continue those that were delivered before.
    Broken,
    /// No complete event arrived within the timeout.
    TimedOut,
}

/// Splits received bytes into complete events with increasing ids.
///
/// An endpoint may fail in the middle of an event, and another one then continues after
/// the last complete event. A partial event that was already forwarded to the caller
/// could not be withdrawn.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The start of the line that is not complete yet, and the end of what was searched for line
    /// ends. An event that arrives in small pieces is not searched again for each of them.
    line_start: usize,
    searched: usize,
    order: EventOrder,
    first_id: Option<u64>,
    /// Whether events continue those that were delivered before.
    is_joined: bool,
    unjoined: Option<UnjoinedEvent>,
}

impl EventSplitter {
    /// Creates a splitter that drops the events of `order`, which were delivered already.
    pub fn new(order: EventOrder) -> EventSplitter {
        EventSplitter {
            order,
            ..EventSplitter::default()
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The events that were taken or delivered before.
    pub fn order(&self) -> EventOrder {
        self.order
    }

    /// The id of the first event that was taken.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// The event that does not continue those that were delivered before, if one has arrived.
    pub fn unjoined(&self) -> Option<UnjoinedEvent> {
        self.unjoined
    }

    /// Whether the buffered event exceeds the size limit.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Removes all complete events from the buffer and returns them. An event whose id
    /// does not increase is a duplicate and is dropped. An event that does not continue those that
    /// were delivered before is not returned, nor is any after it.
    pub fn take_events(&mut self) -> Option<Bytes> {
        let mut events = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buffer.split_to(end);
            if !self.is_joined {
                match self.order.join(&event) {
                    EventJoin::Next => self.is_joined = true,
                    EventJoin::Skipped => continue,
                    EventJoin::Unjoined(unjoined) => {
                        self.unjoined = Some(unjoined);
                        return None;
                    }
                }
            }
            let last_id = self.order.last_id();
            if !self.order.add(&event) {
                continue;
            }
            if self.order.last_id() != last_id {
                self.first_id = self.first_id.or(self.order.last_id());
            }
            if events.is_empty() {
                events = event;
            } else {
                events.extend_from_slice(&event);
            }
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    /// Returns the index after the first event, which ends with an empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(offset) = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + offset;
            let line = &self.buffer[self.line_start..line_end];
            if line.is_empty() || line == b"\r" {
                (self.line_start, self.searched) = (0, 0);
                return Some(line_end + 1);
            }
            (self.line_start, self.searched) = (line_end + 1, line_end + 1);
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventReader {
    /// Creates a reader that skips the events of `order`, which were delivered already.
    pub fn new(body: Incoming, order: EventOrder) -> EventReader {
        EventReader {
            body,
            splitter: EventSplitter::new(order),
        }
    }

    /// The events that were read or delivered before.
    pub fn order(&self) -> EventOrder {
        self.splitter.order()
    }

    /// The id of the last event that was read, or of the last one delivered before.
    pub fn last_id(&self) -> Option<u64> {
        self.order().last_id()
    }

    /// The id of the first event that was read.
    pub fn first_id(&self) -> Option<u64> {
        self.splitter.first_id()
    }

    /// The event that does not continue those that were delivered before, if one was read.
    pub fn unjoined(&self) -> Option<UnjoinedEvent> {
        self.splitter.unjoined()
    }

    /// Waits up to `timeout` for the next complete events.
    pub async fn next(&mut self, timeout: Duration) -> NextEvents {
        let read = async {
            loop {
                match self.body.frame().await {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else {
                            continue;
                        };
                        self.splitter.push(&bytes);
                        if let Some(bytes) = self.splitter.take_events() {
                            return NextEvents::Events { bytes };
                        }
                        if self.splitter.exceeds_limit() || self.unjoined().is_some() {
                            return NextEvents::Broken;
                        }
                    }
                    Some(Err(_)) => return NextEvents::Broken,
                    None if self.splitter.has_partial_event() => return NextEvents::Broken,
                    None => return NextEvents::End,
                }
            }
        };
        let next = tokio::time::timeout(timeout, read).await;
        next.unwrap_or(NextEvents::TimedOut)
    }
}
