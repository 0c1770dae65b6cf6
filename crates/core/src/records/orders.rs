//! Orders to engines and to the platform: intents and outcomes.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointId, FailureDomain, LogOffset, ModelName, OrderId, ServiceName},
    records::{DutyName, UsageWindow},
};

/// The role of an engine in a fleet with separate prefill and decode.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefill and decode in one batch.
    #[default]
    Mixed,
    /// Processes prompts only and hands the KV cache over to a decode engine.
    Prefill,
    /// Generates output only.
    Decode,
}

impl std::fmt::Display for EngineRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            EngineRole::Mixed => "mixed",
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        })
    }
}

/// The kinds of capacity that the platform offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacityKind {
    /// Kept until an order stops it.
    Reserved,
    /// Cheaper; the platform may reclaim it with a few seconds' notice.
    Preemptible,
}

/// The content of an order to an engine or to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderBody {
    /// Changes the role of an engine.
    SetRole {
        /// The engine.
        endpoint: EndpointId,
        /// The new role.
        role: EngineRole,
    },
    /// Loads a model version on an engine.
    LoadModel {
        /// The engine.
        endpoint: EndpointId,
        /// The model.
        model: ModelName,
    },
    /// Starts an endpoint on the platform.
    StartEndpoint {
        /// The failure domain to start it in.
        failure_domain: FailureDomain,
        /// The kind of capacity to start it on.
        capacity: CapacityKind,
        /// The service that it will serve.
        service: ServiceName,
    },
    /// Stops an endpoint on the platform.
    StopEndpoint {
        /// The endpoint to stop.
        endpoint: EndpointId,
    },
    /// Sends a usage report to the platform.
    ReportUsage {
        /// The reported window.
        window: UsageWindow,
    },
}

/// An order that the holder of a duty is about to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// The duty that the order belongs to.
    pub duty: DutyName,
    /// The fencing number of the duty's holder.
    pub fence: LogOffset,
    /// The id of the order; a repeated intent has the same id.
    pub order: OrderId,
    /// The content of the order.
    pub body: OrderBody,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order took effect.
    Applied,
    /// The receiver refused the order, which had no effect.
    Refused,
    /// The order was never sent, or was observed to have had no effect.
    Abandoned,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeRecord {
    /// The duty that the order belongs to.
    pub duty: DutyName,
    /// The fencing number of the holder that finished the order.
    pub fence: LogOffset,
    /// The id of the order.
    pub order: OrderId,
    /// How the order ended.
    pub outcome: OrderOutcome,
}
