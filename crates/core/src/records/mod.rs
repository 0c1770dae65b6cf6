//! The records of the platform's log, as all processes read them.
//!
//! [`crate::view::FleetView`] applies the entries in log order and passes each record
//! to the modules that hold the state it changes.

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

/// One entry of the log as read back, with its offset and writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The writer that appended the entry.
    pub writer: WriterId,
    /// The sequence number given by the writer. An append whose answer was lost is
    /// repeated with the same number, and readers drop the second copy.
    pub sequence: u64,
    /// The record.
    pub record: LogRecord,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LogRecord {
    /// A configuration change by an operator.
    Publish(PublishRecord),
    /// The withdrawal of a caller's key, which overrides the configuration.
    Withdraw(WithdrawRecord),
    /// A part of a checkpoint of the live state.
    Checkpoint(CheckpointPart),
    /// A claim, renewal or release of a duty.
    Lease(LeaseRecord),
    /// An order that the holder of a duty is about to send.
    Intent(IntentRecord),
    /// The outcome of an order.
    Outcome(OutcomeRecord),
    /// A batch of claims of idempotency keys.
    Claims(ClaimBatch),
    /// A batch of settlements of claimed actions.
    Settlements(SettlementBatch),
    /// Sets or clears the drain mark of an endpoint.
    Mark(DrainMarkRecord),
    /// Usage metered by one entry.
    Usage(UsageDelta),
    /// Closes a usage window and freezes its usage.
    WindowClose(WindowClose),
    /// A crash of an endpoint during a request, or the clearance of such a request.
    Quarantine(QuarantineRecord),
}
