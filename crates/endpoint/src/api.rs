//! What travels between our processes and endpoints.
//!
//! Engines:
//!
//! | call | answer |
//! |---|---|
//! | `POST /generate` [`GenerateRequest`] | lines of JSON, one [`StreamItem`] each; 409 if the engine does not serve the model or role, 503 if it drains |
//! | `POST /cancel` [`CancelRequest`] | 204, also for unknown requests |
//! | `GET /load` | [`LoadReport`], lagging |
//! | `GET /cache-events?from=N` | `Vec<`[`CacheEvent`]`>`, late and with gaps |
//! | `POST /orders` [`EngineOrder`] | [`OrderAnswer`], 409 if its fencing number is old and the engine checks it |
//! | `GET /state` | [`EngineStatus`], current |
//! | `POST /kv/export` [`KvExport`] | [`KvHandle`] |
//!
//! Plain services take any method and path. They see `X-Request-Id` and, where
//! the caller sent one, `Idempotency-Key`; never the caller's key. All
//! endpoints answer `GET /health` with 204.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{LogOffset, ModelName, OrderId, RequestId},
    records::{EngineRole, OrderBody},
    units::{ByteSize, TokenCount},
};
use serde::{Deserialize, Serialize};

/// Work for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Output that the caller already has, which the engine continues.
    #[serde(default)]
    pub delivered: Vec<String>,
    /// The most output tokens of the whole answer.
    pub max_tokens: TokenCount,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// Stop after the prompt and keep its KV cache for export.
    #[serde(default)]
    pub prefill_only: bool,
    /// KV cache to start from instead of the prompt.
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
        /// Its place in the answer, from 0, counting delivered output.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The end mark. An answer without it is not whole.
    End {
        /// The request that it belongs to.
        request: RequestId,
        /// The attempt that it belongs to.
        attempt: u32,
        /// How many tokens the whole answer has, delivered output included.
        length: u64,
        /// Why it ended.
        finish: FinishReason,
        /// Tokens of the prompt.
        prompt_tokens: TokenCount,
        /// Tokens of the prompt that the prefix cache held.
        cached_tokens: TokenCount,
    },
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model was done.
    Stop,
    /// The limit on tokens was reached.
    Length,
    /// The prompt was prefilled, as asked.
    Prefilled,
    /// It was cancelled.
    Cancelled,
}

/// The end of a request that nobody waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
}

/// An engine's load as it was some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When it was so, on the engine's clock.
    pub measured_at: ClockTime,
    /// Its age when it was sent.
    pub age: TimeSpan,
    /// Requests waiting.
    pub waiting: u64,
    /// Requests in the batch.
    pub running: u64,
    /// Prompt tokens not yet prefilled.
    pub prefill_backlog: TokenCount,
    /// KV memory in use.
    pub kv_used: TokenCount,
    /// KV memory in all.
    pub kv_capacity: TokenCount,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a gap tells that events were lost.
    pub sequence: u64,
    /// The digest of the prefix.
    pub prefix: String,
    /// Whether it was stored or evicted.
    pub stored: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's id; a repeat has no further effect.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// What is ordered: `SetRole` or `LoadModel`.
    pub body: OrderBody,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The order.
    pub order: OrderId,
    /// How long the change will take.
    pub takes: TimeSpan,
}

/// What an engine is doing now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A number that changes when the engine is started again.
    pub incarnation: u64,
    /// Its role.
    pub role: EngineRole,
    /// Its model.
    pub model: ModelName,
    /// Whether a change of role or model is under way.
    pub changing: bool,
    /// Requests waiting or running.
    pub in_flight: u64,
    /// The greatest fencing number seen.
    pub fence: LogOffset,
    /// The last order that took effect.
    pub last_order: Option<OrderId>,
}

/// Asks for the KV cache of a prefilled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The request.
    pub request: RequestId,
}

/// Where KV cache can be had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The engine that holds it, as `ip:port`.
    pub address: String,
    /// The request that it was made for.
    pub request: RequestId,
    /// How large it is.
    pub size: ByteSize,
}
