//! Calls of any method and path.

use std::io::Cursor;

use rocket::{
    Data, Request, Response, Route,
    data::ToByteUnit,
    http::{ContentType, Method, Status},
    response::Responder,
    route::{Handler, Outcome},
};
use serde::{Deserialize, Serialize};

use crate::{faults::LossKind, history::ExecutionRecord, state::ServiceState};

/// The longest body that is taken, in mebibytes.
const BODY_LIMIT_MEBIBYTES: u64 = 4;

/// How much of a body the history keeps, in characters.
const KEPT_BODY: usize = 1_024;

/// How many bytes a broken answer lacks.
const MISSING_BYTES: usize = 16;

/// The rank of these routes, behind all others.
const CALL_RANK: isize = 100;

/// What a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The request's id.
    pub request: Option<String>,
    /// The body that came with the call.
    pub body: String,
    /// The number of this execution at this replica, from 1.
    pub execution: u64,
}

#[derive(Clone)]
struct CallHandler;

/// The answer to a call, whole or cut short.
struct CallAnswer {
    status: Status,
    body: Vec<u8>,
    broken: bool,
}

impl CallAnswer {
    fn empty(status: Status) -> CallAnswer {
        CallAnswer {
            status,
            body: Vec::new(),
            broken: false,
        }
    }
}

impl<'r> Responder<'r, 'static> for CallAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let announced = self.body.len() + if self.broken { MISSING_BYTES } else { 0 };
        let mut response = Response::build();
        response
            .status(self.status)
            .header(ContentType::JSON)
            .sized_body(announced, Cursor::new(self.body));
        if self.status == Status::ServiceUnavailable {
            response.raw_header("Retry-After", "1");
        }
        response.ok()
    }
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(state) = request.rocket().state::<ServiceState>() else {
            return Outcome::error(Status::InternalServerError);
        };
        let answer = run(state, request, data).await;
        Outcome::from(request, answer)
    }
}

async fn run(state: &ServiceState, request: &Request<'_>, data: Data<'_>) -> CallAnswer {
    let body = data.open(BODY_LIMIT_MEBIBYTES.mebibytes()).into_bytes();
    let Ok(body) = body.await else {
        return CallAnswer::empty(Status::BadRequest);
    };
    if !body.is_complete() {
        return CallAnswer::empty(Status::PayloadTooLarge);
    }
    if !state.is_powered() {
        return CallAnswer::empty(Status::BadGateway);
    }
    if state.faults().stalled {
        state.hang().await;
    }
    let faults = state.faults();
    if faults.refuse_all || faults.stalled {
        state.note_refusal();
        return CallAnswer::empty(Status::ServiceUnavailable);
    }
    let delay = state.settings.delay + faults.slower_by.unwrap_or_default();
    tokio::time::sleep(delay.as_duration()).await;
    let body = String::from_utf8_lossy(&body);
    let answer = execute(state, request, &body);
    let status = Status::new(faults.fail_with.unwrap_or(Status::Ok.code));
    match faults.lose_answers {
        Some(LossKind::Withheld) => {
            state.hang().await;
            CallAnswer {
                broken: true,
                ..CallAnswer::empty(Status::Ok)
            }
        }
        loss => CallAnswer {
            status,
            body: serde_json::to_vec(&answer).expect("answers are plain data"),
            broken: loss.is_some(),
        },
    }
}

fn execute(state: &ServiceState, request: &Request<'_>, body: &str) -> ServiceAnswer {
    let headers = request.headers();
    let header = |name: &str| headers.get_one(name).map(String::from);
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let request = header("X-Request-Id");
    let record = ExecutionRecord {
        at: state.clock.now(),
        method: method.clone(),
        path: path.clone(),
        idempotency_key: header("Idempotency-Key"),
        request: request.clone(),
        body: body.chars().take(KEPT_BODY).collect(),
        headers: headers
            .iter()
            .map(|header| format!("{}: {}", header.name, header.value))
            .collect(),
    };
    let execution = state.execute(record);
    ServiceAnswer {
        method,
        path,
        request,
        body: body.to_string(),
        execution,
    }
}

pub(crate) fn routes() -> Vec<Route> {
    let methods = [
        Method::Get,
        Method::Put,
        Method::Post,
        Method::Delete,
        Method::Patch,
        Method::Head,
        Method::Options,
    ];
    methods
        .into_iter()
        .map(|method| Route::ranked(CALL_RANK, method, "/<path..>", CallHandler))
        .collect()
}
