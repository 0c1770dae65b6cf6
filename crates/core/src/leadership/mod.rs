//! Leader election by conditional appends to a topic of the store.
//!
//! Usage reports, endpoint orders and engine orders are made by one process at a
//! time. The *leader* is the process that appended last to a topic of the store, and the
//! offset of that record is its fencing number: it rises with each record, and no
//! two processes have the same. Before each action the leader appends a record,
//! on the condition that the topic still ends where it has read it, and then acts
//! within [`ACTION_WINDOW`] or not at all. A leader that was suspended, partitioned
//! or slow therefore never acts on an outdated grant. A call that an action makes is
//! revoked when the leader gives it up, and after [`CALL_WINDOW`] at the latest, so that
//! it does not arrive after the calls that follow.
//!
//! Another process takes over once no record was appended for the longest time that
//! the leader's last action can lag behind its record, plus the lease. As no action
//! falls into the lease before a takeover, actions of two leaders never alternate
//! within one lease.
//!
//! Times are of a clock that goes on while the process is suspended.

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    usage::MeterWriter,
};

/// How long after sending its append a leader may start an action. An append takes
/// 4 ms, and 0.2 s while the store is slow; the action's call takes time as well.
pub const ACTION_WINDOW: TimeSpan = TimeSpan::from_millis(1_000);

/// How long after sending its append a leader's call may arrive. A call that has no answer by then
/// is revoked.
pub const CALL_WINDOW: TimeSpan = TimeSpan::from_millis(1_800);

/// The longest interval between two appends of a live leader, which show the other
/// processes that it is alive.
pub const LEADER_HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(4_000);

/// How late a heartbeat may be before the leader is assumed to have failed.
const HEARTBEAT_SLACK: TimeSpan = TimeSpan::from_millis(1_500);

/// How much longer each next candidate waits, so that they don't all append.
const CANDIDATE_DELAY_STEP: TimeSpan = TimeSpan::from_millis(150);

/// The number of different candidate delays.
const CANDIDATE_DELAY_STEPS: u64 = 8;

/// Permission to start an action within [`ACTION_WINDOW`] of the append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderGrant {
    /// The fencing number.
    pub fence: LogOffset,
    sent: ClockTime,
}

impl LeaderGrant {
    /// Whether the action may still be started.
    pub fn allows(&self, now: ClockTime) -> bool {
        now.since(self.sent) <= ACTION_WINDOW
    }

    /// How long an action's call may still wait for its answer.
    pub fn call_time_left(&self, now: ClockTime) -> TimeSpan {
        CALL_WINDOW.saturating_sub(now.since(self.sent))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct LastRecord {
    #[serde(skip)]
    writer: MeterWriter,
    offset: LogOffset,
    read_at: ClockTime,
}

/// The state of the leader election as one process has read it.
#[derive(Clone, Debug)]
pub struct LeadershipState {
    local: MeterWriter,
    lease: TimeSpan,
    started_at: ClockTime,
    last: Option<LastRecord>,
    end: Option<LogOffset>,
}

impl LeadershipState {
    /// The state of a process that started at `now` and has not read the topic yet.
    /// `local` is the process's own writer identity, `lease` the time without
    /// actions before a takeover.
    pub fn new(now: ClockTime, local: MeterWriter, lease: TimeSpan) -> LeadershipState {
        LeadershipState {
            local,
            lease,
            started_at: now,
            last: None,
            end: None,
        }
    }

    /// Records that `writer` appended at `offset`. Offsets that were already recorded
    /// are ignored.
    pub fn note_record(&mut self, now: ClockTime, offset: LogOffset, writer: MeterWriter) {
        if self.last.as_ref().is_some_and(|last| last.offset >= offset) {
            return;
        }
        self.last = Some(LastRecord {
            writer,
            offset,
            read_at: now,
        });
        self.note_end(offset.next());
    }

    /// Records that everything before `end` has been read.
    pub fn note_end(&mut self, end: LogOffset) {
        self.end = self.end.max(Some(end));
    }

    /// The end of the topic when it was last read, which an append is conditional on.
    pub fn end(&self) -> Option<LogOffset> {
        self.end
    }

    /// Whether this process appended last.
    pub fn is_leader(&self) -> bool {
        self.last
            .as_ref()
            .is_some_and(|last| last.writer == self.local)
    }

    /// The instance that appended the last record.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.last.as_ref().map(|last| &last.writer.instance)
    }

    /// Whether this process may append: it is the leader, or no record was appended
    /// for so long that no action of the leader can fall within the lease.
    pub fn may_append(&self, now: ClockTime) -> bool {
        let Some(_) = self.end else { return false };
        let Some(last) = &self.last else {
            return now.since(self.started_at) >= self.candidate_delay();
        };
        last.writer == self.local || now.since(last.read_at) >= self.takeover_timeout()
    }

    /// Records that the local append sent at `sent` was stored at `offset`, and
    /// returns the grant that follows from it.
    pub fn appended(&mut self, now: ClockTime, sent: ClockTime, offset: LogOffset) -> LeaderGrant {
        self.note_record(now, offset, self.local.clone());
        LeaderGrant {
            fence: offset,
            sent,
        }
    }

    /// How much longer this process waits before it takes over.
    pub fn takeover_wait(&self, now: ClockTime) -> TimeSpan {
        let elapsed = self.last.as_ref().map(|last| now.since(last.read_at));
        let slack = TimeSpan::from_millis(10);
        elapsed.map_or(TimeSpan::ZERO, |elapsed| {
            self.takeover_timeout().saturating_sub(elapsed) + slack
        })
    }

    /// How long the leader may append no record before this process takes over.
    pub fn takeover_timeout(&self) -> TimeSpan {
        let last_action_end = self.lease + CALL_WINDOW;
        last_action_end.max(LEADER_HEARTBEAT_INTERVAL + HEARTBEAT_SLACK) + self.candidate_delay()
    }

    fn candidate_delay(&self) -> TimeSpan {
        let name = self.local.instance.as_str().as_bytes();
        let step = xxhash_rust::xxh3::xxh3_64(name) % CANDIDATE_DELAY_STEPS;
        CANDIDATE_DELAY_STEP.times(step)
    }
}
