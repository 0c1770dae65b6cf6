//! The handler of `ANY /v1/services/<service>/<path>`: calls to plain services.

use std::{io::Cursor, sync::Arc};

use bluebell_core::{attempts::WorkKind, config::ServiceTarget, ids::RequestFingerprint};
use bluebell_endpoint::client::PlainCall;
use rocket::{
    Data, Request, Response, Route,
    http::{Header, Method, Status},
    route::{Handler, Outcome},
};

use crate::{
    body::CallerBody,
    caller::CallerHeaders,
    context::EntryContext,
    delivered::{DeliveryTicket, MeteredBody},
    metering::UsageOwner,
    plain_run::{CallAnswer, PlainRun, PlainWork},
    refusal::{Refusal, RefusalCode},
};

const PREFIX: &str = "/v1/services/";

#[derive(Clone)]
struct ServiceHandler;

/// The routes of plain services, one per HTTP method.
pub fn routes() -> Vec<Route> {
    use Method::{Delete, Get, Head, Options, Patch, Post, Put};
    let methods = [Get, Put, Post, Delete, Options, Head, Patch];
    let route = |method| Route::new(method, "/v1/services/<service>/<path..>", ServiceHandler);
    methods.into_iter().map(route).collect()
}

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(context) = request.rocket().state::<Arc<EntryContext>>() else {
            return Outcome::error(Status::InternalServerError);
        };
        let headers = CallerHeaders::of(request);
        // Held until a refused body has been discarded: a stopping entry waits for it.
        let _work = context.work.token();
        let mut body = CallerBody::new(context, data);
        match call(context, &headers, request, &mut body).await {
            Ok(metered) => Outcome::Success(respond(metered)),
            Err(refusal) => {
                context.note_refusal(&refusal);
                body.discard().await;
                Outcome::from(request, refusal)
            }
        }
    }
}

/// An answer with the ticket that meters its delivery.
struct MeteredAnswer {
    call: CallAnswer,
    ticket: DeliveryTicket,
}

fn respond(metered: MeteredAnswer) -> Response<'static> {
    let MeteredAnswer { call, ticket } = metered;
    let answer = call.answer;
    let mut response = Response::new();
    response.set_status(Status::new(answer.status));
    if let Some(content_type) = answer.content_type {
        response.set_header(Header::new("Content-Type", content_type));
    }
    if call.replayed {
        response.set_header(Header::new("Idempotent-Replayed", "true"));
    }
    let length = answer.body.len();
    match call.replayed {
        // The original answer was metered when it was delivered.
        true => response.set_sized_body(length, Cursor::new(answer.body)),
        false => response.set_sized_body(length, MeteredBody::new(answer.body, ticket)),
    }
    response
}

/// The target of a call: the service, and the path below it without and with its query.
struct CallTarget {
    service: String,
    path: String,
    path_and_query: String,
}

impl CallTarget {
    /// Extracts the target of `request`. A path with dot segments is refused: the
    /// endpoint would resolve it to another path than the one that the rules for
    /// repeatable calls were checked with, and a charge could be taken for a lookup
    /// that may be repeated.
    fn of(headers: &CallerHeaders, request: &Request<'_>) -> Result<CallTarget, Refusal> {
        let full_path = request.uri().path().as_str();
        let service_path = full_path.strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = service_path.split_once('/').unwrap_or((service_path, ""));
        let is_dot_segment = |segment: &str| {
            let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
            decoded == "." || decoded == ".."
        };
        let is_ambiguous = path.split('/').any(is_dot_segment) || path.contains('\\');
        if is_ambiguous || path.to_ascii_lowercase().contains("%2f") {
            let message = "the path contains dot segments, backslashes or encoded slashes";
            return Err(headers.refuse(RefusalCode::InvalidRequest, message));
        }
        let path = format!("/{path}");
        let path_and_query = match request.uri().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.clone(),
        };
        Ok(CallTarget {
            service: service.to_string(),
            path,
            path_and_query,
        })
    }
}

async fn call(
    context: &Arc<EntryContext>,
    headers: &CallerHeaders,
    request: &Request<'_>,
    body: &mut CallerBody<'_>,
) -> Result<MeteredAnswer, Refusal> {
    let caller = context.admit(headers)?;
    let target = CallTarget::of(headers, request)?;
    let (service, unit) = context.service(headers, &caller, &target.service)?;
    if !matches!(unit.target, ServiceTarget::Plain {}) {
        let message = format!("`{service}` is a model: use `/v1/chat/completions`");
        return Err(headers.refuse(RefusalCode::InvalidRequest, message));
    }
    let body = body.read(headers).await?;
    let method = request.method().as_str();
    let repeatable = context.node.with_view(|view| {
        view.configuration
            .is_repeatable(&service, method, &target.path)
    });
    let kind = match repeatable {
        true => WorkKind::Repeatable,
        false => WorkKind::AtMostOnce,
    };
    let in_flight = context.begin_request();
    let mut content = format!("{service}\0{method}\0{}\0", target.path_and_query).into_bytes();
    content.extend_from_slice(&body);
    let work = PlainWork {
        organisation: caller.organisation.clone(),
        kind,
        deadline: context.now() + caller.options.deadline.unwrap_or(unit.deadline),
        progress_limit: unit.progress_limit,
        fingerprint: RequestFingerprint::with_content(&caller.organisation, &content),
        service: service.clone(),
        priority: caller.options.priority.unwrap_or(unit.priority),
        preemptible: unit.preemptible,
        limits: caller.limits(),
        call: PlainCall {
            method: method.to_string(),
            path: target.path_and_query,
            content_type: headers.content_type.clone(),
            idempotency_key: caller.options.idempotency_key.clone(),
            body,
        },
    };
    let owner = UsageOwner {
        organisation: caller.organisation,
        service,
    };
    let ticket = DeliveryTicket::new(context.clone(), owner);
    let run = PlainRun::new(context.clone(), work, headers.attempts(kind));
    let call = run.answer(caller.ticket, in_flight).await?;
    Ok(MeteredAnswer { call, ticket })
}
