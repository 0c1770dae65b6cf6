//! Reading a caller's request: its route, its key, its time, its body.

use std::sync::Arc;

use bluebell_adapter::headers;
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{KeyDigest, OrganisationId, RequestId, ServiceName},
    ingress::{RouteRule, RouteTable},
    placement::PromptWork,
};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderName},
};
use rand::Rng;

use crate::{
    context::EntryContext,
    frontend::refusal::{DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
    hop_headers,
};

/// When a caller may come back if this entry knows nothing yet or too little.
const KNOWLEDGE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(600);

/// The most bytes of bodies that are held at once: a quarter of the instance's
/// memory, given in MB.
const BODIES_SHARE: u64 = 4;

/// The headers that this entry sets anew or keeps to itself.
const FRAMING_HEADERS: [HeaderName; 4] = [
    AUTHORIZATION,
    CONTENT_LENGTH,
    hyper::header::EXPECT,
    HeaderName::from_static(headers::DEADLINE_MS),
];

/// A request that is to be served.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path with its query, unchanged.
    pub target: String,
    /// The headers that go on to the endpoint.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<RouteRule>,
    /// The configuration that it was read under.
    pub table: Arc<RouteTable>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Whose key came with it.
    pub organisation: Option<OrganisationId>,
    /// Its urgency, 0 being the first.
    pub priority: u8,
    /// Its prompt, if it has one.
    pub work: Option<PromptWork>,
    /// When its head was read.
    pub arrived: ClockTime,
    /// When it must have its final answer.
    pub limit: ClockTime,
}

impl CallerRequest {
    /// The time that is left.
    pub fn time_left(&self, now: ClockTime) -> TimeSpan {
        self.limit.since(now)
    }
}

/// Reads a request, or says why it is not served.
pub async fn read(
    context: &EntryContext,
    incoming: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let arrived = context.now();
    let (head, body) = incoming.into_parts();
    let id = text(&head.headers, headers::ATTEMPT_ID)
        .unwrap_or_default()
        .to_string();
    let named = |refusal: Refusal| refusal.with_request(&id);
    let unknown = |reason| named(Refusal::before_sending(reason, KNOWLEDGE_RETRY_AFTER));
    let table = context.configuration.lock().table().cloned();
    let table = table.ok_or_else(|| unknown(RefusalReason::NoConfiguration))?;
    if context.configuration_is_outdated(arrived) {
        return Err(unknown(RefusalReason::ConfigurationOutdated));
    }
    let improper = |reason| named(Refusal::improper(reason));
    let host = text(&head.headers, HOST.as_str()).unwrap_or_default();
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let route = table.find(&host, head.uri.path());
    let route = Arc::clone(route.ok_or_else(|| improper(RefusalReason::NoRoute))?);
    let organisation =
        organisation(context, &table, &route, &head.headers, arrived).map_err(named)?;
    let request_id = RequestId::new(id.as_str()).map_err(|_| improper(RefusalReason::Malformed))?;
    let service = pick_service(&route).ok_or_else(|| {
        named(Refusal::before_sending(
            RefusalReason::NoEndpoint,
            DEFAULT_RETRY_AFTER,
        ))
    })?;
    let rule = table.service(&service);
    let work = match rule.is_some_and(|rule| rule.engine.is_some()) {
        true => Some(prompt(&head.headers).map_err(|()| improper(RefusalReason::Malformed))?),
        false => None,
    };
    let deadline = text(&head.headers, headers::DEADLINE_MS);
    let deadline = deadline.and_then(|value| value.trim().parse::<u64>().ok());
    let patience = deadline
        .map_or(route.timeout, TimeSpan::from_millis)
        .min(route.timeout);
    let limit = arrived + patience;
    let most = table.configuration().limits.body.count();
    let body = read_body(context, body, most, limit.since(arrived))
        .await
        .map_err(named)?;
    let priority = table.priority(&route, organisation.as_ref());
    Ok(CallerRequest {
        id: request_id,
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_string(),
        headers: forwarded(&head.headers),
        body,
        route,
        table,
        service,
        organisation,
        priority,
        work,
        arrived,
        limit,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Whose key it is. A route without keys runs for nobody in particular.
fn organisation(
    context: &EntryContext,
    table: &RouteTable,
    route: &RouteRule,
    headers: &HeaderMap,
    now: ClockTime,
) -> Result<Option<OrganisationId>, Refusal> {
    if route.is_public || !table.has_keys() {
        return Ok(None);
    }
    // A key that was withdrawn while nothing was heard from the store would go on
    // working here for as long as that lasts. So all keys stop working then.
    if !context.keys_are_fresh(now) {
        let reason = RefusalReason::KeysStale;
        return Err(Refusal::before_sending(reason, KNOWLEDGE_RETRY_AFTER));
    }
    let key = text(headers, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(headers::KEY_SCHEME))
        .map(|key| KeyDigest::with_key(key.trim()));
    let organisation = key.and_then(|key| table.organisation(&key));
    match organisation {
        Some(organisation) => Ok(Some(organisation.name.clone())),
        None => Err(Refusal::improper(RefusalReason::UnknownKey)),
    }
}

fn pick_service(route: &RouteRule) -> Option<ServiceName> {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0..total);
    for target in &route.targets {
        if draw < target.weight {
            return Some(target.service.clone());
        }
        draw -= target.weight;
    }
    None
}

/// The prompt as the headers tell it. Only services of engines are asked about: what
/// a request is goes by where it is led, never by what its caller says of it.
fn prompt(headers: &HeaderMap) -> Result<PromptWork, ()> {
    let Some(sizes) = text(headers, headers::TOKEN_USAGE) else {
        return Ok(PromptWork::default());
    };
    let parts = text(headers, headers::PROMPT_PREFIX).unwrap_or_default();
    PromptWork::new(sizes, parts).map_err(|_| ())
}

async fn read_body(
    context: &EntryContext,
    body: Incoming,
    most: u64,
    patience: TimeSpan,
) -> Result<Bytes, Refusal> {
    let room = context.settings.memory_mb * 1_000_000 / BODIES_SHARE;
    let expected = hyper::body::Body::size_hint(&body).upper().unwrap_or(most);
    if expected > most {
        return Err(Refusal::improper(RefusalReason::TooLarge));
    }
    let open = context.metrics.requests_open.get().max(1) as u64;
    // Small bodies always fit; large ones only while few requests are open.
    if expected > room / open.max(1) && expected > 65_536 {
        let reason = RefusalReason::OutOfMemory;
        return Err(Refusal::before_sending(reason, DEFAULT_RETRY_AFTER));
    }
    let limited = Limited::new(body, most as usize).collect();
    match tokio::time::timeout(patience.as_duration(), limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::improper(RefusalReason::TooLarge))
        }
        Ok(Err(_)) => Err(Refusal::improper(RefusalReason::Malformed)),
        Err(_) => {
            let reason = RefusalReason::BodyTooSlow;
            Err(Refusal::before_sending(reason, DEFAULT_RETRY_AFTER))
        }
    }
}

/// The headers that go on: not those of the connection, not the key, not the
/// length, which is set anew, and none that only the system may set.
fn forwarded(received: &HeaderMap) -> HeaderMap {
    let named = hop_headers::connection_options(received);
    let is_dropped = |name: &HeaderName| {
        hop_headers::is_hop_by_hop(name)
            || FRAMING_HEADERS.contains(name)
            || headers::SYSTEM_HEADERS.contains(&name.as_str())
            || (named.iter().any(|option| option == name.as_str()) && !is_needed(name))
    };
    let mut kept = HeaderMap::with_capacity(received.len());
    for (name, value) in received {
        if !is_dropped(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Whether the header says what the request is. A caller that lists it in
/// `Connection` must not be able to change its request on the way.
fn is_needed(name: &HeaderName) -> bool {
    [
        "host",
        headers::ATTEMPT_ID,
        headers::MODEL,
        headers::TOKEN_USAGE,
        headers::PROMPT_PREFIX,
        headers::LAST_EVENT_ID,
    ]
    .contains(&name.as_str())
}
