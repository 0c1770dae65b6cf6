//! Checkpoint records: the live state, appended again before the log drops the records
//! that it came from.

use serde::{Deserialize, Serialize};

use crate::{
    config::{UnitBody, UnitName},
    ids::{KeyDigest, LogOffset, OrderId, WriterId},
    records::{
        ClaimSettlement, DrainMarkRecord, DutyName, IdempotencyClaim, IntentRecord, LeaseRecord,
        OrderBody, OrderOutcome, QuarantineRecord, UsageWindow, WindowUsage,
    },
};

/// One part of a checkpoint. The checkpoint is valid only once all parts have been
/// read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointPart {
    /// The fencing number under which the writer holds the `log` duty.
    pub fence: LogOffset,
    /// The offset of the last log entry that the state includes.
    pub as_of: LogOffset,
    /// The number of this part, starting at 0.
    pub part: u32,
    /// The number of parts of the checkpoint.
    pub parts: u32,
    /// The items of this part.
    pub items: Vec<CheckpointItem>,
}

/// One item of live state in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "item", rename_all = "snake_case")]
pub enum CheckpointItem {
    /// A unit of configuration that is in force, or was removed.
    Unit {
        /// Its name.
        unit: UnitName,
        /// The offset of the record that published it.
        version: LogOffset,
        /// The operator who published it.
        #[serde(default)]
        publisher: String,
        /// The content; `None` for a removed unit, whose version is kept.
        body: Option<UnitBody>,
    },
    /// A withdrawn key.
    Withdrawn {
        /// The digest of the key.
        digest: KeyDigest,
    },
    /// The last record of a writer, by which repeated appends are detected.
    Writer {
        /// The writer.
        writer: WriterId,
        /// The sequence number that the writer gave to the record.
        sequence: u64,
        /// The offset of the record.
        offset: LogOffset,
    },
    /// A lease in force.
    Lease {
        /// The claim or the last renewal.
        lease: LeaseRecord,
        /// The fencing number: the offset of the claim.
        fence: LogOffset,
        /// The offset of the claim or of the last renewal.
        #[serde(default)]
        latest: LogOffset,
    },
    /// An open order, which may still take effect.
    Intent {
        /// The intent.
        intent: IntentRecord,
        /// The offset of the first intent.
        offset: LogOffset,
    },
    /// A drain mark in force.
    Mark {
        /// The drain mark.
        mark: DrainMarkRecord,
        /// The offset of the mark.
        #[serde(default)]
        offset: LogOffset,
    },
    /// The claim of an idempotency key, and its settlement.
    Claim {
        /// The claim.
        claim: IdempotencyClaim,
        /// The offset of the claim.
        offset: LogOffset,
        /// The settlement, if the result is known.
        settlement: Option<ClaimSettlement>,
    },
    /// A usage window that is not yet reported.
    Window {
        /// The usage of the window.
        figures: WindowUsage,
    },
    /// The last closed usage window.
    ClosedWindow {
        /// The window.
        window: UsageWindow,
    },
    /// A settled order, by which a repeat of it is detected.
    Settled {
        /// The duty that it belonged to.
        duty: DutyName,
        /// The id of the order.
        order: OrderId,
        /// The content of the order.
        body: OrderBody,
        /// How it ended.
        outcome: OrderOutcome,
        /// The offset of its outcome.
        offset: LogOffset,
    },
    /// A request that crashed endpoints.
    Quarantine {
        /// One of its crashes.
        quarantine: QuarantineRecord,
        /// The offset of the last record about the request.
        #[serde(default)]
        offset: LogOffset,
    },
}
