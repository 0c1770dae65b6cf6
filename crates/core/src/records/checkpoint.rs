//! Live state, written again before the log forgets it.

use serde::{Deserialize, Serialize};

use crate::{
    config::{UnitBody, UnitName},
    ids::{KeyDigest, LogOffset, OrderId, WriterId},
    records::{
        ClaimSettlement, DrainMarkRecord, DutyName, IdempotencyClaim, IntentRecord, LeaseRecord,
        OrderBody, OrderOutcome, QuarantineRecord, UsageWindow, WindowUsage,
    },
};

/// One part of a checkpoint; it counts only once all parts have been read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointPart {
    /// The fencing number of the writer's `log` duty.
    pub fence: LogOffset,
    /// The state is that after applying everything up to and with this offset.
    pub as_of: LogOffset,
    /// This part's number, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// A slice of the state.
    pub items: Vec<CheckpointItem>,
}

/// One item of live state in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "item", rename_all = "snake_case")]
pub enum CheckpointItem {
    /// A unit in force.
    Unit {
        /// Its name.
        unit: UnitName,
        /// The offset of the publish that it came with.
        version: LogOffset,
        /// Who published it.
        #[serde(default)]
        publisher: String,
        /// Its content; none remembers the version of a removed unit.
        body: Option<UnitBody>,
    },
    /// A withdrawn key.
    Withdrawn {
        /// The digest of the key.
        digest: KeyDigest,
    },
    /// The last record of a writer, to drop second copies.
    Writer {
        /// The writer.
        writer: WriterId,
        /// The writer's own number for it.
        sequence: u64,
        /// Where it stands.
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
    /// An order that may still have an effect.
    Intent {
        /// The order.
        intent: IntentRecord,
        /// Where it stands.
        offset: LogOffset,
    },
    /// A mark in force.
    Mark {
        /// The mark.
        mark: DrainMarkRecord,
        /// Where it stands.
        #[serde(default)]
        offset: LogOffset,
    },
    /// A claim with what became of it.
    Claim {
        /// The claim.
        claim: IdempotencyClaim,
        /// Where it stands.
        offset: LogOffset,
        /// What became of it.
        settlement: Option<ClaimSettlement>,
    },
    /// A usage window that is not yet reported.
    Window {
        /// Its figures.
        figures: WindowUsage,
    },
    /// The last usage window that has been closed.
    ClosedWindow {
        /// The window.
        window: UsageWindow,
    },
    /// An order that has been settled, so that a repeat of it is recognised.
    Settled {
        /// The duty that it belonged to.
        duty: DutyName,
        /// The order.
        order: OrderId,
        /// What was ordered.
        body: OrderBody,
        /// How it ended.
        outcome: OrderOutcome,
        /// Where its outcome stands.
        offset: LogOffset,
    },
    /// A request that crashed endpoints.
    Quarantine {
        /// One of its crashes.
        quarantine: QuarantineRecord,
        /// Where the last record of it stands.
        #[serde(default)]
        offset: LogOffset,
    },
}
