//! `POST /generate` and `POST /cancel`: work in, a stream of items out.

use bluebell_core::{clock::TimeSpan, records::EngineRole, units::TokenCount};
use bluebell_endpoint::{
    api::{CancelRequest, FinishReason, GenerateRequest, StreamItem},
    reference::{ReferenceAnswer, natural_length, prefix_digests, prompt_tokens},
};
use rocket::{
    Responder, Route, State,
    http::{Header, Status},
    post,
    request::{FromRequest, Outcome},
    response::stream::ByteStream,
    routes,
    serde::json::Json,
};
use tokio::sync::mpsc;

use crate::{
    batch::BatchSequence,
    faults::StreamFault,
    history::EngineEvent,
    power::PoweredOn,
    state::{EngineParts, EngineState, SharedState},
    stream::AnswerStream,
};

/// How much of a prompt the history keeps, in characters.
const KEPT_PROMPT: usize = 1_024;

/// When to come back to an engine whose queue is full or that refuses.
const RETRY_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// Work that was refused and did not run.
#[derive(Responder)]
pub(crate) struct WorkRefusal {
    body: (Status, String),
    retry_after: Header<'static>,
}

impl WorkRefusal {
    fn new(status: Status, message: &str, retry_after: TimeSpan) -> WorkRefusal {
        let seconds = retry_after.as_secs_ceil().to_string();
        WorkRefusal {
            body: (status, message.to_string()),
            retry_after: Header::new("Retry-After", seconds),
        }
    }
}

/// All headers of a call, for the history.
pub(crate) struct CallHeaders(Vec<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r rocket::Request<'_>) -> Outcome<CallHeaders, Self::Error> {
        let headers = request.headers().iter();
        let lines = headers.map(|header| format!("{}: {}", header.name, header.value));
        Outcome::Success(CallHeaders(lines.collect()))
    }
}

/// Why the engine does not take this work, if it does not.
fn refusal(
    state: &EngineState,
    parts: &EngineParts,
    work: &GenerateRequest,
) -> Option<WorkRefusal> {
    let now = state.clock.now();
    if let Some(left) = parts.orders.change_left(now) {
        let message = "a change of role or model is under way";
        return Some(WorkRefusal::new(Status::ServiceUnavailable, message, left));
    }
    if parts.faults.refuse_all {
        let message = "the engine refuses all work";
        return Some(WorkRefusal::new(
            Status::ServiceUnavailable,
            message,
            RETRY_PAUSE,
        ));
    }
    if *parts.orders.model() != work.model {
        let message = format!("the engine serves `{}`", parts.orders.model());
        return Some(WorkRefusal::new(Status::Conflict, &message, RETRY_PAUSE));
    }
    let role = parts.orders.role();
    let fits = match role {
        EngineRole::Mixed => true,
        EngineRole::Prefill => work.prefill_only,
        EngineRole::Decode => work.import.is_some(),
    };
    if fits {
        return None;
    }
    let message = format!("the engine's role is {role}");
    Some(WorkRefusal::new(Status::Conflict, &message, RETRY_PAUSE))
}

/// Puts work into the queue; answers the reader of its items.
fn enqueue(
    state: &EngineState,
    work: &GenerateRequest,
    imported: u64,
    headers: CallHeaders,
) -> Result<(mpsc::UnboundedReceiver<StreamItem>, Option<StreamFault>), WorkRefusal> {
    let at = state.clock.now();
    let mut parts = state.lock();
    if let Some(refusal) = refusal(state, &parts, work) {
        parts.history.push(refused(work, &refusal));
        return Err(refusal);
    }
    let (out, items) = mpsc::unbounded_channel();
    let sequence = sequence(&mut parts, state, work, imported, out);
    if !parts.batch.enqueue(sequence) {
        let message = "the queue is full";
        let refusal = WorkRefusal::new(Status::ServiceUnavailable, message, RETRY_PAUSE);
        parts.history.push(refused(work, &refusal));
        return Err(refusal);
    }
    parts.history.push(EngineEvent::Accepted {
        at,
        request: work.request.clone(),
        attempt: work.attempt,
        model: work.model.clone(),
        prompt: work.prompt.chars().take(KEPT_PROMPT).collect(),
        delivered: work.delivered.len() as u64,
        max_tokens: work.max_tokens,
        headers: headers.0,
    });
    let fault = parts.faults.take_stream();
    drop(parts);
    state.wake.notify_one();
    Ok((items, fault))
}

fn refused(work: &GenerateRequest, refusal: &WorkRefusal) -> EngineEvent {
    EngineEvent::Refused {
        request: work.request.clone(),
        attempt: work.attempt,
        status: refusal.body.0.code,
    }
}

fn sequence(
    parts: &mut EngineParts,
    state: &EngineState,
    work: &GenerateRequest,
    imported: u64,
    out: mpsc::UnboundedSender<StreamItem>,
) -> BatchSequence {
    let memory = state.settings.memory;
    let digests = prefix_digests(&work.prompt, memory.block_tokens);
    let cached = parts.cache.hits(&digests) as u64 * memory.block_tokens;
    parts.cache.insert(state.clock.now(), &digests);
    let prompt_tokens = prompt_tokens(&work.prompt);
    let delivered = work.delivered.len() as u64;
    let known = cached.max(imported);
    let finish = match natural_length(&work.prompt) <= work.max_tokens.count() {
        true => FinishReason::Stop,
        false => FinishReason::Length,
    };
    BatchSequence {
        request: work.request.clone(),
        attempt: work.attempt,
        answer: ReferenceAnswer::new(&work.prompt, work.max_tokens),
        finish,
        priority: work.priority,
        prompt_tokens,
        cached_tokens: TokenCount::new(cached.min(prompt_tokens.count())),
        prefill_left: (prompt_tokens.count() + delivered).saturating_sub(known),
        position: delivered,
        prefill_only: work.prefill_only,
        crashes: parts.faults.crashes(&work.prompt),
        out,
    }
}

#[post("/generate", data = "<work>")]
async fn generate(
    state: &State<SharedState>,
    _power: PoweredOn,
    headers: CallHeaders,
    work: Json<GenerateRequest>,
) -> Result<ByteStream![Vec<u8>], WorkRefusal> {
    let work = work.into_inner();
    let imported = match &work.import {
        Some(handle) => state.import(handle).await,
        None => 0,
    };
    let (items, fault) = enqueue(state, &work, imported, headers)?;
    let mut stream = AnswerStream::new(state.inner().clone(), &work, items, fault);
    Ok(ByteStream! {
        while let Some(lines) = stream.next().await {
            yield lines;
        }
    })
}

#[post("/cancel", data = "<cancel>")]
fn cancel(state: &State<SharedState>, _power: PoweredOn, cancel: Json<CancelRequest>) -> Status {
    let cancel = cancel.into_inner();
    state.lock().batch.cancel(&cancel.request);
    Status::NoContent
}

pub(crate) fn routes() -> Vec<Route> {
    routes![generate, cancel]
}
