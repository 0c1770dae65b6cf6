//! A client of one endpoint that never retries a call by itself.
//!
//! HTTP libraries retry some calls implicitly. reqwest retries those that were not
//! processed according to the protocol, unless configured with `retry::never()`.
//! hyper's pool retries a request on a *reused* connection that was being closed; it
//! does so only if no byte of the request was written, but that relies on hyper's
//! internal state. A charge that ran twice for this reason would first be noticed by
//! the customer. Work that must run at most once is therefore sent on a new
//! connection, for which no library retries.
//!
//! A connection can also stop delivering permanently while new ones work. Pooled
//! connections to an endpoint are discarded by [`EndpointClient::discard_connections`],
//! and probes always open a new one.

use std::{
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use bluebell_core::{
    attempts::{SendPermit, WorkKind},
    clock::TimeSpan,
    ids::{IdempotencyKey, RequestId},
};
use bytes::Bytes;
use futures::{Stream, StreamExt as _, TryStreamExt as _};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

use crate::{
    api::{
        CancelRequest, EngineStatus, GenerateRequest, KvExport, KvHandle, LoadReport, StreamItem,
    },
    bodies,
};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// The time limit of a short call (probe, cancel, state).
const SHORT_CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// The maximum length of a line in an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// The statuses that HTTP has for final answers.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Why a call to an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The connection could not be opened: nothing was sent.
    #[error("failed to connect to the endpoint: {0}")]
    NotSent(String),
    /// The engine refused with a status that its interface documents as not run.
    #[error("the endpoint refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        message: String,
    },
    /// The connection broke, or the answer was lost or invalid; the work may have run.
    #[error("the endpoint's answer was lost: {0}")]
    Lost(String),
}

/// The result of a probe on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint answers.
    Healthy,
    /// The address refuses connections: the process has ended.
    ConnectionRefused,
    /// No answer: the endpoint may be frozen, overloaded or partitioned.
    Unreachable,
}

/// A call to a plain service, with only those parts of the caller's request that may be
/// forwarded.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: String,
    /// The path below the service with its query, starting with a slash.
    pub path: String,
    /// The content type of the caller's request.
    pub content_type: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the answer.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// The items of an engine's answer, in the order of arrival.
pub type ItemStream = futures::stream::BoxStream<'static, Result<StreamItem, EndpointError>>;

/// A client of one endpoint; clones share its pooled connections.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    base: String,
    pooled: Arc<Mutex<reqwest::Client>>,
    unpooled: reqwest::Client,
}

fn client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT.as_duration())
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
}

fn pooled_client() -> reqwest::Client {
    client_builder()
        .pool_idle_timeout(Duration::from_secs(20))
        .build()
        .expect("the client's settings are constant")
}

fn unpooled_client() -> reqwest::Client {
    client_builder()
        .pool_max_idle_per_host(0)
        .build()
        .expect("the client's settings are constant")
}

impl EndpointClient {
    /// A client of the endpoint at `address` (`ip:port`).
    pub fn new(address: &str) -> EndpointClient {
        EndpointClient {
            base: format!("http://{address}"),
            pooled: Arc::new(Mutex::new(pooled_client())),
            unpooled: unpooled_client(),
        }
    }

    /// Discards all pooled connections; calls in progress keep theirs.
    pub fn discard_connections(&self) {
        *self.pooled.lock().expect("no holder panics") = pooled_client();
    }

    fn pooled(&self) -> reqwest::Client {
        self.pooled.lock().expect("no holder panics").clone()
    }

    /// Sends a request to an engine and returns the stream of its items.
    pub async fn generate(
        &self,
        _permit: &SendPermit,
        work: &GenerateRequest,
    ) -> Result<ItemStream, EndpointError> {
        let request = self.pooled().post(format!("{}/generate", self.base));
        let response = request
            .json(work)
            .send()
            .await
            .map_err(|error| endpoint_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(items(response).boxed());
        }
        let message = bodies::refusal_text(response).await;
        let status = status.as_u16();
        match StatusCode::from_u16(status) {
            Ok(StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE) => {
                Err(EndpointError::Refused { status, message })
            }
            _ => Err(EndpointError::Lost(format!("status {status}: {message}"))),
        }
    }

    /// Calls a plain service and reads its complete answer, of at most `limit` bytes. Work
    /// that must run at most once is sent on a new connection.
    pub async fn call(
        &self,
        permit: &SendPermit,
        call: &PlainCall,
        limit: usize,
    ) -> Result<PlainAnswer, EndpointError> {
        let client = match permit.kind() {
            WorkKind::Repeatable => self.pooled(),
            WorkKind::AtMostOnce => self.unpooled.clone(),
        };
        let request = plain_request(&client, &self.base, permit.request(), call)?;
        let response = request
            .send()
            .await
            .map_err(|error| endpoint_error(&error))?;
        read_plain(response, limit).await
    }

    /// Cancels `request`, whose answer is no longer needed, at the engine.
    pub async fn cancel(&self, request: &RequestId) -> Result<(), EndpointError> {
        let body = CancelRequest {
            request: request.clone(),
        };
        let call = self
            .unpooled
            .post(format!("{}/cancel", self.base))
            .json(&body);
        short_call(call).await.map(drop)
    }

    /// Requests the KV cache of a prompt that the engine has prefilled.
    pub async fn export(&self, request: &RequestId) -> Result<KvHandle, EndpointError> {
        let body = KvExport {
            request: request.clone(),
        };
        let call = self.pooled().post(format!("{}/kv/export", self.base));
        let response = short_call(call.json(&body)).await?;
        bodies::decode(response).await
    }

    /// Checks on a new connection whether the endpoint answers.
    pub async fn probe(&self) -> ProbeResult {
        let call = self.unpooled.get(format!("{}/health", self.base));
        match call.timeout(SHORT_CALL_TIMEOUT.as_duration()).send().await {
            Ok(response) if response.status().is_success() => ProbeResult::Healthy,
            Ok(_) => ProbeResult::Unreachable,
            Err(error) if is_refused_connection(&error) => ProbeResult::ConnectionRefused,
            Err(_) => ProbeResult::Unreachable,
        }
    }

    /// An engine's current state, requested on a new connection.
    pub async fn state(&self) -> Result<EngineStatus, EndpointError> {
        let call = self.unpooled.get(format!("{}/state", self.base));
        let response = short_call(call).await?;
        bodies::decode(response).await
    }

    /// An engine's load, which may be out of date.
    pub async fn load(&self) -> Result<LoadReport, EndpointError> {
        let call = self.pooled().get(format!("{}/load", self.base));
        let response = short_call(call).await?;
        bodies::decode(response).await
    }
}

fn endpoint_error(error: &reqwest::Error) -> EndpointError {
    let message = bodies::error_text(error);
    if error.is_connect() {
        return EndpointError::NotSent(message);
    }
    EndpointError::Lost(message)
}

fn is_refused_connection(error: &reqwest::Error) -> bool {
    let first: &dyn std::error::Error = error;
    std::iter::successors(Some(first), |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

async fn short_call(call: RequestBuilder) -> Result<Response, EndpointError> {
    let call = call.timeout(SHORT_CALL_TIMEOUT.as_duration());
    let response = call.send().await.map_err(|error| endpoint_error(&error))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    Err(EndpointError::Refused {
        status: status.as_u16(),
        message: bodies::refusal_text(response).await,
    })
}

fn plain_request(
    client: &reqwest::Client,
    base: &str,
    id: &RequestId,
    call: &PlainCall,
) -> Result<RequestBuilder, EndpointError> {
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| EndpointError::NotSent(error.to_string()))?;
    let mut request = client
        .request(method, format!("{base}{}", call.path))
        .header("x-request-id", id.as_str())
        .body(call.body.clone());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    if let Some(key) = &call.idempotency_key {
        request = request.header("idempotency-key", key.as_str());
    }
    Ok(request)
}

async fn read_plain(response: Response, limit: usize) -> Result<PlainAnswer, EndpointError> {
    let status = response.status().as_u16();
    // A faulty service may send any digits.
    if !FINAL_STATUSES.contains(&status) {
        return Err(EndpointError::Lost(format!(
            "`{status}` is not the status of a final answer"
        )));
    }
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(String::from);
    Ok(PlainAnswer {
        status,
        content_type,
        body: bodies::read(response, limit).await?,
    })
}

fn items(response: Response) -> impl Stream<Item = Result<StreamItem, EndpointError>> {
    let bytes = response.bytes_stream().map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    FramedRead::new(StreamReader::new(bytes), codec).map(|line| {
        let line = line.map_err(|error| EndpointError::Lost(error.to_string()))?;
        serde_json::from_str(&line).map_err(|error| EndpointError::Lost(error.to_string()))
    })
}
