//! Orders to engines and to the platform: intents and outcomes.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointId, FailureDomain, LogOffset, ModelName, OrderId, ServiceName},
    records::{DutyName, UsageWindow},
};

/// What an engine does in a fleet with separate prefill and decode.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode in one batch.
    #[default]
    Mixed,
    /// Prompts only; the KV cache is handed over.
    Prefill,
    /// Output only.
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

/// The two kinds of capacity that the platform offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacityKind {
    /// Kept until we stop it.
    Reserved,
    /// Cheaper; the platform takes it back on a few seconds' notice.
    Preemptible,
}

/// What an order asks of an engine or of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderBody {
    /// An engine changes its role.
    SetRole {
        /// The engine.
        endpoint: EndpointId,
        /// Its new role.
        role: EngineRole,
    },
    /// An engine loads a model version.
    LoadModel {
        /// The engine.
        endpoint: EndpointId,
        /// The model.
        model: ModelName,
    },
    /// The platform starts an endpoint.
    StartEndpoint {
        /// Where.
        failure_domain: FailureDomain,
        /// On what.
        capacity: CapacityKind,
        /// For which service.
        service: ServiceName,
    },
    /// The platform stops an endpoint.
    StopEndpoint {
        /// Which.
        endpoint: EndpointId,
    },
    /// The platform takes a usage report.
    ReportUsage {
        /// The window reported.
        window: UsageWindow,
    },
}

/// An order that the holder of a duty is about to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// The duty that the order belongs to.
    pub duty: DutyName,
    /// The fencing number of its holder.
    pub fence: LogOffset,
    /// The order's id; the same intent always has the same one.
    pub order: OrderId,
    /// What is ordered.
    pub body: OrderBody,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It took effect.
    Applied,
    /// It was refused and had no effect.
    Refused,
    /// It was never sent, or observed to have had no effect.
    Abandoned,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeRecord {
    /// The duty that the order belongs to.
    pub duty: DutyName,
    /// The fencing number of whoever finished it.
    pub fence: LogOffset,
    /// The order.
    pub order: OrderId,
    /// How it ended.
    pub outcome: OrderOutcome,
}
