//! The events of a stream, whole ones only.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The longest event; a longer one is taken for a broken stream.
const EVENT_LIMIT: usize = 1_024 * 1_024;

/// What comes next in a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum NextEvents {
    /// One or more whole events, and the id of the last one.
    Events {
        /// Their bytes, as they came.
        bytes: Bytes,
        /// The id of the last of them that had one.
        last_id: Option<u64>,
    },
    /// The stream came to its proper end.
    End,
    /// It broke off, or is not a stream of events.
    Broken,
    /// Nothing came in the time allowed.
    Silent,
}

/// Splits what arrives into whole events whose ids rise.
///
/// An endpoint may stop in the middle of an event, and go on elsewhere from the
/// last whole one; a piece of an event that went on to the caller could not be
/// taken back.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Events with an id up to `last_id` were delivered already.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Adds what arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an event has begun and not ended.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The id of the last event that was taken.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether more is held than an event may have.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT
    }

    /// Takes all whole events. Those whose id does not rise came twice and are
    /// left out.
    pub fn take(&mut self) -> Option<Bytes> {
        let mut taken = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            match event_id(&event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last_id = Some(id),
                None => {}
            }
            if taken.is_empty() {
                taken = event;
            } else {
                taken.extend_from_slice(&event);
            }
        }
        (!taken.is_empty()).then(|| taken.freeze())
    }
}

/// Where the first event ends: after an empty line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventReader {
    /// Reads `body`; events up to `last_id` were delivered already.
    pub fn new(body: Incoming, last_id: Option<u64>) -> EventReader {
        EventReader {
            body,
            splitter: EventSplitter::new(last_id),
        }
    }

    /// The id of the last event that was read.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Waits for the next events.
    pub async fn next(&mut self, patience: Duration) -> NextEvents {
        let read = async {
            loop {
                match self.body.frame().await {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else {
                            continue;
                        };
                        self.splitter.push(&bytes);
                        if let Some(bytes) = self.splitter.take() {
                            let last_id = self.splitter.last_id();
                            return NextEvents::Events { bytes, last_id };
                        }
                        if self.splitter.is_too_long() {
                            return NextEvents::Broken;
                        }
                    }
                    Some(Err(_)) => return NextEvents::Broken,
                    None if self.splitter.has_rest() => return NextEvents::Broken,
                    None => return NextEvents::End,
                }
            }
        };
        let next = tokio::time::timeout(patience, read).await;
        next.unwrap_or(NextEvents::Silent)
    }
}
