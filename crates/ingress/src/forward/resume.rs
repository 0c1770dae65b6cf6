//! Streams that callers take up, and streams that they may take up later.

use std::sync::Arc;

use bluebell_adapter::headers;
use bluebell_core::{
    placement::EndpointTarget,
    streams::{EndpointProcess, OriginHash, RecordedOrigin, StreamRecord, UnknownOrigin},
};
use hyper::Response;

use crate::{
    context::EntryContext,
    forward::{endpoint_changes, refuse, request_log_line},
    frontend::{AnswerBody, CallerRequest, DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
    stream_origins::{self, ResumedStream, StreamRequest},
    sync,
};

/// Where the stream of a request began, of which its caller may have events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BegunStream {
    /// The caller has no event.
    NotBegun,
    /// It goes on at this origin only.
    At(OriginHash),
    /// It can't go on.
    Unknown,
}

impl BegunStream {
    /// The state of a request that takes up a stream of `origin`, or begins one.
    pub fn with_origin(origin: Option<OriginHash>) -> BegunStream {
        origin.map_or(BegunStream::NotBegun, BegunStream::At)
    }

    /// The only origin at which the stream may go on, if it has begun.
    pub fn origin(self) -> Option<OriginHash> {
        match self {
            BegunStream::At(origin) => Some(origin),
            BegunStream::NotBegun | BegunStream::Unknown => None,
        }
    }
}

/// Finds where the stream began that the request takes up, and has it go on there. Returns the
/// refusal if that is not known, or not possible under the route.
pub async fn find_origin(
    context: &Arc<EntryContext>,
    request: CallerRequest,
) -> Result<CallerRequest, Box<Response<AnswerBody>>> {
    let taken_up = StreamRequest {
        name: request.taken_up_name(),
        is_split: request.route.is_split(),
        host: &request.route.host,
        path: &request.target,
        service: &request.service,
    };
    let resolved = resolve(context, taken_up).await;
    log_taken_up(context, &request, &resolved);
    let refuse_unknown = |request: &CallerRequest, detail: &str| {
        let reason = RefusalReason::VersionUnknown;
        let refusal = Refusal::before_sending(reason, DEFAULT_RETRY_AFTER);
        Box::new(refuse(context, request, refusal, detail))
    };
    let resumed = match resolved {
        Ok(resumed) => resumed,
        Err(error) => return Err(refuse_unknown(&request, &error.to_string())),
    };
    if !request.route.allows_service(&resumed.service) {
        let detail = format!("the route no longer leads to `{}`", resumed.service);
        return Err(refuse_unknown(&request, &detail));
    }
    let mut request = match request.service == resumed.service {
        true => request,
        false => request
            .with_service(resumed.service)
            .map_err(|refusal| Box::new(refusal.into_response()))?,
    };
    request.origin = Some(resumed.origin);
    Ok(request)
}

/// Finds out where a stream goes on that a caller takes up now.
async fn resolve(
    context: &EntryContext,
    taken_up: StreamRequest<'_>,
) -> Result<ResumedStream, UnknownOrigin> {
    let taken_up_at = context.now();
    let (clock, directory) = (&context.clock, &context.directory);
    let fleet = context.recorder_fleet();
    let streams = &context.streams;
    let finding = streams.find(clock, directory, taken_up.name, &fleet);
    let found = finding.await;
    if !found.is_certain() && !sync::is_state_known_since(context, taken_up_at).await {
        return Err(UnknownOrigin::Unconfirmed);
    }
    streams.resolve(context.now(), directory, taken_up, found)
}

fn log_taken_up(
    context: &EntryContext,
    request: &CallerRequest,
    resolved: &Result<ResumedStream, UnknownOrigin>,
) {
    let last_event = request.headers.get(headers::LAST_EVENT_ID);
    let last_event = last_event.and_then(|value| value.to_str().ok());
    let stream = request.resumes.as_ref();
    let source = match resolved {
        Ok(resumed) => resumed.source.as_str(),
        Err(_) => "unknown",
    };
    context.metrics.resumed.with_label_values(&[source]).inc();
    request_log_line(context, "stream_taken_up", request)
        .with("stream", stream.map_or("-", |stream| stream.as_str()))
        .with("named_by", request.taken_up_name())
        .with("after_event", last_event.unwrap_or("-"))
        .with("known_by", source)
        .info();
}

/// Records that the first events of the request's stream came from `target`. `earlier` is what was known of
/// the stream before.
pub fn note_begun(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    earlier: BegunStream,
) -> BegunStream {
    let origin = stream_origins::begun_origin(&context.directory.lock(), target);
    let Some(origin) = origin else {
        return BegunStream::Unknown;
    };
    if request.route.is_resumable {
        let records = request.stream_names().map(|name| StreamRecord {
            stream: name.hash(),
            origin,
        });
        context.streams.begin(
            context.now(),
            &context.directory,
            records,
            (&request.service, request.route.is_split()),
            &context.local_recorder(),
            || context.record_peers(),
        );
        // What continues a stream was checked to come from the registered process.
        if earlier == BegunStream::NotBegun {
            note_unchecked(context, records, target);
        }
    }
    BegunStream::At(origin)
}

fn note_unchecked(context: &EntryContext, records: [StreamRecord; 2], target: &EndpointTarget) {
    let process = EndpointProcess {
        endpoint: target.id.clone(),
        start: target.start,
    };
    context.streams.note_unchecked(records, &process);
    // A later process may have registered since the origin was looked up.
    let registered = context.directory.lock().get(&target.id).cloned();
    if let Some(registration) = registered.filter(|registered| registered.start > target.start) {
        endpoint_changes::note_streams(context, &registration);
    }
}

/// Where a stream goes on that began as `begun` and broke at `failed`: nowhere, if it may have begun at a
/// process whose registration has arrived since.
pub fn confirm_begun(
    context: &EntryContext,
    request: &CallerRequest,
    failed: &EndpointTarget,
    begun: BegunStream,
) -> BegunStream {
    let is_replaced = || stream_origins::begun_origin(&context.directory.lock(), failed).is_none();
    let names = request.stream_names().into_iter();
    let is_contradictory = names
        .filter(|name| name.is_unique())
        .any(|name| context.streams.origin(name.hash()) == Some(RecordedOrigin::Contradictory));
    match begun {
        BegunStream::At(_) if is_contradictory || is_replaced() => BegunStream::Unknown,
        _ => begun,
    }
}

/// Records that the stream of the request has ended.
pub fn note_ended(context: &EntryContext, request: &CallerRequest) {
    for name in request.stream_names() {
        context.streams.note_ended(name);
    }
}
