//! When the counts of usage windows are published, and when a window is closed.
//!
//! The sooner a window is closed after its end, the less of an outage of the store falls into
//! the time that is left until its report is due. A closed window can't be changed, so it waits
//! for the counts of all instances that may still publish some.

use crate::{
    clock::{ClockTime, TimeSpan},
    records::UsageWindow,
};

/// How long after the end of a window its counts no longer change: answers that are in flight
/// at its end still belong to it.
pub const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(60);

/// How long after the start of a window the counts of the one before are published: first when
/// the reader of a failure domain has the counts of the others there, and again for those that
/// were late.
const CLOSING_PUBLICATIONS: [TimeSpan; 2] =
    [TimeSpan::from_millis(400), TimeSpan::from_millis(1_100)];

/// When the counts of the current window are published, in quarters of its length. An instance
/// that is killed loses what it counted since.
const CURRENT_PUBLICATIONS: [u64; 2] = [2, 3];

/// How long after its end a window may be closed: all counts are published by then, unless the
/// store is slow or an instance has failed.
const CLOSE_DELAY: TimeSpan = TimeSpan::from_millis(600);

/// How long before it is due a report is sent even if some instances have not published. In
/// this time a failed report can be retried once, and another leader can take over.
const REPORT_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);

/// The number of past windows that are still reported after an outage.
const MAX_WINDOWS_BACK: u64 = 3;

/// The times of usage windows of one length. All times are of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct UsageSchedule {
    window: TimeSpan,
    lateness: TimeSpan,
}

impl UsageSchedule {
    /// The schedule of windows that are `window` long and whose reports are due `lateness`
    /// after their end.
    pub fn new(window: TimeSpan, lateness: TimeSpan) -> UsageSchedule {
        UsageSchedule { window, lateness }
    }

    /// The window at `now`.
    pub fn current(&self, now: ClockTime) -> UsageWindow {
        UsageWindow::at(now, self.window)
    }

    /// The first window whose counts may still change at `now`.
    pub fn first_unsettled(&self, now: ClockTime) -> UsageWindow {
        self.current(now - SETTLE_TIME)
    }

    /// The time until counts are next published.
    pub fn until_publication(&self, now: ClockTime) -> TimeSpan {
        let length = self.window.as_millis();
        let phase = now.as_millis() % length;
        let closing = CLOSING_PUBLICATIONS.iter().map(|at| at.as_millis());
        let current = CURRENT_PUBLICATIONS.iter().map(|at| length * at / 4);
        let waits = closing.chain(current).map(|at| match at > phase {
            true => at - phase,
            false => at + length - phase,
        });
        TimeSpan::from_millis(waits.min().unwrap_or(length))
    }

    /// The oldest window that may be closed and has not been reported. `first` is the first one
    /// that is to be reported.
    pub fn next_report(
        &self,
        now: ClockTime,
        reported: Option<UsageWindow>,
        first: UsageWindow,
    ) -> Option<UsageWindow> {
        let current = self.current(now - CLOSE_DELAY);
        let oldest = UsageWindow::new(current.number().saturating_sub(MAX_WINDOWS_BACK));
        let next = reported.map_or(first, UsageWindow::next);
        let window = next.max(oldest);
        (window < current).then_some(window)
    }

    /// Whether a window must be closed to be reported in time, even if counts are missing.
    pub fn is_overdue(&self, now: ClockTime, window: UsageWindow) -> bool {
        let end = ClockTime::from_millis(window.next().number() * self.window.as_millis());
        now >= end + self.lateness.saturating_sub(REPORT_MARGIN)
    }
}
