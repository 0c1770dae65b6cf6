//! A client of the platform that never retries a call by itself.

use std::time::Duration;

use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
    units::ByteSize,
};
use bluebell_transfer::TransferError;
use bytes::Bytes;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use crate::api::{
    AppendAnswer, AppendRequest, EndpointListing, InstanceListing, ReadAnswer, StartEndpoint,
    StopEndpoint, UsageReport, WeightFetch,
};

/// The time limit for the head of an answer and for each chunk of its body; a call that
/// exceeds it counts as lost.
pub const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);

/// The maximum size of an answer; an answer without end would fill the memory.
const MAX_ANSWER: ByteSize = ByteSize::new(64 * 1_024 * 1_024);

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The connection could not be opened: nothing was sent.
    #[error("failed to connect to the platform: {0}")]
    NotSent(String),
    /// The call was sent; whether it took effect is unknown.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The platform is temporarily unavailable; the call had no effect.
    #[error("the platform is temporarily unavailable: status {status}")]
    Unavailable {
        /// The HTTP status.
        status: u16,
        /// How long to wait before a retry.
        retry_after: TimeSpan,
    },
    /// The platform rejected the call, which had no effect.
    #[error("the platform rejected the call with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        message: String,
    },
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    http: reqwest::Client,
}

impl PlatformClient {
    /// A client for the platform at `address` (`ip:port`) that names `instance` of
    /// `failure_domain` as the sender.
    pub fn new(
        address: &str,
        instance: &InstanceId,
        failure_domain: &FailureDomain,
    ) -> PlatformClient {
        let http = reqwest::Client::builder()
            .user_agent(format!("bluebell/{instance}@{failure_domain}"))
            .connect_timeout(Duration::from_millis(500))
            .retry(reqwest::retry::never())
            .build()
            .expect("the client's settings are constant");
        PlatformClient {
            base: format!("http://{address}"),
            http,
        }
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.http.get(format!("{}{path}", self.base))
    }

    fn post<Body>(&self, path: &str, body: &Body) -> RequestBuilder
    where
        Body: serde::Serialize,
    {
        let request = self.http.post(format!("{}{path}", self.base));
        request.json(body)
    }

    /// Appends a record.
    pub async fn append(&self, request: &AppendRequest) -> Result<AppendAnswer, PlatformError> {
        call(self.post("/log/append", request)).await
    }

    /// Reads at most `limit` entries from `from` on; waits up to `wait` for the first one.
    pub async fn read(
        &self,
        from: LogOffset,
        limit: usize,
        wait: TimeSpan,
    ) -> Result<ReadAnswer, PlatformError> {
        let path = format!(
            "/log/read?from={from}&limit={limit}&wait_ms={}",
            wait.as_millis()
        );
        decode(&send(self.get(&path), CALL_TIMEOUT + wait).await?)
    }

    /// Registers this process in the platform's list of instances.
    pub async fn announce(&self, listing: &InstanceListing) -> Result<(), PlatformError> {
        let request = self.http.put(format!("{}/instances", self.base));
        let request = request.json(listing);
        send(request, CALL_TIMEOUT).await.map(drop)
    }

    /// The platform's list of this system's processes, which may be out of date.
    pub async fn instances(&self) -> Result<Vec<InstanceListing>, PlatformError> {
        call(self.get("/instances")).await
    }

    /// The platform's list of endpoints.
    pub async fn endpoints(&self) -> Result<Vec<EndpointListing>, PlatformError> {
        call(self.get("/endpoints")).await
    }

    /// Orders the start of an endpoint.
    pub async fn start_endpoint(
        &self,
        order: &StartEndpoint,
    ) -> Result<EndpointListing, PlatformError> {
        call(self.post("/endpoints/start", order)).await
    }

    /// Orders the stop of an endpoint.
    pub async fn stop_endpoint(&self, order: &StopEndpoint) -> Result<(), PlatformError> {
        let request = self.post("/endpoints/stop", order);
        send(request, CALL_TIMEOUT).await.map(drop)
    }

    /// Fetches weights for an endpoint.
    pub async fn fetch_weights(&self, fetch: &WeightFetch) -> Result<(), PlatformError> {
        let request = self.post("/weights/fetch", fetch);
        send(request, CALL_TIMEOUT).await.map(drop)
    }

    /// The usage reports that the platform has accepted.
    pub async fn usage_reports(&self) -> Result<Vec<UsageReport>, PlatformError> {
        call(self.get("/usage/reports")).await
    }

    /// Reports a window's usage.
    pub async fn report_usage(&self, report: &UsageReport) -> Result<(), PlatformError> {
        let request = self.post("/usage/reports", report);
        send(request, CALL_TIMEOUT).await.map(drop)
    }
}

async fn call<Answer>(request: RequestBuilder) -> Result<Answer, PlatformError>
where
    Answer: DeserializeOwned,
{
    decode(&send(request, CALL_TIMEOUT).await?)
}

async fn send(request: RequestBuilder, timeout: TimeSpan) -> Result<Bytes, PlatformError> {
    let fetched = bluebell_transfer::fetch(request, timeout, MAX_ANSWER).await;
    let answer = fetched.map_err(|error| match error {
        TransferError::NotSent(reason) => PlatformError::NotSent(reason),
        error => PlatformError::Unknown(error.to_string()),
    })?;
    let status = answer.status;
    if status.is_success() {
        return Ok(answer.body);
    }
    let retry_after = answer.headers.get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok());
    let retry_after = TimeSpan::from_secs(retry_after.and_then(|v| v.parse().ok()).unwrap_or(1));
    if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(PlatformError::Unavailable {
            status: status.as_u16(),
            retry_after,
        });
    }
    if status.is_server_error() {
        return Err(PlatformError::Unknown(format!("status {status}")));
    }
    Err(PlatformError::Refused {
        status: status.as_u16(),
        message: String::from_utf8_lossy(&answer.body).to_string(),
    })
}

fn decode<Answer>(body: &Bytes) -> Result<Answer, PlatformError>
where
    Answer: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| PlatformError::Unknown(error.to_string()))
}
