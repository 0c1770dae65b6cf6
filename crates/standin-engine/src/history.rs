//! What reached the engine, for history checks: `GET /control/history`.

use std::collections::VecDeque;

use bluebell_core::{
    clock::ClockTime,
    ids::{ModelName, RequestId},
    units::TokenCount,
};
use bluebell_endpoint::api::EngineOrder;
use serde::{Deserialize, Serialize};

/// How many events are kept.
const EVENT_LIMIT: usize = 200_000;

/// How an attempt ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// With its end mark.
    Whole,
    /// Because it was cancelled.
    Cancelled,
    /// Because nobody read it any more.
    Abandoned,
    /// Cut by the engine: a crash, an order, a fault.
    Cut,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// Work was accepted.
    Accepted {
        /// When, on the engine's clock.
        at: ClockTime,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The model.
        model: ModelName,
        /// The prompt's first part.
        prompt: String,
        /// Output that the caller already had.
        delivered: u64,
        /// The most output tokens.
        max_tokens: TokenCount,
        /// All headers, as `name: value`.
        headers: Vec<String>,
    },
    /// Work was refused before running.
    Refused {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The HTTP status.
        status: u16,
    },
    /// An attempt ended.
    Ended {
        /// When, on the engine's clock.
        at: ClockTime,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Tokens sent in this attempt.
        tokens: u64,
        /// How.
        end: AttemptEnd,
    },
    /// An order came.
    Order {
        /// When, on the engine's clock.
        at: ClockTime,
        /// The order.
        order: EngineOrder,
        /// Whether it took effect.
        effect: bool,
        /// Whether another order was still under way.
        conflicting: bool,
        /// Attempts that it cut.
        cut: u64,
    },
    /// The engine crashed.
    Crashed {
        /// When, on the engine's clock.
        at: ClockTime,
        /// The incarnation that ended.
        incarnation: u64,
    },
}

/// The latest events.
#[derive(Debug, Default)]
pub(crate) struct EventHistory {
    pub(crate) events: VecDeque<EngineEvent>,
}

impl EventHistory {
    pub(crate) fn push(&mut self, event: EngineEvent) {
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
