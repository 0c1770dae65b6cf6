//! The records of the platform's log, as all processes read them.
//!
//! Each slice reads the records of its duty; [`crate::view::FleetView`] hands
//! every entry to every slice, in the order of the log.

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    config::{UnitBody, UnitName},
    ids::{
        EndpointId, FailureDomain, IdempotencyKey, InstanceId, KeyDigest, LogOffset, ModelName,
        OrderId, OrganisationId, RequestFingerprint, RequestId, ServiceName, WriterId,
    },
    units::TokenCount,
};

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
    Mark(EndpointMark),
    /// What one entry metered.
    Usage(UsageDelta),
    /// The end of a usage window, which freezes its figures.
    WindowClose(WindowClose),
    /// A request that crashes the endpoints that run it.
    Quarantine(QuarantineRecord),
}

/// A change of several units that takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRecord {
    /// Who publishes, for the loser of a race to read.
    pub publisher: String,
    /// The changes.
    pub changes: Vec<UnitChange>,
}

/// A change of one unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnitChange {
    /// The unit.
    pub unit: UnitName,
    /// The version that the change was made from; none if the unit was new.
    pub base: Option<LogOffset>,
    /// The new content; none removes the unit.
    pub body: Option<UnitBody>,
}

/// The withdrawal of a key. It is never undone: a key that is granted again has
/// another digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// Who withdrew it.
    pub publisher: String,
}

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
        mark: EndpointMark,
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
        figures: WindowFigures,
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

/// What a process may be in charge of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyName {
    /// Orders to the platform's endpoint interface.
    Fleet,
    /// Closing and reporting usage windows.
    Usage,
    /// Checkpoints of the log.
    Log,
    /// Orders to the engines of a failure domain.
    Engines(FailureDomain),
}

impl std::fmt::Display for DutyName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DutyName::Fleet => f.write_str("fleet"),
            DutyName::Usage => f.write_str("usage"),
            DutyName::Log => f.write_str("log"),
            DutyName::Engines(domain) => write!(f, "engines/{domain}"),
        }
    }
}

/// What a lease record does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Take the duty; its offset becomes the fencing number.
    Claim,
    /// Keep the duty under the fencing number of the claim.
    Renew {
        /// The offset of the claim.
        fence: LogOffset,
    },
    /// Give the duty up.
    Release {
        /// The offset of the claim.
        fence: LogOffset,
    },
}

/// A claim, renewal or release of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The duty.
    pub duty: DutyName,
    /// Who claims, holds or gives up.
    pub holder: InstanceId,
    /// What the record does.
    pub action: LeaseAction,
    /// How long the lease runs from a claim or renewal.
    pub duration: TimeSpan,
    /// For a claim: the last claim or renewal of the lease that it follows; none
    /// if the duty was free. The claim loses if that has changed meanwhile.
    #[serde(default)]
    pub supersedes: Option<LogOffset>,
}

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

/// Several claims in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The claims.
    pub claims: Vec<IdempotencyClaim>,
}

/// The claim of an idempotency key: the first in the log's order may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyClaim {
    /// Whose action it is.
    pub organisation: OrganisationId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
    /// The request that claims it.
    pub request: RequestId,
    /// What the request asks for, to tell misuse of a key from a repeat.
    pub fingerprint: RequestFingerprint,
    /// The entry that claims it.
    pub entry: InstanceId,
}

/// Several settlements in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettlementBatch {
    /// The settlements.
    pub settlements: Vec<ClaimSettlement>,
}

/// What became of a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSettlement {
    /// Whose action it was.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
    /// The request whose claim stood.
    pub request: RequestId,
    /// What became of it.
    pub result: SettledResult,
}

/// How a claimed action ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SettledResult {
    /// It ran; a later sender gets this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body, if it is short enough to keep.
        body: Option<String>,
    },
    /// No byte left for an endpoint: the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a mark says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkState {
    /// No new work: a role change, replacement or stop follows.
    Leaving,
    /// Work again.
    Staying,
}

/// An endpoint is about to leave, or no longer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointMark {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the mark says.
    pub state: MarkState,
    /// The duty under which it was set.
    pub duty: DutyName,
    /// The fencing number of its holder.
    pub fence: LogOffset,
}

/// The number of a usage window, counted from the wall clock's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(u64);

impl UsageWindow {
    /// The window with this number.
    pub const fn new(number: u64) -> UsageWindow {
        UsageWindow(number)
    }

    /// The window's number.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The window after this one.
    pub const fn next(self) -> UsageWindow {
        UsageWindow(self.0 + 1)
    }

    /// The window that `now` falls into if windows are `length` long.
    pub fn at(now: ClockTime, length: TimeSpan) -> UsageWindow {
        UsageWindow(now.as_millis() / length.as_millis().max(1))
    }
}

impl std::fmt::Display for UsageWindow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for UsageWindow {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<UsageWindow, std::num::ParseIntError> {
        text.parse().map(UsageWindow)
    }
}

/// What one organisation used of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageLine {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// Answers delivered, in whole or in part.
    pub requests: u64,
    /// Prompt tokens of those.
    pub prompt_tokens: TokenCount,
    /// Output tokens delivered to the caller.
    pub output_tokens: TokenCount,
}

/// What one entry metered since its last delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageDelta {
    /// The entry.
    pub entry: InstanceId,
    /// The window in which it was metered.
    pub window: UsageWindow,
    /// The lines.
    pub lines: Vec<UsageLine>,
}

/// The end of a window: its figures are those of the log before this record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowClose {
    /// The window.
    pub window: UsageWindow,
    /// The fencing number of the `usage` duty's holder.
    pub fence: LogOffset,
}

/// The figures of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowFigures {
    /// The window.
    pub window: UsageWindow,
    /// Whether a close record froze the figures.
    pub frozen: bool,
    /// The lines, by organisation and service.
    pub lines: Vec<UsageLine>,
}

/// A request that crashes the endpoints that run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRecord {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The endpoint that was lost while it ran there.
    pub endpoint: EndpointId,
    /// Which of the endpoint's starts was lost, as far as known: an endpoint can
    /// be lost more than once.
    #[serde(default)]
    pub incarnation: u64,
    /// The entry that saw it.
    pub entry: InstanceId,
    /// Whether the request ran to its end there instead: it is no suspect any more.
    #[serde(default)]
    pub cleared: bool,
}
