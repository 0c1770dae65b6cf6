//! Outages of the store, as one instance sees them, and how long registrations that are missing
//! after an outage count as lapsed.

use crate::clock::{ClockTime, TimeSpan};

/// How long a lapsed registration is kept after the store recovers: live endpoints
/// register again within this time.
pub const LAPSE_GRACE: TimeSpan = TimeSpan::from_millis(2_000);

/// How long after an outage the drain bound applies again, if the settings don't say.
const DEFAULT_STABLE_PERIOD: TimeSpan = TimeSpan::from_millis(3_000);

/// How long before the drain bound applies again a lapsed registration is removed: a request takes
/// some ms to reach its endpoint.
const BOUND_MARGIN: TimeSpan = TimeSpan::from_millis(150);

/// The number of missed heartbeats after which a registration lapses.
const MISSED_HEARTBEATS: u64 = 3;

/// The heartbeat interval of endpoints if the settings name none.
const DEFAULT_HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);

/// The outages of the store that one instance knows of.
#[derive(Clone, Debug)]
pub(super) struct StoreOutages {
    /// The shortest outage in which a registration can lapse.
    min_outage: TimeSpan,
    /// How long after an outage the drain bound applies again.
    stable_period: TimeSpan,
    /// The time of the store's last known answer.
    answered_at: Option<ClockTime>,
    /// The time of the last answer before the outage in progress.
    outage_since: Option<ClockTime>,
    /// When the last read was sent that failed.
    unavailable_at: Option<ClockTime>,
    /// Until when registrations are kept that lapsed around the last outage that was long enough
    /// for it.
    grace_end: Option<ClockTime>,
}

impl StoreOutages {
    /// No outage is known.
    pub fn new() -> StoreOutages {
        StoreOutages {
            min_outage: TimeSpan::ZERO,
            stable_period: DEFAULT_STABLE_PERIOD,
            answered_at: None,
            outage_since: None,
            unavailable_at: None,
            grace_end: None,
        }
        .with_heartbeat(DEFAULT_HEARTBEAT)
    }

    /// Sets the heartbeat interval of endpoints. The last heartbeat before an outage may
    /// be nearly one interval old when the outage begins.
    pub fn with_heartbeat(mut self, interval: TimeSpan) -> StoreOutages {
        self.min_outage = interval.times(MISSED_HEARTBEATS - 1);
        self
    }

    /// Sets how long after an outage the drain bound applies again.
    pub fn with_stable_period(mut self, delay: TimeSpan) -> StoreOutages {
        self.stable_period = delay;
        self
    }

    /// Records that a read failed that was sent at `sent`.
    pub fn note_failure(&mut self, sent: ClockTime) {
        let last_answer = self.answered_at.unwrap_or(sent);
        self.outage_since.get_or_insert(last_answer);
        self.unavailable_at = self.unavailable_at.max(Some(sent));
    }

    /// Records that a read of another instance was answered at `at`.
    pub fn note_relayed_answer(&mut self, at: ClockTime) {
        if self.end_outage(at) {
            self.grace_end = Some(at + LAPSE_GRACE);
        }
    }

    /// Records that a read of this instance was answered at `at`. As a read that hangs is given up
    /// first, that can be long after the end of the outage, which may have come right after the
    /// last failed read was sent.
    pub fn note_own_answer(&mut self, at: ClockTime) {
        if self.end_outage(at) {
            let end = at + LAPSE_GRACE;
            let delay = self.stable_period.saturating_sub(BOUND_MARGIN);
            let bound = self.unavailable_at.map(|sent| sent + delay);
            self.grace_end = Some(bound.map_or(end, |bound| bound.min(end)));
        }
    }

    /// The time until which a missing registration may have lapsed in an outage; `None`
    /// if no outage can be the reason at `now`.
    pub fn grace_end(&self, now: ClockTime) -> Option<ClockTime> {
        self.grace_end.filter(|end| now < *end)
    }

    /// Records that the store was available at `at`. Returns whether that ends an outage in which a
    /// registration can lapse.
    fn end_outage(&mut self, at: ClockTime) -> bool {
        self.answered_at = self.answered_at.max(Some(at));
        let ended = self.outage_since.take_if(|since| at > *since);
        ended.is_some_and(|since| at.since(since) >= self.min_outage)
    }
}
