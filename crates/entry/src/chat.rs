//! `POST /v1/chat/completions`.

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

/// How many items of an answer may wait for a slow caller.
const ANSWER_BACKLOG: usize = 64;

/// A chat request as callers send it. Fields that it does not name are ignored,
/// since callers' libraries send many.
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

/// Answers a chat request.
#[post("/v1/chat/completions", data = "<data>")]
pub async fn chat(
    context: &State<Arc<EntryContext>>,
    head: CallerHeaders,
    data: Data<'_>,
) -> Result<AnswerResponse, Refusal> {
    // Held until the refusal's way is clear: a stopping entry waits for it.
    let _work = context.work.token();
    let mut body = CallerBody::new(context, data);
    let answer = begin(context.inner(), &head, &mut body).await;
    if let Err(refusal) = &answer {
        context.note_refusal(refusal);
        body.discard().await;
    }
    answer
}

async fn begin(
    context: &Arc<EntryContext>,
    head: &CallerHeaders,
    body: &mut CallerBody<'_>,
) -> Result<AnswerResponse, Refusal> {
    let work_token = context.work.token();
    let caller = context.admit(head)?;
    let body = body.read(head).await?;
    let chat: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is no chat request: {error}");
        head.refuse(RefusalCode::InvalidRequest, message)
    })?;
    let (service, unit) = context.service(head, &caller, &chat.model)?;
    let ServiceTarget::Model { model, max_tokens } = &unit.target else {
        let message = format!("`{service}` is no model: call `/v1/services/{service}/…`");
        return Err(head.refuse(RefusalCode::InvalidRequest, message));
    };
    if chat.messages.is_empty() {
        let message = "`messages` is empty: expected at least one";
        return Err(head.refuse(RefusalCode::InvalidRequest, message));
    }
    let asked = chat.max_tokens.map_or(*max_tokens, TokenCount::new);
    if asked == TokenCount::ZERO {
        let message = "`max_tokens` is 0: expected at least 1";
        return Err(head.refuse(RefusalCode::InvalidRequest, message));
    }
    let in_flight = context.begin_request();
    let prompt = chat.prompt();
    let content = format!("{service}\0{asked}\0{prompt}");
    let work = ModelWork {
        organisation: caller.organisation.clone(),
        model: model.clone(),
        max_tokens: asked.min(*max_tokens),
        priority: caller.options.priority.unwrap_or(unit.priority),
        deadline: context.now() + caller.options.deadline.unwrap_or(unit.deadline),
        progress_limit: unit.progress_limit,
        fingerprint: RequestFingerprint::with_content(&caller.organisation, content.as_bytes()),
        service: service.clone(),
        preemptible: unit.preemptible,
        limits: caller.limits(),
        prompt,
    };
    let (events_sender, events) = tokio::sync::mpsc::channel(ANSWER_BACKLOG);
    let attempts = head.attempts(WorkKind::Repeatable);
    let run = ModelRun::new(context.clone(), work, attempts, events_sender);
    let gone = tokio_util::sync::CancellationToken::new();
    context
        .work
        .spawn(run.run(gone.clone(), caller.ticket, in_flight));
    let format = match chat.stream {
        true => AnswerFormat::Sse,
        false => AnswerFormat::Json,
    };
    let answer_head = AnswerMetadata {
        request: head.request.clone(),
        organisation: caller.organisation,
        service,
    };
    let answer = AnswerBody::new(
        context.clone(),
        answer_head,
        format,
        events,
        gone,
        work_token,
    );
    answer.begin().await
}
