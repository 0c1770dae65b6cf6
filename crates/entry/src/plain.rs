//! `ANY /v1/services/<service>/<path>`: calls of plain services.

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

/// The routes of plain services, one for each method.
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
        let head = CallerHeaders::of(request);
        // Held until the refusal's way is clear: a stopping entry waits for it.
        let _work = context.work.token();
        let mut body = CallerBody::new(context, data);
        match call(context, &head, request, &mut body).await {
            Ok(metered) => Outcome::Success(respond(metered)),
            Err(refusal) => {
                context.note_refusal(&refusal);
                body.discard().await;
                Outcome::from(request, refusal)
            }
        }
    }
}

/// An answer with what counts it.
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
        // The first answer was counted when it was delivered.
        true => response.set_sized_body(length, Cursor::new(answer.body)),
        false => response.set_sized_body(length, MeteredBody::new(answer.body, ticket)),
    }
    response
}

/// Where a call goes: the service, and the path below it with its query.
struct CallTarget {
    service: String,
    path: String,
    path_and_query: String,
}

impl CallTarget {
    /// The target of `request`. A path with dot segments is refused: it would
    /// reach the endpoint as another path than the one that the rules were asked
    /// about, and a charge could pass for a lookup that may be repeated.
    fn of(head: &CallerHeaders, request: &Request<'_>) -> Result<CallTarget, Refusal> {
        let whole = request.uri().path().as_str();
        let below = whole.strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = below.split_once('/').unwrap_or((below, ""));
        let is_dots = |segment: &str| {
            let plain = segment.to_ascii_lowercase().replace("%2e", ".");
            plain == "." || plain == ".."
        };
        let misread = path.split('/').any(is_dots) || path.contains('\\');
        if misread || path.to_ascii_lowercase().contains("%2f") {
            let message = "the path has dot segments, backslashes or encoded slashes";
            return Err(head.refuse(RefusalCode::InvalidRequest, message));
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
    head: &CallerHeaders,
    request: &Request<'_>,
    body: &mut CallerBody<'_>,
) -> Result<MeteredAnswer, Refusal> {
    let caller = context.admit(head)?;
    let target = CallTarget::of(head, request)?;
    let (service, unit) = context.service(head, &caller, &target.service)?;
    if !matches!(unit.target, ServiceTarget::Plain {}) {
        let message = format!("`{service}` is a model: use `/v1/chat/completions`");
        return Err(head.refuse(RefusalCode::InvalidRequest, message));
    }
    let body = body.read(head).await?;
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
            content_type: head.content_type.clone(),
            idempotency_key: caller.options.idempotency_key.clone(),
            body,
        },
    };
    let owner = UsageOwner {
        organisation: caller.organisation,
        service,
    };
    let ticket = DeliveryTicket::new(context.clone(), owner);
    let run = PlainRun::new(context.clone(), work, head.attempts(kind));
    let call = run.answer(caller.ticket, in_flight).await?;
    Ok(MeteredAnswer { call, ticket })
}
