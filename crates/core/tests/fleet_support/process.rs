//! The process of an instance and what disturbs it.

use bluebell_core::clock::TimeSpan;

use super::{FaultKind, span};

/// The process of an instance.
pub struct ProcessState {
    pub domain: usize,
    pub started: u64,
    /// The start of the last span in which the process does not run.
    pub stopped_at: u64,
    /// The end of that span.
    pub suspended_until: u64,
    /// The end of the span in which its reads and copies are delayed.
    pub starved_until: u64,
    /// The end of the span in which all datagrams to it are lost.
    pub datagrams_lost_until: u64,
    /// The end of the span in which the store rejects its calls.
    pub rejected_until: u64,
    pub undisturbed_since: u64,
    /// When current state was last relayed to it.
    pub relay_heard_at: Option<u64>,
    /// Since when it refuses all requests although it is in touch.
    refusing_since: Option<u64>,
}

impl ProcessState {
    pub fn new(domain: usize, now: u64) -> ProcessState {
        ProcessState {
            domain,
            started: now,
            stopped_at: 0,
            suspended_until: 0,
            starved_until: 0,
            datagrams_lost_until: 0,
            rejected_until: 0,
            undisturbed_since: now,
            relay_heard_at: None,
            refusing_since: None,
        }
    }

    /// A process that was killed at `now` and starts again at `end`.
    pub fn restarted(domain: usize, now: u64, end: u64) -> ProcessState {
        ProcessState {
            stopped_at: now,
            suspended_until: end,
            ..ProcessState::new(domain, end)
        }
    }

    pub fn runs(&self, now: u64) -> bool {
        now >= self.suspended_until
    }

    /// The time since current state was relayed to it.
    pub fn silent_for(&self, now: u64) -> TimeSpan {
        span(now.saturating_sub(self.relay_heard_at.unwrap_or(self.started)))
    }

    /// Disturbs the process, which goes on running or continues, until `end`.
    pub fn disturb(&mut self, now: u64, kind: FaultKind, end: u64) {
        match kind {
            FaultKind::Suspension => {
                self.stopped_at = now;
                self.suspended_until = end;
            }
            FaultKind::Starvation => self.starved_until = end,
            FaultKind::LostDatagrams => self.datagrams_lost_until = end,
            FaultKind::RejectedCalls => self.rejected_until = end,
            FaultKind::Restart | FaultKind::StoreOutage | FaultKind::LostHistory => {}
        }
        self.undisturbed_since = self.undisturbed_since.max(end);
    }

    /// Records whether the instance refuses all requests now although it is in touch; returns for
    /// how long it has done so.
    pub fn note_refusal(&mut self, now: u64, is_refusing: bool) -> u64 {
        self.refusing_since = match is_refusing {
            true => self.refusing_since.or(Some(now)),
            false => None,
        };
        self.refusing_since.map_or(0, |since| now - since)
    }
}
