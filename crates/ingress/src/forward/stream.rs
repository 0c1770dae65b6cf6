//! Event streams that are forwarded to callers.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    placement::EndpointTarget,
    quarantine::SURVIVAL_TIME,
};
use bytes::Bytes;
use hyper::{Response, body::Frame, http::response::Parts};

use crate::{
    forward::{
        answer::end_to_end_headers,
        answer_end::AnswerEnd,
        attempt,
        connection::EndpointConnection,
        crashes,
        events::{EventReader, NextEvents},
        generate::GenerationRun,
        guards::RunGuard,
        request_log_line, resume, software,
    },
    frontend::{AnswerBody, StreamAborted, stream_body},
    memory::AnswerMemory,
};

/// A position in a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamPosition {
    /// When the position was reached.
    pub at: ClockTime,
    /// The id of the last event up to the position.
    pub last_id: u64,
}

/// How long a caller may leave events unread before the pace of its stream no longer shows
/// the pace of the engine.
const PACE_DELAY_LIMIT: TimeSpan = TimeSpan::from_millis(50);

/// How long a caller has to leave events unread before a later break of its stream is
/// attributed to that: engines end unread streams after some seconds, and the
/// events that they sent before then are still delivered.
const UNREAD_BREAK_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// Minimum number of events for a meaningful mean interval between events.
const MIN_TIMED_EVENTS: u64 = 3;

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct RunningStream {
    /// Status and headers.
    pub head: Parts,
    /// The reader of the following events.
    pub events: EventReader,
    /// The first events, until they are forwarded.
    pub first_events: Option<Bytes>,
    /// The position after the first events.
    pub first_position: StreamPosition,
    /// Whether this engine has written any event.
    pub has_events: bool,
    /// When the latest events arrived.
    pub last_event_at: ClockTime,
    /// How the end of the stream is known.
    pub end: AnswerEnd,
    /// Whether the stream ended after a complete event.
    pub is_complete: bool,
    /// The connection that carries the stream.
    pub connection: Option<EndpointConnection>,
    /// The engine that runs the request.
    pub target: EndpointTarget,
    /// Accounts for the events that the caller has not read yet.
    pub memory: AnswerMemory,
    /// Counts the request on the engine while the stream exists.
    pub _guard: RunGuard,
}

impl RunningStream {
    /// The mean interval between events in ms; `None` while there are too few events.
    fn mean_event_interval(&self) -> Option<f64> {
        let last_id = self.events.last_id().unwrap_or_default();
        let events = last_id.saturating_sub(self.first_position.last_id);
        let elapsed_ms = self.last_event_at.since(self.first_position.at).as_millis();
        (events >= MIN_TIMED_EVENTS).then(|| elapsed_ms as f64 / events as f64)
    }
}

struct StreamState {
    run: GenerationRun,
    running: RunningStream,
    has_ended: bool,
    /// Whether it is recorded that the prompt crashes no engine.
    has_survived: bool,
    /// When the last events were passed on to the caller.
    offered_at: Option<ClockTime>,
    /// The longest time for which the caller has left events unread.
    longest_unread: TimeSpan,
}

/// The id of the first event that an engine has written, for the log.
fn first_event_label(running: &RunningStream) -> String {
    let first = running.events.first_id();
    first.map_or("-".to_string(), |id| id.to_string())
}

/// Returns a response that forwards the stream to the caller.
pub fn into_response(run: GenerationRun, running: RunningStream) -> Response<AnswerBody> {
    let status = running.head.status;
    let headers = end_to_end_headers(&running.head.headers);
    let state = StreamState {
        run,
        running,
        has_ended: false,
        has_survived: false,
        offered_at: None,
        longest_unread: TimeSpan::ZERO,
    };
    // The response body owns the state. When the caller disconnects, the body is dropped
    // together with the connection to the engine, which stops the work there.
    let chunks = futures::stream::unfold(state, |mut state| async move {
        let chunk = state.next().await?;
        Some((chunk.map(Frame::data), state))
    });
    let mut response = Response::new(stream_body(chunks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl StreamState {
    /// The next events; called when the caller has room for them.
    async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
        self.note_caller_read();
        loop {
            if self.has_ended {
                return None;
            }
            if let Some(first_events) = self.running.first_events.take()
                && !first_events.is_empty()
            {
                return Some(self.offer(first_events).await);
            }
            if self.running.is_complete {
                self.finish();
                return None;
            }
            let remaining = self.run.request.time_left(self.run.context.now());
            match self.next_events(remaining).await {
                NextEvents::Events { bytes } => {
                    self.running.last_event_at = self.run.context.now();
                    self.note_survival();
                    return Some(self.offer(bytes).await);
                }
                NextEvents::End => self.running.is_complete = true,
                NextEvents::TimedOut => return Some(Err(self.abort("timed_out"))),
                NextEvents::Broken => {
                    let is_engine_fault = self.longest_unread < UNREAD_BREAK_DELAY;
                    if !self.resume(is_engine_fault).await {
                        let outcome = match is_engine_fault {
                            true => "endpoint_failed",
                            false => "not_read",
                        };
                        return Some(Err(self.abort(outcome)));
                    }
                }
            }
        }
    }

    /// Waits for the next events. A stream that ended unmarked with its engine counts as broken.
    async fn next_events(&mut self, remaining: TimeSpan) -> NextEvents {
        let next = self.running.events.next(remaining.as_duration()).await;
        if next != NextEvents::End {
            return next;
        }
        let context = &self.run.context;
        let remaining = self.run.request.time_left(context.now());
        let RunningStream { end, target, .. } = &self.running;
        let service = &self.run.request.service;
        match end.is_whole(context, service, target, remaining).await {
            true => NextEvents::End,
            false => NextEvents::Broken,
        }
    }

    /// Records once that the engine has been writing for long enough to show that the prompt does not
    /// crash it.
    fn note_survival(&mut self) {
        let running = &mut self.running;
        let written_for = running.last_event_at.since(running.first_position.at);
        if running.has_events && !self.has_survived && written_for >= SURVIVAL_TIME {
            self.has_survived = true;
            crashes::note_answered(&self.run.context, &self.run.request);
        }
        running.has_events = true;
    }

    /// Records that the caller has room for further events.
    fn note_caller_read(&mut self) {
        let now = self.run.context.now();
        if let Some(at) = self.offered_at.take() {
            self.longest_unread = self.longest_unread.max(now.since(at));
        }
    }

    /// Passes events on to the caller as soon as there is memory for them.
    async fn offer(&mut self, events: Bytes) -> Result<Bytes, StreamAborted> {
        let now = self.run.context.now();
        let remaining = self.run.request.time_left(now).as_duration();
        let held = tokio::time::timeout(remaining, self.running.memory.hold(events)).await;
        let Ok(events) = held else {
            return Err(self.abort("out_of_memory"));
        };
        self.running.memory.offer();
        self.offered_at = Some(self.run.context.now());
        Ok(events)
    }

    /// Continues the stream on another engine. The connection to the failed engine is
    /// closed first, so that two engines do not run the request at the same time.
    async fn resume(&mut self, is_engine_fault: bool) -> bool {
        self.running.connection = None;
        let remaining = self.run.request.time_left(self.run.context.now());
        if remaining == TimeSpan::ZERO {
            return false;
        }
        let order = self.running.events.order();
        let failed = self.running.target.clone();
        match self.run.resume(&failed, is_engine_fault, order).await {
            Some(running) => {
                request_log_line(&self.run.context, "stream_resumed", &self.run.request)
                    .with("from", failed.id)
                    .with("to", &running.target.id)
                    .with("software", software(&self.run.context, &running.target.id))
                    .with("after_event", order.last_id().unwrap_or_default())
                    .with("next_event", first_event_label(&running))
                    .info();
                self.running = running;
                true
            }
            None => false,
        }
    }

    fn finish(&mut self) {
        self.has_ended = true;
        self.run.end();
        let context = &self.run.context;
        crashes::note_completed(context, &self.run.request);
        if self.running.has_events && self.running.end.is_marked() {
            crashes::note_answered(context, &self.run.request);
        }
        resume::note_ended(context, &self.run.request);
        if let Some(connection) = self.running.connection.take() {
            attempt::return_to_pool(context, &self.running.target, connection);
        }
        let now = context.now();
        let event_ms = self.running.mean_event_interval();
        if let Some(event_ms) = event_ms.filter(|_| self.longest_unread <= PACE_DELAY_LIMIT) {
            let service = &self.run.request.service;
            let mut demands = context.demands.lock();
            demands.note_stream_pace(now, service, event_ms);
        }
        context
            .engines
            .lock()
            .succeeded(now, &self.running.target.id);
        context
            .metrics
            .answers
            .with_label_values(&["model", "answered"])
            .inc();
        request_log_line(context, "stream_ended", &self.run.request)
            .with("run", &self.running.target.id)
            .with("end", self.running.end.as_str())
            .with("asked", self.run.calls)
            .info();
    }

    fn abort(&mut self, outcome: &str) -> StreamAborted {
        self.has_ended = true;
        self.run.end();
        let context = &self.run.context;
        context
            .metrics
            .answers
            .with_label_values(&["model", outcome])
            .inc();
        request_log_line(context, "stream_broken_off", &self.run.request)
            .with("run", &self.running.target.id)
            .with("reason", outcome)
            .with(
                "last_event",
                self.running.events.last_id().unwrap_or_default(),
            )
            .info();
        StreamAborted
    }
}
