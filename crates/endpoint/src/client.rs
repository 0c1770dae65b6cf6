//! A client of one endpoint that never repeats a call by itself.
//!
//! Libraries repeat calls where one does not look for it. reqwest repeats some
//! that the protocol says were not processed, unless told `retry::never()`.
//! hyper's pool repeats a request that met a *reused* connection as it was
//! being closed; it does so only if none of the request was written, but that
//! rests on hyper's own book-keeping. A charge that was repeated so would be
//! seen first by the customer. Work that must run at most once is therefore
//! sent on a connection of its own, where there is nothing to fall back from.
//!
//! Connections can also go silent for good while new ones work. Pooled ones to
//! an endpoint are thrown away by [`EndpointClient::discard_connections`], and
//! probes always open a new one.

use std::{
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

use crate::api::{
    CancelRequest, EngineStatus, GenerateRequest, KvExport, KvHandle, LoadReport, StreamItem,
};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// How long a short call (probe, cancel, state) may take.
const SHORT_CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// The longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Why an endpoint's answer can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection came about: no byte left.
    #[error("failed to connect to the endpoint: {0}")]
    NotSent(String),
    /// An engine refused, which its interface documents as not run.
    #[error("the endpoint refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it says.
        message: String,
    },
    /// The connection or the answer was lost or unreadable; the work may have run.
    #[error("the endpoint's answer was lost: {0}")]
    Lost(String),
}

/// What a probe on a new connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint answers.
    Healthy,
    /// Nothing listens there: the process has ended.
    ConnectionRefused,
    /// No answer: it may be frozen, overloaded or cut off.
    Unreachable,
}

/// A call of a plain service, built from what may be passed on and nothing else.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: String,
    /// The path below the service with its query, starting with a slash.
    pub path: String,
    /// The content type that the caller named.
    pub content_type: Option<String>,
    /// The caller's mark of repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Its content type.
    pub content_type: Option<String>,
    /// Its body, whole.
    pub body: Bytes,
}

/// The items of an engine's answer, as they come.
pub type ItemStream = futures::stream::BoxStream<'static, Result<StreamItem, EndpointError>>;

/// A client of one endpoint; clones share its connections.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    base: String,
    pooled: Arc<Mutex<reqwest::Client>>,
    fresh: reqwest::Client,
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

fn fresh_client() -> reqwest::Client {
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
            fresh: fresh_client(),
        }
    }

    /// Gives up all pooled connections; calls under way keep theirs.
    pub fn discard_connections(&self) {
        *self.pooled.lock().expect("no holder panics") = pooled_client();
    }

    fn pooled(&self) -> reqwest::Client {
        self.pooled.lock().expect("no holder panics").clone()
    }

    /// Sends work to an engine; answers its items from the first on.
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
            .map_err(|error| from_send(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(items(response).boxed());
        }
        let message = response.text().await.unwrap_or_default();
        let status = status.as_u16();
        match StatusCode::from_u16(status) {
            Ok(StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE) => {
                Err(EndpointError::Refused { status, message })
            }
            _ => Err(EndpointError::Lost(format!("status {status}: {message}"))),
        }
    }

    /// Calls a plain service and reads its answer to the end, at most `limit` long.
    /// Work that must run at most once goes on a connection of its own.
    pub async fn call(
        &self,
        permit: &SendPermit,
        call: &PlainCall,
        limit: usize,
    ) -> Result<PlainAnswer, EndpointError> {
        let client = match permit.kind() {
            WorkKind::Repeatable => self.pooled(),
            WorkKind::AtMostOnce => self.fresh.clone(),
        };
        let request = plain_request(&client, &self.base, permit.request(), call)?;
        let response = request.send().await.map_err(|error| from_send(&error))?;
        read_plain(response, limit).await
    }

    /// Tells the engine that nobody waits for `request` any more.
    pub async fn cancel(&self, request: &RequestId) -> Result<(), EndpointError> {
        let body = CancelRequest {
            request: request.clone(),
        };
        let call = self.fresh.post(format!("{}/cancel", self.base)).json(&body);
        short(call).await.map(drop)
    }

    /// Asks an engine for the KV cache of a prompt that it has prefilled.
    pub async fn export(&self, request: &RequestId) -> Result<KvHandle, EndpointError> {
        let body = KvExport {
            request: request.clone(),
        };
        let call = self.pooled().post(format!("{}/kv/export", self.base));
        let response = short(call.json(&body)).await?;
        response.json().await.map_err(|error| from_send(&error))
    }

    /// Asks on a new connection whether the endpoint answers.
    pub async fn probe(&self) -> ProbeResult {
        let call = self.fresh.get(format!("{}/health", self.base));
        match call.timeout(SHORT_CALL_TIMEOUT.as_duration()).send().await {
            Ok(response) if response.status().is_success() => ProbeResult::Healthy,
            Ok(_) => ProbeResult::Unreachable,
            Err(error) if is_refused_connection(&error) => ProbeResult::ConnectionRefused,
            Err(_) => ProbeResult::Unreachable,
        }
    }

    /// An engine's state, asked on a new connection.
    pub async fn state(&self) -> Result<EngineStatus, EndpointError> {
        let call = self.fresh.get(format!("{}/state", self.base));
        let response = short(call).await?;
        response.json().await.map_err(|error| from_send(&error))
    }

    /// An engine's lagging load.
    pub async fn load(&self) -> Result<LoadReport, EndpointError> {
        let call = self.pooled().get(format!("{}/load", self.base));
        let response = short(call).await?;
        response.json().await.map_err(|error| from_send(&error))
    }
}

fn from_send(error: &reqwest::Error) -> EndpointError {
    let message = error_text(error);
    if error.is_connect() {
        return EndpointError::NotSent(message);
    }
    EndpointError::Lost(message)
}

fn error_text(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

fn is_refused_connection(error: &reqwest::Error) -> bool {
    let first: &dyn std::error::Error = error;
    std::iter::successors(Some(first), |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

async fn short(call: RequestBuilder) -> Result<Response, EndpointError> {
    let call = call.timeout(SHORT_CALL_TIMEOUT.as_duration());
    let response = call.send().await.map_err(|error| from_send(&error))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    Err(EndpointError::Refused {
        status: status.as_u16(),
        message: response.text().await.unwrap_or_default(),
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
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(String::from);
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| EndpointError::Lost(error_text(&error)))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the answer is longer than {limit} bytes");
            return Err(EndpointError::Lost(message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(PlainAnswer {
        status,
        content_type,
        body: body.into(),
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
