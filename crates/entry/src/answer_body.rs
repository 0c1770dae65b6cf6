//! The HTTP body of a model's answer: server-sent events or one JSON document.
//!
//! Rocket detects a closed connection only when it writes. While the engine is
//! still processing the prompt there is nothing to write, so the engine would
//! continue after its caller disconnected, visible only as engine load. Both
//! formats therefore write filler at each heartbeat: a comment line between
//! events, or a space before the JSON document, where whitespace is allowed. When
//! a write fails, Rocket drops the body, and dropping the body cancels the run.

use std::{collections::VecDeque, io::Cursor, sync::Arc};

use bluebell_core::ids::{OrganisationId, RequestId, ServiceName};
use bluebell_endpoint::api::FinishReason;
use rocket::{
    Request, Response,
    http::{ContentType, Header},
    response::{Responder, stream::ReaderStream},
};
use serde_json::json;
use tokio::{sync::mpsc, time::Interval};
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::task_tracker::TaskTrackerToken,
};

use crate::{
    context::EntryContext,
    delivered::DeliveryTicket,
    metering::UsageOwner,
    model_run::{AnswerEnd, AnswerEvent},
    refusal::{Refusal, RefusalCode},
};

/// The format of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Server-sent events, one per token.
    Sse,
    /// One JSON document.
    Json,
}

/// Identifies the request that an answer belongs to.
#[derive(Clone, Debug)]
pub struct AnswerMetadata {
    /// The id of the request.
    pub request: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The service that was requested.
    pub service: ServiceName,
}

/// The body of an answer that is being sent.
pub struct AnswerBody {
    context: Arc<EntryContext>,
    metadata: AnswerMetadata,
    format: AnswerFormat,
    events: mpsc::Receiver<AnswerEvent>,
    queued: VecDeque<AnswerEvent>,
    text: String,
    tokens: u64,
    delivery: DeliveryTicket,
    heartbeat: Interval,
    ended: bool,
    _cancel_on_drop: DropGuard,
    _tracker_token: TaskTrackerToken,
}

impl AnswerBody {
    /// Creates a body that is filled from `events`; dropping it cancels `cancel`.
    pub fn new(
        context: Arc<EntryContext>,
        metadata: AnswerMetadata,
        format: AnswerFormat,
        events: mpsc::Receiver<AnswerEvent>,
        cancel: CancellationToken,
        tracker_token: TaskTrackerToken,
    ) -> AnswerBody {
        let period = context.settings.requests.heartbeat.as_duration();
        let mut heartbeat = tokio::time::interval(period);
        let owner = UsageOwner {
            organisation: metadata.organisation.clone(),
            service: metadata.service.clone(),
        };
        let delivery = DeliveryTicket::new(context.clone(), owner);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        AnswerBody {
            context,
            metadata,
            format,
            events,
            queued: VecDeque::new(),
            text: String::new(),
            tokens: 0,
            delivery,
            heartbeat,
            ended: false,
            _cancel_on_drop: cancel.drop_guard(),
            _tracker_token: tracker_token,
        }
    }

    /// Waits up to `requests.commit_after` for a refusal, which is then sent with its
    /// own HTTP status; otherwise starts the response. The wait is bounded because
    /// a caller that disconnects during it is not detected.
    pub async fn open(mut self) -> Result<AnswerResponse, Refusal> {
        let wait = self.context.settings.requests.commit_after.as_duration();
        let outcome = tokio::time::timeout(wait, self.buffer_until_decided()).await;
        match outcome {
            Ok(Some(refusal)) => Err(refusal),
            Ok(None) | Err(_) => Ok(AnswerResponse { body: self }),
        }
    }

    /// Buffers events until the response can be started; returns a refusal that comes
    /// first.
    async fn buffer_until_decided(&mut self) -> Option<Refusal> {
        loop {
            let event = self.events.recv().await?;
            match event {
                AnswerEvent::Failed(refusal) if self.queued.is_empty() => return Some(refusal),
                AnswerEvent::Token(_) if self.format == AnswerFormat::Json => {
                    self.queued.push_back(event);
                }
                _ => {
                    self.queued.push_back(event);
                    return None;
                }
            }
        }
    }

    async fn next_chunk(&mut self) -> Option<String> {
        self.delivery.count_pending();
        if self.ended {
            return None;
        }
        loop {
            if let Some(event) = self.queued.pop_front() {
                if let Some(chunk) = self.encode(event) {
                    return Some(chunk);
                }
                continue;
            }
            tokio::select! {
                biased;
                event = self.events.recv() => {
                    let event = event.unwrap_or_else(|| self.missing_end());
                    self.queued.push_back(event);
                }
                _ = self.heartbeat.tick() => return Some(self.heartbeat_chunk()),
            }
        }
    }

    /// The failure sent when the run stopped without an end event. This is an
    /// internal error, which the caller must not mistake for the answer's end.
    fn missing_end(&self) -> AnswerEvent {
        AnswerEvent::Failed(Refusal {
            code: RefusalCode::Internal,
            message: "internal error: the run stopped without completing the answer".to_string(),
            ran: bluebell_core::attempts::RunOutcome::Unknown,
            request: self.metadata.request.clone(),
            retry_after: None,
        })
    }

    fn heartbeat_chunk(&self) -> String {
        match self.format {
            AnswerFormat::Sse => ": waiting\n\n".to_string(),
            AnswerFormat::Json => " ".to_string(),
        }
    }

    fn encode(&mut self, event: AnswerEvent) -> Option<String> {
        match (event, self.format) {
            (AnswerEvent::Token(text), AnswerFormat::Json) => {
                self.tokens += 1;
                self.text.push_str(&text);
                None
            }
            (AnswerEvent::Token(text), AnswerFormat::Sse) => {
                self.tokens += 1;
                self.delivery.note_pending(0, 1);
                Some(self.sse_chunk(&json!({"content": text}), None, None))
            }
            (AnswerEvent::End(end), format) => {
                self.ended = true;
                let prompt_tokens = end.prompt_tokens.count();
                Some(match format {
                    AnswerFormat::Sse => {
                        self.delivery.note_pending(prompt_tokens, 0);
                        self.sse_end(end)
                    }
                    AnswerFormat::Json => {
                        self.delivery.note_pending(prompt_tokens, self.tokens);
                        self.json_answer(end)
                    }
                })
            }
            (AnswerEvent::Failed(refusal), format) => {
                self.ended = true;
                Some(match format {
                    AnswerFormat::Sse => format!("event: error\ndata: {}\n\n", refusal.json()),
                    AnswerFormat::Json => refusal.json(),
                })
            }
        }
    }

    fn usage(&self, end: AnswerEnd) -> serde_json::Value {
        json!({
            "prompt_tokens": end.prompt_tokens.count(),
            "completion_tokens": self.tokens,
            "total_tokens": end.prompt_tokens.count() + self.tokens,
            "prompt_tokens_details": {"cached_tokens": end.cached_tokens.count()},
        })
    }

    fn sse_chunk(
        &self,
        delta: &serde_json::Value,
        finish: Option<&str>,
        usage: Option<&serde_json::Value>,
    ) -> String {
        let mut chunk = json!({
            "id": self.metadata.request,
            "object": "chat.completion.chunk",
            "model": self.metadata.service,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage.clone();
        }
        format!("data: {chunk}\n\n")
    }

    fn sse_end(&self, end: AnswerEnd) -> String {
        let usage = self.usage(end);
        let last = self.sse_chunk(&json!({}), Some(finish_text(end.finish)), Some(&usage));
        format!("{last}data: [DONE]\n\n")
    }

    fn json_answer(&self, end: AnswerEnd) -> String {
        let message = json!({"role": "assistant", "content": self.text});
        let finish = finish_text(end.finish);
        json!({
            "id": self.metadata.request,
            "object": "chat.completion",
            "model": self.metadata.service,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
            "usage": self.usage(end),
        })
        .to_string()
    }
}

fn finish_text(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Prefilled => "prefilled",
        FinishReason::Cancelled => "cancelled",
    }
}

/// The HTTP response that streams an answer.
pub struct AnswerResponse {
    body: AnswerBody,
}

impl<'r> Responder<'r, 'static> for AnswerResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let content_type = match self.body.format {
            AnswerFormat::Sse => ContentType::EventStream,
            AnswerFormat::Json => ContentType::JSON,
        };
        let chunks = futures::stream::unfold(self.body, |mut body| async move {
            let chunk = body.next_chunk().await?;
            Some((Cursor::new(chunk), body))
        });
        Response::build()
            .header(content_type)
            .header(Header::new("Cache-Control", "no-cache"))
            .streamed_body(ReaderStream::from(Box::pin(chunks)))
            .ok()
    }
}
