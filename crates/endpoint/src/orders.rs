//! A client for orders to engines and for their status.
//!
//! It keeps no connection open between calls: calls to an engine are rare, and on a
//! pooled connection that no longer delivers the outcome of an order would be unknown.

use std::time::Duration;

use bluebell_core::clock::TimeSpan;
use reqwest::{RequestBuilder, StatusCode};

use crate::{
    api::{EngineOrder, EngineStatus, OrderAnswer},
    bodies,
};

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineOrderError {
    /// The connection could not be opened: nothing was sent.
    #[error("failed to connect to the engine: {0}")]
    NotSent(String),
    /// The call was sent; whether it took effect is unknown.
    #[error("the engine's answer was lost: {0}")]
    Unknown(String),
    /// The engine has received a later fencing number; the order has no effect.
    #[error("the engine rejected the fencing number as outdated: {0}")]
    Stale(String),
    /// The engine can't accept an order at the moment; the order has no effect.
    #[error("the engine is busy and accepts no order at the moment")]
    Busy,
    /// The engine rejected the call; an order has no effect.
    #[error("the engine rejected the call with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        message: String,
    },
}

/// A client for orders to engines.
#[derive(Clone, Debug)]
pub struct EngineOrderClient {
    http: reqwest::Client,
    timeout: TimeSpan,
}

impl EngineOrderClient {
    /// A client with `sender` as its `User-Agent`; its calls time out after `timeout`.
    pub fn new(sender: &str, timeout: TimeSpan) -> EngineOrderClient {
        let http = reqwest::Client::builder()
            .user_agent(sender)
            .connect_timeout(Duration::from_millis(500))
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .build()
            .expect("the client's settings are constant");
        EngineOrderClient { http, timeout }
    }

    /// Sends an order to the engine at `address` (`ip:port`).
    pub async fn order(
        &self,
        address: &str,
        order: &EngineOrder,
    ) -> Result<OrderAnswer, EngineOrderError> {
        let request = self.http.post(format!("http://{address}/orders"));
        self.call(request.json(order)).await
    }

    /// Requests the current state of the engine at `address`.
    pub async fn status(&self, address: &str) -> Result<EngineStatus, EngineOrderError> {
        self.call(self.http.get(format!("http://{address}/state")))
            .await
    }

    async fn call<Answer>(&self, request: RequestBuilder) -> Result<Answer, EngineOrderError>
    where
        Answer: serde::de::DeserializeOwned,
    {
        let request = request.timeout(self.timeout.as_duration());
        let response = request.send().await.map_err(|error| {
            if error.is_connect() {
                return EngineOrderError::NotSent(error.to_string());
            }
            EngineOrderError::Unknown(error.to_string())
        })?;
        let status = response.status();
        if status.is_success() {
            let decoded = bodies::decode(response).await;
            return decoded.map_err(|error| EngineOrderError::Unknown(error.to_string()));
        }
        if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(EngineOrderError::Busy);
        }
        let message = bodies::refusal_text(response).await;
        Err(match status {
            StatusCode::CONFLICT => EngineOrderError::Stale(message),
            status if status.is_server_error() => EngineOrderError::Unknown(message),
            status => EngineOrderError::Refused {
                status: status.as_u16(),
                message,
            },
        })
    }
}
