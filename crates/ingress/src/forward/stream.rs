//! Streams on their way to the caller.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    placement::EndpointTarget,
};
use bytes::Bytes;
use hyper::{
    Response,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
    http::response::Parts,
};

use crate::{
    forward::{
        answer::caller_headers,
        attempt,
        connection::EndpointConnection,
        events::{EventReader, NextEvents},
        generate::GenerationRun,
        guards::RunGuard,
        request_line,
    },
    frontend::{AnswerBody, StreamBroken, stream_body},
};

/// A point of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamMark {
    /// When it was reached.
    pub at: ClockTime,
    /// The id of the last event up to there.
    pub last_id: u64,
}

/// From how many events on the pace of a stream says something.
const PACED_EVENTS: u64 = 3;

/// A stream whose first events are there.
#[derive(Debug)]
pub struct RunningStream {
    /// Status and headers.
    pub head: Parts,
    /// What comes.
    pub events: EventReader,
    /// The first events, until they are delivered.
    pub first: Option<Bytes>,
    /// When they came, and the id of the last of them.
    pub began: StreamMark,
    /// When the newest events came.
    pub reached_at: ClockTime,
    /// Whether the stream ended with its first events.
    pub is_complete: bool,
    /// The connection that it comes on.
    pub connection: Option<EndpointConnection>,
    /// The engine.
    pub target: EndpointTarget,
    /// Its entry in the books.
    pub _guard: RunGuard,
}

/// Whether the answer is a stream of events.
pub fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

impl RunningStream {
    /// The time between two events on average, in ms.
    fn event_ms(&self) -> Option<f64> {
        let last_id = self.events.last_id().unwrap_or_default();
        let events = last_id.saturating_sub(self.began.last_id);
        let took = self.reached_at.since(self.began.at).as_millis();
        (events >= PACED_EVENTS).then(|| took as f64 / events as f64)
    }
}

struct StreamState {
    run: GenerationRun,
    running: RunningStream,
    is_over: bool,
}

/// The answer that passes the stream on.
pub fn into_response(run: GenerationRun, running: RunningStream) -> Response<AnswerBody> {
    let status = running.head.status;
    let headers = caller_headers(&running.head.headers);
    let state = StreamState {
        run,
        running,
        is_over: false,
    };
    // The state lives in the body: a caller who leaves drops it, and with it the
    // connection to the engine, which stops the work there.
    let pieces = futures::stream::unfold(state, |mut state| async move {
        let piece = state.next().await?;
        Some((piece.map(Frame::data), state))
    });
    let mut response = Response::new(stream_body(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl StreamState {
    async fn next(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        loop {
            if self.is_over {
                return None;
            }
            if let Some(first) = self.running.first.take()
                && !first.is_empty()
            {
                return Some(Ok(first));
            }
            if self.running.is_complete {
                self.finish();
                return None;
            }
            let left = self.run.request.time_left(self.run.context.now());
            match self.running.events.next(left.as_duration()).await {
                NextEvents::Events { bytes, .. } => {
                    self.running.reached_at = self.run.context.now();
                    return Some(Ok(bytes));
                }
                NextEvents::End => self.running.is_complete = true,
                NextEvents::Silent => return Some(Err(self.break_off("timed_out"))),
                NextEvents::Broken if !self.resume().await => {
                    return Some(Err(self.break_off("endpoint_failed")));
                }
                NextEvents::Broken => {}
            }
        }
    }

    /// Goes on elsewhere. The connection to the engine is closed first, so that
    /// two don't work on one request.
    async fn resume(&mut self) -> bool {
        self.running.connection = None;
        let left = self.run.request.time_left(self.run.context.now());
        if left == TimeSpan::ZERO {
            return false;
        }
        let last_id = self.running.events.last_id();
        let failed = self.running.target.id.clone();
        match self.run.resume(&failed, last_id).await {
            Some(running) => {
                request_line(&self.run.context, "stream_resumed", &self.run.request)
                    .with("from", failed)
                    .with("to", &running.target.id)
                    .with("after_event", last_id.unwrap_or_default())
                    .info();
                self.running = running;
                true
            }
            None => false,
        }
    }

    fn finish(&mut self) {
        self.is_over = true;
        self.run.end();
        let context = &self.run.context;
        if let Some(connection) = self.running.connection.take() {
            attempt::keep(context, &self.running.target, connection);
        }
        let now = context.now();
        if let Some(event_ms) = self.running.event_ms() {
            let service = &self.run.request.service;
            let mut demands = context.demands.lock();
            demands.stream_paced(now, service, event_ms);
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
        request_line(context, "stream_ended", &self.run.request)
            .with("run", &self.running.target.id)
            .with("asked", self.run.asked)
            .info();
    }

    fn break_off(&mut self, outcome: &str) -> StreamBroken {
        self.is_over = true;
        self.run.end();
        let context = &self.run.context;
        context
            .metrics
            .answers
            .with_label_values(&["model", outcome])
            .inc();
        request_line(context, "stream_broken_off", &self.run.request)
            .with("run", &self.running.target.id)
            .with("reason", outcome)
            .with(
                "last_event",
                self.running.events.last_id().unwrap_or_default(),
            )
            .info();
        StreamBroken
    }
}
