//! Broken connections, and what shows whether their endpoints ended.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, RequestFingerprint},
    quarantine::{BreakStep, BrokenRun, BrokenRuns},
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn engine() -> EndpointId {
    EndpointId::new("i-1").unwrap()
}

fn run(number: u64) -> BrokenRun {
    BrokenRun {
        fingerprint: RequestFingerprint::with_request(None, &format!("/review/{number}"), b""),
        parts: Vec::new(),
    }
}

/// Guards against blaming requests for resets by an endpoint that goes on running.
#[test]
fn a_break_counts_only_once_the_endpoint_has_ended() {
    let mut broken = BrokenRuns::new();
    let step = broken.note_break(at(0), &engine(), 1, run(1));
    assert_eq!(step, BreakStep::Probe);
    let step = broken.note_break(at(10), &engine(), 1, run(2));
    assert_eq!(step, BreakStep::Wait);
    broken.note_probed(&engine(), 1);
    assert!(!broken.is_probing(&engine(), 1));
    let runs = broken.note_ended(at(3_500), &engine(), 1);
    assert_eq!(runs, [run(1), run(2)]);
    // Another connection may break later, and each run counts once.
    let step = broken.note_break(at(3_510), &engine(), 1, run(3));
    assert_eq!(step, BreakStep::Ended);
    assert_eq!(broken.note_ended(at(3_510), &engine(), 1), [run(3)]);
}

/// Guards against blaming what was reset long before the endpoint ended for another reason.
#[test]
fn an_end_long_after_the_break_proves_nothing() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(0), &engine(), 1, run(1));
    assert_eq!(broken.note_ended(at(20_000), &engine(), 1), []);
    broken.note_break(at(30_000), &engine(), 2, run(1));
    broken.sweep(at(40_000));
    assert!(broken.starts_before(&engine(), None).is_empty());
}

/// Guards against taking the planned end of an endpoint for a crash.
#[test]
fn an_endpoint_that_leaves_is_not_in_question() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(0), &engine(), 1, run(1));
    broken.remove_endpoint(&engine());
    assert_eq!(broken.note_ended(at(100), &engine(), 1), []);
}

/// Guards against taking the path of this instance to all endpoints for their crashes.
#[test]
fn breaks_of_lost_paths_are_retracted() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(1_000), &engine(), 1, run(1));
    broken.retract_since(at(900));
    assert_eq!(broken.note_ended(at(1_100), &engine(), 1), []);
}

/// Guards against missing the crash of an endpoint that registers again under its id.
#[test]
fn a_later_start_ends_the_earlier_ones() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(0), &engine(), 5, run(1));
    broken.note_break(at(10), &engine(), 7, run(2));
    assert_eq!(broken.starts_before(&engine(), Some(7)), [5]);
    assert_eq!(broken.starts_before(&engine(), None), [5, 7]);
}

/// Guards against forgetting what crashed all endpoints of a service, because their refusals look
/// like a lost path.
#[test]
fn breaks_that_looked_like_a_lost_path_count_once_the_registration_is_gone() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(1_000), &engine(), 1, run(1));
    assert_eq!(broken.note_ended(at(1_010), &engine(), 1), [run(1)]);
    broken.note_break(at(1_020), &engine(), 1, run(2));
    broken.retract_since(at(900));
    assert_eq!(broken.note_ended(at(1_300), &engine(), 1), []);
    assert_eq!(broken.note_gone(at(4_500), &engine(), 1), [run(2), run(1)]);
    assert!(broken.is_gone(&engine(), 1));
    assert_eq!(broken.note_gone(at(4_600), &engine(), 1), []);
}

/// Guards against withdrawing what the registration has shown, because the paths are lost later.
#[test]
fn breaks_at_an_endpoint_that_is_gone_are_not_doubted() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(1_000), &engine(), 1, run(1));
    assert_eq!(broken.note_gone(at(2_000), &engine(), 1), [run(1)]);
    broken.note_break(at(2_100), &engine(), 1, run(2));
    broken.retract_since(at(900));
    assert_eq!(broken.note_ended(at(2_200), &engine(), 1), [run(2)]);
}

/// Guards against blaming what broke with a path long before its endpoint left the directory.
#[test]
fn breaks_of_lost_paths_do_not_count_for_long() {
    let mut broken = BrokenRuns::new();
    broken.note_break(at(1_000), &engine(), 1, run(1));
    broken.retract_since(at(900));
    assert_eq!(broken.note_gone(at(20_000), &engine(), 1), []);
}

/// Guards against forgetting a crash before a registration can lapse, with heartbeats that are far
/// apart.
#[test]
fn breaks_wait_until_registrations_can_lapse() {
    let heartbeat = TimeSpan::from_millis(3_000);
    let mut broken = BrokenRuns::new().with_heartbeat(heartbeat);
    broken.note_break(at(1_000), &engine(), 1, run(1));
    broken.retract_since(at(900));
    broken.sweep(at(10_500));
    assert_eq!(broken.note_gone(at(10_600), &engine(), 1), [run(1)]);
}
