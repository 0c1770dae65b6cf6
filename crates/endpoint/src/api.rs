//! Messages between the processes of this system and endpoints.
//!
//! Engines:
//!
//! | call | answer |
//! |---|---|
//! | `POST /generate` [`GenerateRequest`] | lines of JSON, one [`StreamItem`] each; 409 if the engine does not serve the model or role, 503 if it drains |
//! | `POST /cancel` [`CancelRequest`] | 204, also for unknown requests |
//! | `GET /load` | [`LoadReport`], possibly out of date |
//! | `GET /cache-events?from=N` | `Vec<`[`CacheEvent`]`>`, late and with gaps |
//! | `POST /orders` [`EngineOrder`] | [`OrderAnswer`], 409 if its fencing number is old and the engine checks it |
//! | `GET /state` | [`EngineStatus`], current |
//! | `POST /kv/export` [`KvExport`] | [`KvHandle`] |
//!
//! Plain services accept any method and path. They receive `X-Request-Id` and, where
//! the caller sent one, `Idempotency-Key`; never the caller's key. All endpoints answer
//! `GET /health` with 204.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{LogOffset, ModelName, OrderId, RequestId},
    records::{EngineRole, OrderBody},
    units::{ByteSize, TokenCount},
};
use serde::{Deserialize, Serialize};

/// A request to an engine to generate output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Output that the caller has already received; the engine continues after it.
    #[serde(default)]
    pub delivered: Vec<String>,
    /// The maximum number of output tokens of the complete answer.
    pub max_tokens: TokenCount,
    /// Whether the request is interactive or deferrable.
    pub priority: WorkPriority,
    /// Stops after the prefill of the prompt and keeps its KV cache for export.
    #[serde(default)]
    pub prefill_only: bool,
    /// The KV cache to import instead of a prefill of the prompt.
    #[serde(default)]
    pub import: Option<KvHandle>,
}

/// One line of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "item", rename_all = "snake_case")]
pub enum StreamItem {
    /// An output token.
    Token {
        /// The request that it belongs to.
        request: RequestId,
        /// The attempt that it belongs to.
        attempt: u32,
        /// Its position in the answer, from 0, delivered output included.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The last item. An answer without it is incomplete.
    End {
        /// The request that it belongs to.
        request: RequestId,
        /// The attempt that it belongs to.
        attempt: u32,
        /// The number of tokens in the complete answer, delivered output included.
        length: u64,
        /// The reason for the end.
        finish: FinishReason,
        /// The number of prompt tokens.
        prompt_tokens: TokenCount,
        /// The number of prompt tokens found in the prefix cache.
        cached_tokens: TokenCount,
    },
}

/// The reason for the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The token limit was reached.
    Length,
    /// The prompt was prefilled; the request was for the prefill only.
    Prefilled,
    /// The request was cancelled.
    Cancelled,
}

/// Cancels a request whose answer is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
}

/// An engine's load at an earlier time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The time of the measurement, on the engine's clock.
    pub measured_at: ClockTime,
    /// The age of the measurement when the report was sent.
    pub age: TimeSpan,
    /// The number of waiting requests.
    pub waiting: u64,
    /// The number of requests in the batch.
    pub running: u64,
    /// The number of prompt tokens not yet prefilled.
    pub prefill_backlog: TokenCount,
    /// The KV memory in use, in tokens.
    pub kv_used: TokenCount,
    /// The total KV memory, in tokens.
    pub kv_capacity: TokenCount,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The digest of the prefix.
    pub prefix: String,
    /// Whether the prefix was stored or evicted.
    pub stored: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's id; a repeat has no further effect.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// The ordered change: `SetRole` or `LoadModel`.
    pub body: OrderBody,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The order's id.
    pub order: OrderId,
    /// The time that the change will take.
    pub takes: TimeSpan,
}

/// The current state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The engine's role.
    pub role: EngineRole,
    /// The loaded model.
    pub model: ModelName,
    /// Whether a change of role or model is in progress.
    pub changing: bool,
    /// The number of waiting and running requests.
    pub in_flight: u64,
    /// The greatest fencing number received.
    pub fence: LogOffset,
    /// The last order that took effect.
    pub last_order: Option<OrderId>,
}

/// Requests the export of a prefilled request's KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The request.
    pub request: RequestId,
}

/// The location of an exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The address of the engine that holds it, as `ip:port`.
    pub address: String,
    /// The request that it was computed for.
    pub request: RequestId,
    /// Its size.
    pub size: ByteSize,
}
