//! A model's answer as its caller reads it: server-sent events, or one JSON text.
//!
//! Rocket notices that a caller has gone only when it writes. An answer whose
//! engine is still at the prompt has nothing to write, so the engine would work
//! on for nobody, and nothing would show but its load. Both formats therefore
//! write a sign of life at each heartbeat: a comment line between events, a
//! blank before the JSON text (which may start with blanks). When writing fails,
//! Rocket drops the body, and dropping it cancels the run.

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

/// How an answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Server-sent events, one for each token.
    Sse,
    /// One JSON text.
    Json,
}

/// What the answer belongs to.
#[derive(Clone, Debug)]
pub struct AnswerMetadata {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// What it asked.
    pub service: ServiceName,
}

/// An answer on its way.
pub struct AnswerBody {
    context: Arc<EntryContext>,
    head: AnswerMetadata,
    format: AnswerFormat,
    events: mpsc::Receiver<AnswerEvent>,
    queued: VecDeque<AnswerEvent>,
    text: String,
    tokens: u64,
    delivery: DeliveryTicket,
    heartbeat: Interval,
    ended: bool,
    _gone: DropGuard,
    _work: TaskTrackerToken,
}

impl AnswerBody {
    /// The body that `events` fill; dropping it cancels `gone`.
    pub fn new(
        context: Arc<EntryContext>,
        head: AnswerMetadata,
        format: AnswerFormat,
        events: mpsc::Receiver<AnswerEvent>,
        gone: CancellationToken,
        work: TaskTrackerToken,
    ) -> AnswerBody {
        let period = context.settings.requests.heartbeat.as_duration();
        let mut heartbeat = tokio::time::interval(period);
        let owner = UsageOwner {
            organisation: head.organisation.clone(),
            service: head.service.clone(),
        };
        let delivery = DeliveryTicket::new(context.clone(), owner);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        AnswerBody {
            context,
            head,
            format,
            events,
            queued: VecDeque::new(),
            text: String::new(),
            tokens: 0,
            delivery,
            heartbeat,
            ended: false,
            _gone: gone.drop_guard(),
            _work: work,
        }
    }

    /// Waits a short while for a refusal, which then has its own HTTP status, and
    /// otherwise opens the answer. The wait is bounded because a caller who goes
    /// away meanwhile is not noticed.
    pub async fn begin(mut self) -> Result<AnswerResponse, Refusal> {
        let wait = self.context.settings.requests.commit_after.as_duration();
        let decided = tokio::time::timeout(wait, self.gather()).await;
        match decided {
            Ok(Some(refusal)) => Err(refusal),
            Ok(None) | Err(_) => Ok(AnswerResponse { body: self }),
        }
    }

    /// Gathers events until it is clear that the answer can be opened.
    async fn gather(&mut self) -> Option<Refusal> {
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
                if let Some(chunk) = self.write(event) {
                    return Some(chunk);
                }
                continue;
            }
            tokio::select! {
                biased;
                event = self.events.recv() => {
                    let event = event.unwrap_or_else(|| self.run_lost());
                    self.queued.push_back(event);
                }
                _ = self.heartbeat.tick() => return Some(self.sign_of_life()),
            }
        }
    }

    /// The run ended without a word: a fault of ours, which the caller must not
    /// take for the answer's end.
    fn run_lost(&self) -> AnswerEvent {
        AnswerEvent::Failed(Refusal {
            code: RefusalCode::Internal,
            message: "the answer was lost by a fault of this program".to_string(),
            ran: bluebell_core::attempts::RunOutcome::Unknown,
            request: self.head.request.clone(),
            retry_after: None,
        })
    }

    fn sign_of_life(&self) -> String {
        match self.format {
            AnswerFormat::Sse => ": waiting\n\n".to_string(),
            AnswerFormat::Json => " ".to_string(),
        }
    }

    fn write(&mut self, event: AnswerEvent) -> Option<String> {
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
                        self.whole(end)
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
            "id": self.head.request,
            "object": "chat.completion.chunk",
            "model": self.head.service,
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

    fn whole(&self, end: AnswerEnd) -> String {
        let message = json!({"role": "assistant", "content": self.text});
        let finish = finish_text(end.finish);
        json!({
            "id": self.head.request,
            "object": "chat.completion",
            "model": self.head.service,
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

/// An answer that is being opened.
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
