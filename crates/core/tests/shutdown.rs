//! Requests that arrive while a process stops.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    shutdown::{FIRST_REQUEST_TIME, LAST_ANSWERS_TIME, ShutdownSchedule},
};

const GRACE: TimeSpan = TimeSpan::from_secs(8);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn schedule() -> ShutdownSchedule {
    ShutdownSchedule::new(at(100_000), GRACE)
}

/// Guards against a request that is taken late in the grace period and cut at its end.
#[test]
fn a_late_request_is_taken_only_if_its_deadline_lies_before_the_end() {
    let schedule = schedule();
    let late = schedule.closes_at() + FIRST_REQUEST_TIME + TimeSpan::from_millis(1);
    assert!(schedule.accepts(late, late + TimeSpan::from_millis(2_500)));
    assert!(schedule.accepts(late, schedule.answers_due()));
    assert!(!schedule.accepts(late, at(108_000)));
    assert!(!schedule.accepts(at(107_900), at(109_000)));
}

/// Guards against callers that are refused though they can't know yet that the process stops.
#[test]
fn requests_are_taken_until_the_platform_has_noticed_the_stop() {
    let schedule = schedule();
    let readiness_checks = TimeSpan::from_millis(2_000);
    assert!(schedule.closes_at() >= at(100_000) + readiness_checks);
    assert!(schedule.accepts(schedule.closes_at(), at(130_000)));
}

/// Guards against an answer that is due when the process has been killed already.
#[test]
fn answers_are_due_before_the_process_is_killed() {
    for grace in [500, 1_000, 8_000, 30_000] {
        let schedule = ShutdownSchedule::new(at(100_000), TimeSpan::from_millis(grace));
        let killed = at(100_000) + TimeSpan::from_millis(grace);
        assert!(schedule.answers_due() + LAST_ANSWERS_TIME < killed);
        assert!(schedule.closes_at() < killed);
        assert_eq!(schedule.cap_deadline(at(200_000)), schedule.answers_due());
        assert_eq!(schedule.cap_deadline(at(100_001)), at(100_001));
    }
}
