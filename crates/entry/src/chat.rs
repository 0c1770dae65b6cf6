//! The handler of `POST /v1/chat/completions`.

use std::sync::Arc;

use bluebell_core::{
    attempts::WorkKind, config::ServiceTarget, ids::RequestFingerprint, units::TokenCount,
};
use rocket::{Data, State, post};
use serde::Deserialize;

use crate::{
    answer_body::{AnswerBody, AnswerFormat, AnswerMetadata, AnswerResponse},
    body::CallerBody,
    caller::CallerHeaders,
    context::EntryContext,
    model_run::{ModelRun, ModelWork},
    refusal::{Refusal, RefusalCode},
};

/// How many events of an answer are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// The body of a chat request. Unknown fields are ignored, because client
/// libraries send many.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl ChatRequest {
    fn prompt(&self) -> String {
        let lines = self.messages.iter();
        let lines = lines.map(|message| format!("{}: {}\n", message.role, message.content));
        lines.collect()
    }
}

/// Handles a chat request; refusals have an HTTP status and a JSON body.
#[post("/v1/chat/completions", data = "<data>")]
pub async fn chat(
    context: &State<Arc<EntryContext>>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> Result<AnswerResponse, Refusal> {
    // Held until a refused body has been discarded: a stopping entry waits for it.
    let _work = context.work.token();
    let mut body = CallerBody::new(context, data);
    let answer = begin(context.inner(), &headers, &mut body).await;
    if let Err(refusal) = &answer {
        context.note_refusal(refusal);
        body.discard().await;
    }
    answer
}

async fn begin(
    context: &Arc<EntryContext>,
    headers: &CallerHeaders,
    body: &mut CallerBody<'_>,
) -> Result<AnswerResponse, Refusal> {
    let work_token = context.work.token();
    let caller = context.admit(headers)?;
    let body = body.read(headers).await?;
    let chat: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a valid chat request: {error}");
        headers.refuse(RefusalCode::InvalidRequest, message)
    })?;
    let (service, unit) = context.service(headers, &caller, &chat.model)?;
    let ServiceTarget::Model { model, max_tokens } = &unit.target else {
        let message = format!("`{service}` is not a model: call `/v1/services/{service}/…`");
        return Err(headers.refuse(RefusalCode::InvalidRequest, message));
    };
    if chat.messages.is_empty() {
        let message = "`messages` is empty: expected at least one message";
        return Err(headers.refuse(RefusalCode::InvalidRequest, message));
    }
    let max_tokens_requested = chat.max_tokens.map_or(*max_tokens, TokenCount::new);
    if max_tokens_requested == TokenCount::ZERO {
        let message = "`max_tokens` is 0: expected at least 1";
        return Err(headers.refuse(RefusalCode::InvalidRequest, message));
    }
    let in_flight = context.begin_request();
    let prompt = chat.prompt();
    let content = format!("{service}\0{max_tokens_requested}\0{prompt}");
    let work = ModelWork {
        organisation: caller.organisation.clone(),
        model: model.clone(),
        max_tokens: max_tokens_requested.min(*max_tokens),
        priority: caller.options.priority.unwrap_or(unit.priority),
        deadline: context.now() + caller.options.deadline.unwrap_or(unit.deadline),
        progress_limit: unit.progress_limit,
        fingerprint: RequestFingerprint::with_content(&caller.organisation, content.as_bytes()),
        service: service.clone(),
        preemptible: unit.preemptible,
        limits: caller.limits(),
        prompt,
    };
    let (events_sender, events) = tokio::sync::mpsc::channel(EVENT_BUFFER);
    let attempts = headers.attempts(WorkKind::Repeatable);
    let run = ModelRun::new(context.clone(), work, attempts, events_sender);
    let cancel = tokio_util::sync::CancellationToken::new();
    context
        .work
        .spawn(run.run(cancel.clone(), caller.ticket, in_flight));
    let format = match chat.stream {
        true => AnswerFormat::Sse,
        false => AnswerFormat::Json,
    };
    let metadata = AnswerMetadata {
        request: headers.request.clone(),
        organisation: caller.organisation,
        service,
    };
    let answer = AnswerBody::new(
        context.clone(),
        metadata,
        format,
        events,
        cancel,
        work_token,
    );
    answer.open().await
}
