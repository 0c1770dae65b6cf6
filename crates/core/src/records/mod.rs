//! The records of the platform's log, as all processes read them.
//!
//! Each slice reads the records of its duty; [`crate::view::FleetView`] hands
//! every entry to every slice, in the order of the log.

mod checkpoint;
mod claims;
mod configuration;
mod drain_marks;
mod duties;
mod orders;
mod quarantine;
mod usage;

use serde::{Deserialize, Serialize};

pub use self::{
    checkpoint::{CheckpointItem, CheckpointPart},
    claims::{ClaimBatch, ClaimSettlement, IdempotencyClaim, SettledResult, SettlementBatch},
    configuration::{PublishRecord, UnitChange, WithdrawRecord},
    drain_marks::{DrainMarkRecord, MarkState},
    duties::{DutyName, LeaseAction, LeaseRecord},
    orders::{CapacityKind, EngineRole, IntentRecord, OrderBody, OrderOutcome, OutcomeRecord},
    quarantine::QuarantineRecord,
    usage::{UsageDelta, UsageLine, UsageWindow, WindowClose, WindowUsage},
};
use crate::ids::{LogOffset, WriterId};

/// One entry of the log as read back: where it stands, who wrote it, what it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Where the entry stands.
    pub offset: LogOffset,
    /// Who appended it.
    pub writer: WriterId,
    /// The writer's own number for it. An append whose answer was lost is sent
    /// again with the same number, and readers drop the second copy.
    pub sequence: u64,
    /// What it says.
    pub record: LogRecord,
}

/// What an entry of the log says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LogRecord {
    /// An operator's change of configuration.
    Publish(PublishRecord),
    /// A key stops working, whatever the configuration says.
    Withdraw(WithdrawRecord),
    /// A part of the live state, written again before the log forgets it.
    Checkpoint(CheckpointPart),
    /// A claim, renewal or release of a duty.
    Lease(LeaseRecord),
    /// An order that the holder of a duty is about to send.
    Intent(IntentRecord),
    /// What became of an order.
    Outcome(OutcomeRecord),
    /// Claims of idempotency keys, batched.
    Claims(ClaimBatch),
    /// What became of claimed actions, batched.
    Settlements(SettlementBatch),
    /// An endpoint is about to leave, or no longer is.
    Mark(DrainMarkRecord),
    /// What one entry metered.
    Usage(UsageDelta),
    /// The end of a usage window, which freezes its figures.
    WindowClose(WindowClose),
    /// A request that crashes the endpoints that run it.
    Quarantine(QuarantineRecord),
}
