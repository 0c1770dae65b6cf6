//! One attempt at one endpoint: what was sent, and what is known of its fate.
//!
//! An attempt that failed before a byte was written may go elsewhere whatever its
//! kind; one whose endpoint says that it did not run it may, too. After any other
//! failure it may have run.

use bluebell_adapter::headers;
use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderName, HeaderValue},
};

use crate::{
    context::EntryContext, forward::connection::EndpointConnection, frontend::CallerRequest,
};

/// The beginning of an answer, with the connection that it comes on.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status, headers and the body to come.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: EndpointConnection,
}

/// How an attempt ended, up to the head of the answer.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The endpoint answers.
    Answered(EndpointAnswer),
    /// The endpoint says that it has not run the request.
    NotExecuted {
        /// The status.
        status: StatusCode,
        /// Whether another endpoint answers at the address now.
        is_gone: bool,
    },
    /// Not a byte of it was written.
    NotSent(String),
    /// It may have run.
    MaybeRun(String),
    /// No answer came in the time allowed; it may have run.
    TimedOut,
}

impl AttemptEnd {
    /// The end in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            AttemptEnd::Answered(_) => "answered",
            AttemptEnd::NotExecuted { .. } => "not_executed",
            AttemptEnd::NotSent(_) => "not_sent",
            AttemptEnd::MaybeRun(_) => "maybe_run",
            AttemptEnd::TimedOut => "timed_out",
        }
    }
}

/// Headers that the system adds to one attempt.
pub type AddedHeaders = Vec<(&'static str, String)>;

/// Sends the request to `target` and waits `patience` for the head of its answer.
pub async fn send(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    added: &AddedHeaders,
    patience: TimeSpan,
) -> AttemptEnd {
    let end = tokio::time::timeout(
        patience.as_duration(),
        exchange(context, request, target, added),
    );
    let end = end.await.unwrap_or(AttemptEnd::TimedOut);
    let counters = &context.metrics.attempts;
    counters.with_label_values(&[end.as_str()]).inc();
    end
}

async fn exchange(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    added: &AddedHeaders,
) -> AttemptEnd {
    // A kept connection may have been closed at the other end; if so, nothing was
    // written and a new one is opened.
    while let Some(connection) = context
        .pools
        .take(context.now(), &target.id, target.address)
    {
        match exchange_on(context, request, target, added, connection).await {
            AttemptEnd::NotSent(_) => {}
            end => return end,
        }
    }
    match EndpointConnection::connect(target.address).await {
        Ok(connection) => exchange_on(context, request, target, added, connection).await,
        Err(error) => AttemptEnd::NotSent(error.to_string()),
    }
}

async fn exchange_on(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    added: &AddedHeaders,
    mut connection: EndpointConnection,
) -> AttemptEnd {
    let outgoing = match outgoing(context, request, target, added) {
        Ok(outgoing) => outgoing,
        Err(error) => return AttemptEnd::NotSent(error.to_string()),
    };
    let response = match connection.sender.try_send_request(outgoing).await {
        Ok(response) => response,
        Err(mut failure) => {
            let untouched = failure.take_message().is_some();
            let error = failure.into_error().to_string();
            return match untouched {
                true => AttemptEnd::NotSent(error),
                false => AttemptEnd::MaybeRun(error),
            };
        }
    };
    // An answer to an earlier request may come late, where ours is due.
    let answered_id = response.headers().get(headers::ATTEMPT_ID);
    if answered_id.is_none_or(|id| id.as_bytes() != request.id.as_str().as_bytes()) {
        return AttemptEnd::MaybeRun("the answer is to another request".to_string());
    }
    let keep_alive = response.headers().get("keep-alive");
    connection.note_keep_alive(keep_alive.and_then(|value| value.to_str().ok()));
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST
        || response.headers().contains_key(headers::NOT_EXECUTED)
    {
        let answered = response.headers().get(headers::ENDPOINT_ID);
        let is_gone = status == StatusCode::MISDIRECTED_REQUEST
            && answered.is_some_and(|id| id.as_bytes() != target.id.as_str().as_bytes());
        let answer = EndpointAnswer {
            response,
            connection,
        };
        give_back(context, target, answer).await;
        return AttemptEnd::NotExecuted { status, is_gone };
    }
    AttemptEnd::Answered(EndpointAnswer {
        response,
        connection,
    })
}

/// Reads the short rest of an answer that nobody needs, and keeps the connection.
async fn give_back(context: &EntryContext, target: &EndpointTarget, answer: EndpointAnswer) {
    /// A refusal's body is some bytes; one that is slow is not worth a connection.
    const REST_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(20);
    let body = http_body_util::Limited::new(answer.response.into_body(), 65_536);
    let rest = http_body_util::BodyExt::collect(body);
    if let Ok(Ok(_)) = tokio::time::timeout(REST_TIMEOUT, rest).await {
        keep(context, target, answer.connection);
    }
}

/// Keeps a connection whose answer was read to its end.
pub fn keep(context: &EntryContext, target: &EndpointTarget, mut connection: EndpointConnection) {
    let context_now = context.now();
    if futures::FutureExt::now_or_never(connection.sender.ready()).is_some_and(|r| r.is_ok()) {
        context
            .pools
            .put(context_now, &target.id, target.address, connection);
    }
}

fn outgoing(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    added: &AddedHeaders,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str())
        .body(Full::new(request.body.clone()))?;
    let mut sent: HeaderMap = request.headers.clone();
    let left = request.time_left(context.now()).as_millis();
    let mut set = |name: &'static str, value: String| -> Result<(), hyper::http::Error> {
        sent.insert(
            HeaderName::from_static(name),
            HeaderValue::from_str(&value)?,
        );
        Ok(())
    };
    set(headers::DEADLINE_MS, left.to_string())?;
    set(headers::EXPECT_ENDPOINT, target.id.to_string())?;
    if let Some(organisation) = &request.organisation {
        set(headers::ORGANISATION, organisation.to_string())?;
    }
    for (name, value) in added {
        set(name, value.clone())?;
    }
    *outgoing.headers_mut() = sent;
    Ok(outgoing)
}

/// Whether an answer is the endpoint's own: signed, and not in an encoding that
/// nobody asked for.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(headers::SIGNATURE) && !headers.contains_key(CONTENT_ENCODING)
}
