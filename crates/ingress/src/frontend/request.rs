//! Reads the requests of callers: route, API key, deadline and body.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
};

use bluebell_adapter::headers;
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{KeyDigest, OrganisationId, RequestFingerprint, RequestId, ServiceName},
    ingress::{RouteKind, RouteRule, RouteTable},
    placement::PromptWork,
    quarantine::{self, PartHash},
    streams::{OriginHash, StreamHash, StreamName},
    units::TokenCount,
};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};
use tokio_util::sync::CancellationToken;

use crate::{
    context::EntryContext,
    forward::ConnectionNumber,
    frontend::{
        basis::{self, DecisionBasis},
        body,
        refusal::{DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
    },
    hop_headers,
    memory::AnsweredCaller,
    shared::Shared,
};

/// The header in which an instance names the version of its configuration when it hands a
/// request to another one. Its caller may have seen the effect of that version already.
pub const CONFIGURATION_VERSION: HeaderName = HeaderName::from_static("bluebell-configuration");

/// Headers of callers that are not forwarded: the entry sets them itself or only reads
/// them.
const FRAMING_HEADERS: [HeaderName; 5] = [
    CONFIGURATION_VERSION,
    AUTHORIZATION,
    CONTENT_LENGTH,
    hyper::header::EXPECT,
    HeaderName::from_static(headers::DEADLINE_MS),
];

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSource {
    /// From a caller.
    Caller,
    /// From another instance, which can't serve it.
    Instance,
}

/// A request that was read completely and is allowed.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The attempt id that the caller assigned.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path with the query, unchanged.
    pub target: String,
    /// The headers that are forwarded to the endpoint.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matches the request.
    pub route: Arc<RouteRule>,
    /// The route table of the configuration that was in force when the request arrived.
    pub table: Arc<RouteTable>,
    /// The service that the request is forwarded to.
    pub service: ServiceName,
    /// The organisation that the API key belongs to; `None` without authentication.
    pub organisation: Option<OrganisationId>,
    /// The API key as the caller sent it, for an instance that the request is handed to.
    pub key: Option<HeaderValue>,
    /// Whether another instance handed the request to this one.
    pub is_proxied: bool,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The caller's attempt that brought the first event of the stream that the request takes
    /// up.
    pub resumes: Option<RequestId>,
    /// The attempt that began the stream which the request takes up, if the caller names it, or the
    /// request itself.
    pub stream: StreamHash,
    /// Where the stream began that the request takes up; it goes on there only.
    pub origin: Option<OriginHash>,
    /// The token counts and the prefix of the prompt, for model services only.
    pub work: Option<PromptWork>,
    /// The prompt and output tokens that the caller states, for the limit of the
    /// organisation.
    pub stated_tokens: Option<TokenCount>,
    /// When the request head was read.
    pub arrived: ClockTime,
    /// When the final answer is due.
    pub deadline: ClockTime,
    /// Closes the connection of the caller when cancelled.
    pub connection: CancellationToken,
    /// The connections to endpoints on which the request was sent.
    pub used_connections: Arc<Shared<BTreeSet<ConnectionNumber>>>,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl CallerRequest {
    /// The time left until the deadline.
    pub fn time_left(&self, now: ClockTime) -> TimeSpan {
        self.deadline.since(now)
    }

    /// Whether the request takes up a stream of which its caller has events.
    pub fn is_taken_up(&self) -> bool {
        let last_event = header_text(&self.headers, headers::LAST_EVENT_ID);
        let has_events = last_event.is_some_and(|id| id.trim() != "0");
        self.route.kind == RouteKind::Streaming && (self.resumes.is_some() || has_events)
    }

    /// The id of the last event that the caller has of the stream that it takes up.
    pub fn last_event_id(&self) -> Option<u64> {
        let last_event = header_text(&self.headers, headers::LAST_EVENT_ID)?;
        let last_id = last_event.trim().parse().ok()?;
        (self.route.kind == RouteKind::Streaming && last_id > 0).then_some(last_id)
    }

    /// Sends the request to `service`, another one of its route.
    pub fn with_service(mut self, service: ServiceName) -> Result<CallerRequest, Refusal> {
        let malformed = Refusal::invalid_request(RefusalReason::Malformed);
        self.work = read_work(&self.table, &service, &self.headers).map_err(|()| malformed)?;
        self.service = service;
        Ok(self)
    }

    /// The fingerprint, which is the same if the caller sends the request again.
    pub fn fingerprint(&self) -> &RequestFingerprint {
        let caller = self.organisation.as_ref();
        self.fingerprint
            .get_or_init(|| RequestFingerprint::with_request(caller, &self.target, &self.body))
    }

    /// The names under which the stream of the request is recorded.
    pub fn stream_names(&self) -> [StreamName; 2] {
        [StreamName::Attempt(self.stream), self.request_name()]
    }

    /// The name under which the request takes up a stream.
    pub fn taken_up_name(&self) -> StreamName {
        match self.resumes {
            Some(_) => StreamName::Attempt(self.stream),
            None => self.request_name(),
        }
    }

    fn request_name(&self) -> StreamName {
        let text = |name| header_text(&self.headers, name).unwrap_or_default();
        let parts = [
            &self.route.host,
            text(headers::MODEL),
            text(headers::PROMPT_PREFIX),
        ];
        StreamName::Request(StreamHash::with_request(self.fingerprint(), parts))
    }

    /// The parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> Vec<PartHash> {
        let prefix = header_text(&self.headers, headers::PROMPT_PREFIX);
        prefix.map(quarantine::shared_parts).unwrap_or_default()
    }

    /// The caller, to account for the answer to it.
    pub fn answered_caller(&self) -> AnsweredCaller {
        AnsweredCaller {
            request: self.id.clone(),
            organisation: self.organisation.clone(),
            connection: self.connection.clone(),
        }
    }
}

/// Reads and authorises a request, or returns the refusal.
pub async fn read(
    context: &EntryContext,
    connection: CancellationToken,
    source: RequestSource,
    incoming: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let arrived = context.now();
    let (head, body) = incoming.into_parts();
    let id = header_text(&head.headers, headers::ATTEMPT_ID)
        .unwrap_or_default()
        .to_string();
    let with_id = |refusal: Refusal| refusal.with_request(&id);
    let basis = DecisionBasis::read(context).await;
    let basis = basis.map_err(|reason| match source {
        RequestSource::Caller => with_id(basis::not_synced(reason)),
        RequestSource::Instance => with_id(Refusal::not_taken()),
    })?;
    let table = Arc::clone(&basis.table);
    if source == RequestSource::Instance && is_older(&table, &head.headers) {
        return Err(with_id(Refusal::not_taken()));
    }
    let invalid_request = |reason| with_id(Refusal::invalid_request(reason));
    let host = header_text(&head.headers, HOST.as_str()).unwrap_or_default();
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let route = table.find(&host, head.uri.path());
    let no_route = || with_id(basis.denial(RefusalReason::NoRoute));
    let route = Arc::clone(route.ok_or_else(no_route)?);
    let organisation = authorise(context, &basis, &route, &head.headers).map_err(with_id)?;
    let request_id =
        RequestId::new(id.as_str()).map_err(|_| invalid_request(RefusalReason::Malformed))?;
    let resumes = resumed_stream(&head.headers);
    let stream = StreamHash::with_attempt(resumes.as_ref().unwrap_or(&request_id));
    let service = route.service_for(stream).cloned().ok_or_else(|| {
        with_id(Refusal::before_sending(
            RefusalReason::NoEndpoint,
            DEFAULT_RETRY_AFTER,
        ))
    })?;
    let work = read_work(&table, &service, &head.headers)
        .map_err(|()| invalid_request(RefusalReason::Malformed))?;
    let deadline_ms = header_text(&head.headers, headers::DEADLINE_MS);
    let deadline_ms = deadline_ms.and_then(|value| value.trim().parse::<u64>().ok());
    let timeout = deadline_ms
        .map_or(route.timeout, TimeSpan::from_millis)
        .min(route.timeout);
    let deadline = arrived + timeout;
    let max_size = table.configuration().limits.body;
    let body = body::read(context, organisation.as_ref(), body, max_size);
    let body = tokio::time::timeout(timeout.as_duration(), body).await;
    let body = body.unwrap_or_else(|_| {
        let reason = RefusalReason::BodyTooSlow;
        Err(Refusal::before_sending(reason, DEFAULT_RETRY_AFTER))
    });
    let body = body.map_err(with_id)?;
    let priority = table.priority(&route, organisation.as_ref());
    Ok(CallerRequest {
        id: request_id,
        method: head.method,
        target: head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_string(),
        headers: forwarded_headers(&head.headers),
        body,
        route,
        table,
        service,
        organisation,
        key: private_key(&head.headers),
        is_proxied: source == RequestSource::Instance,
        priority,
        resumes,
        stream,
        origin: None,
        work,
        stated_tokens: stated_tokens(&head.headers),
        arrived,
        deadline,
        connection,
        used_connections: Arc::default(),
        fingerprint: OnceLock::new(),
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the organisation that the API key belongs to; `None` if the route is public
/// or no keys are configured.
fn authorise(
    context: &EntryContext,
    basis: &DecisionBasis,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<OrganisationId>, Refusal> {
    let table = &basis.table;
    if route.is_public || !table.has_keys() {
        return Ok(None);
    }
    // A key that is withdrawn while the store is unreachable would remain valid on this
    // instance for the whole outage, so all keys are rejected when their last confirmation
    // is too old.
    if !context.keys_are_fresh(context.now()) {
        return Err(basis::not_synced(RefusalReason::KeysStale));
    }
    let key = header_text(headers, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix(headers::KEY_SCHEME))
        .map(|key| KeyDigest::with_key(key.trim()));
    let organisation = key.and_then(|key| table.organisation(&key));
    match organisation {
        Some(organisation) => Ok(Some(organisation.name.clone())),
        None => Err(basis.denial(RefusalReason::UnknownKey)),
    }
}

/// Whether the configuration is older than that of the instance that handed the request on.
fn is_older(table: &RouteTable, headers: &HeaderMap) -> bool {
    let stated = header_text(headers, CONFIGURATION_VERSION.as_str());
    let stated = stated.and_then(|value| value.parse::<u64>().ok());
    stated.is_some_and(|version| table.configuration().version < version)
}

/// The value of the header with the API key, which is left out of logs.
fn private_key(headers: &HeaderMap) -> Option<HeaderValue> {
    let mut key = headers.get(AUTHORIZATION)?.clone();
    key.set_sensitive(true);
    Some(key)
}

/// Reads the prompt of a request to a model service; `None` for other services.
fn read_work(
    table: &RouteTable,
    service: &ServiceName,
    headers: &HeaderMap,
) -> Result<Option<PromptWork>, ()> {
    let rule = table.service(service);
    match rule.is_some_and(|rule| rule.engine.is_some()) {
        true => read_prompt(headers).map(Some),
        false => Ok(None),
    }
}

/// Reads the token counts and the prefix of the prompt from the headers. Called for model
/// services only: the kind of a request follows from its route, never from its headers.
fn read_prompt(headers: &HeaderMap) -> Result<PromptWork, ()> {
    let Some(sizes) = header_text(headers, headers::TOKEN_USAGE) else {
        return Ok(PromptWork::default());
    };
    let parts = header_text(headers, headers::PROMPT_PREFIX).unwrap_or_default();
    PromptWork::new(sizes, parts).map_err(|_| ())
}

/// The attempt that the request names as the one that began its stream. An invalid id names
/// none.
fn resumed_stream(received: &HeaderMap) -> Option<RequestId> {
    let id = header_text(received, headers::RESUMES)?;
    RequestId::new(id.trim()).ok()
}

/// The sum of the token counts that the caller states, on requests of any service.
fn stated_tokens(headers: &HeaderMap) -> Option<TokenCount> {
    let sizes = header_text(headers, headers::TOKEN_USAGE)?;
    let work = PromptWork::new(sizes, "").ok()?;
    Some(work.prompt + work.output)
}

/// Returns the headers that are forwarded to the endpoint: no hop-by-hop headers, no API
/// key, no `Content-Length`, which is set again, and none that only the entry may set.
fn forwarded_headers(received: &HeaderMap) -> HeaderMap {
    let connection_options = hop_headers::connection_options(received);
    let is_dropped = |name: &HeaderName| {
        hop_headers::is_hop_by_hop(name)
            || FRAMING_HEADERS.contains(name)
            || headers::SYSTEM_HEADERS.contains(&name.as_str())
            || (connection_options
                .iter()
                .any(|option| option == name.as_str())
                && !is_essential(name))
    };
    let mut forwarded_headers = HeaderMap::with_capacity(received.len());
    for (name, value) in received {
        if !is_dropped(name) {
            forwarded_headers.append(name.clone(), value.clone());
        }
    }
    forwarded_headers
}

/// Whether the header describes the request itself. A caller that lists such a header in
/// `Connection` must not be able to remove it from the forwarded request.
fn is_essential(name: &HeaderName) -> bool {
    [
        "host",
        headers::ATTEMPT_ID,
        headers::MODEL,
        headers::TOKEN_USAGE,
        headers::PROMPT_PREFIX,
        headers::LAST_EVENT_ID,
        headers::RESUMES,
    ]
    .contains(&name.as_str())
}
