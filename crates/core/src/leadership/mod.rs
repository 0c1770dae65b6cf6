//! Who acts for all instances towards the platform and the engines.
//!
//! Usage reports, endpoint orders and engine orders are one process's job at a
//! time. The *steward* is whoever appended last to a topic of the store, and the
//! offset of that record is its fencing number: it rises with each record, and no
//! two processes have the same. Before each act the steward appends a record,
//! only where the topic still ends as it has read it, and acts at once or not at
//! all. So a steward that was suspended, cut off or slow never acts on an old
//! right; it finds that the time allowed since its append was sent is over.
//!
//! Somebody else takes over when nothing was appended for longer than the
//! steward's last act can lie behind its record, and the lease after that. With
//! no act in the lease before a takeover, two holders never take turns in it.
//!
//! Times are of a clock that goes on while the process is suspended.

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    usage::MeterWriter,
};

/// How long after its append was sent a steward may act. An append takes 4 ms,
/// and 0.2 s while the store is slow; the call itself may take some time too.
pub const ACTION_WINDOW: TimeSpan = TimeSpan::from_millis(1_000);

/// How long an act may be on its way: connections take a second if their opening
/// packet is lost.
const MAX_ACTION_DELAY: TimeSpan = TimeSpan::from_millis(800);

/// How often a steward appends at least, so that the others know that it is there.
pub const LEADER_HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(4_000);

/// How late a beat may be before the steward is taken to be gone.
const HEARTBEAT_SLACK: TimeSpan = TimeSpan::from_millis(1_500);

/// How much longer each next candidate waits, so that they don't all append.
const CANDIDATE_DELAY_STEP: TimeSpan = TimeSpan::from_millis(150);

/// How many steps the candidates are spread over.
const CANDIDATE_DELAY_STEPS: u64 = 8;

/// The right to act, until it runs out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderGrant {
    /// The fencing number.
    pub fence: LogOffset,
    sent: ClockTime,
}

impl LeaderGrant {
    /// Whether the act may still be begun.
    pub fn allows(&self, now: ClockTime) -> bool {
        now.since(self.sent) <= ACTION_WINDOW
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct LastRecord {
    #[serde(skip)]
    writer: MeterWriter,
    offset: LogOffset,
    read_at: ClockTime,
}

/// What one process knows of the steward.
#[derive(Clone, Debug)]
pub struct LeadershipState {
    local: MeterWriter,
    lease: TimeSpan,
    started_at: ClockTime,
    last: Option<LastRecord>,
    end: Option<LogOffset>,
}

impl LeadershipState {
    /// Nothing read yet by this process, which started at `now`.
    pub fn new(now: ClockTime, local: MeterWriter, lease: TimeSpan) -> LeadershipState {
        LeadershipState {
            local,
            lease,
            started_at: now,
            last: None,
            end: None,
        }
    }

    /// A record was read. Records are read in order.
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

    /// Everything before `end` has been read.
    pub fn note_end(&mut self, end: LogOffset) {
        self.end = self.end.max(Some(end));
    }

    /// Where the topic ended when it was last read; an append must name it.
    pub fn end(&self) -> Option<LogOffset> {
        self.end
    }

    /// Whether this process appended last.
    pub fn is_leader(&self) -> bool {
        self.last
            .as_ref()
            .is_some_and(|last| last.writer == self.local)
    }

    /// Who appended last.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.last.as_ref().map(|last| &last.writer.instance)
    }

    /// Whether this process may append: it is the steward, or the steward has been
    /// silent for so long that none of its acts can lie within the lease.
    pub fn may_append(&self, now: ClockTime) -> bool {
        let Some(_) = self.end else { return false };
        let Some(last) = &self.last else {
            return now.since(self.started_at) >= self.candidate_delay();
        };
        last.writer == self.local || now.since(last.read_at) >= self.takeover_timeout()
    }

    /// The append that was sent at `sent` stands at `offset`.
    pub fn appended(&mut self, now: ClockTime, sent: ClockTime, offset: LogOffset) -> LeaderGrant {
        self.note_record(now, offset, self.local.clone());
        LeaderGrant {
            fence: offset,
            sent,
        }
    }

    /// How much longer this process waits before it takes over.
    pub fn takeover_wait(&self, now: ClockTime) -> TimeSpan {
        let silent = self.last.as_ref().map(|last| now.since(last.read_at));
        let slack = TimeSpan::from_millis(10);
        silent.map_or(TimeSpan::ZERO, |silent| {
            self.takeover_timeout().less(silent) + slack
        })
    }

    /// How long the steward may be silent before this process takes over.
    pub fn takeover_timeout(&self) -> TimeSpan {
        let acts_over = self.lease + ACTION_WINDOW + MAX_ACTION_DELAY;
        acts_over.max(LEADER_HEARTBEAT_INTERVAL + HEARTBEAT_SLACK) + self.candidate_delay()
    }

    fn candidate_delay(&self) -> TimeSpan {
        let name = self.local.instance.as_str().as_bytes();
        let place = xxhash_rust::xxh3::xxh3_64(name) % CANDIDATE_DELAY_STEPS;
        CANDIDATE_DELAY_STEP.times(place)
    }
}
