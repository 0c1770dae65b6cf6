//! The checker sees each promise that is broken, and none that is kept.

use std::sync::{Arc, Mutex};

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::InstanceId,
};
use bluebell_platform_standin::{
    events::{PlatformEvent, RunStart, SeenAuthority},
    operator::OperatorKind,
};
use bluebell_soak::promises::{
    CallerOutcome, ProcessName, Promise, PromiseBounds, PromiseChecker, SentRequest, store_path,
};

struct World {
    checker: PromiseChecker,
    now: Arc<Mutex<u64>>,
}

impl World {
    fn new() -> World {
        let now = Arc::new(Mutex::new(100_000));
        let read = Arc::clone(&now);
        let clock = ClockSource::with_read(move || ClockTime::from_millis(*read.lock().unwrap()));
        let bounds = PromiseBounds {
            withdrawal: TimeSpan::from_secs(5),
            configuration: TimeSpan::from_secs(2),
            leaving: TimeSpan::from_secs(2),
        };
        let checker = PromiseChecker::new(clock, bounds);
        checker.route_led("/charge/", "till");
        World { checker, now }
    }

    fn pass(&self, millis: u64) {
        *self.now.lock().unwrap() += millis;
    }

    fn send(&self, attempt: &str, kind: OperatorKind) {
        self.checker.sent(SentRequest {
            attempt: attempt.to_string(),
            process: ProcessName {
                instance: InstanceId::new("entry").unwrap(),
                start: 1,
            },
            prefix: "/charge/".to_string(),
            kind,
            organisation: "one".to_string(),
            is_first: true,
            takes_up: None,
        });
    }

    fn run(&self, attempt: &str) {
        self.run_at(attempt, "till");
    }

    fn run_at(&self, attempt: &str, service: &str) {
        self.checker.saw(&PlatformEvent::RunStarted(RunStart {
            attempt: attempt.to_string(),
            endpoint: "e1".to_string(),
            service: service.to_string(),
            path: "/charge/1".to_string(),
            organisation: Some("one".to_string()),
            has_key: false,
            is_crashing: false,
        }));
    }

    fn order(&self, holder: &str, fence: u64) {
        self.checker.saw(&PlatformEvent::Order {
            authority: SeenAuthority {
                holder: holder.to_string(),
                fence,
            },
            subject: "engine".to_string(),
        });
    }

    fn broken(&self) -> Vec<Promise> {
        let broken = self.checker.broken();
        broken.into_iter().map(|broken| broken.promise).collect()
    }
}

fn answer(attempt: &str) -> CallerOutcome {
    CallerOutcome::Whole {
        is_signed: true,
        body: format!("answer to {attempt}"),
    }
}

fn stream(ids: &[u64], is_ended: bool) -> CallerOutcome {
    let events = ids
        .iter()
        .map(|id| format!("id: {id}\ndata: a {id}/8 v1\n\n"));
    CallerOutcome::Stream {
        is_signed: true,
        body: events.collect(),
        is_ended,
    }
}

/// Guards against a checker that reports an endpoint that left, and is back under its id.
#[test]
fn an_endpoint_that_is_back_gets_requests() {
    let world = World::new();
    for is_back in [false, true] {
        world.checker.endpoint_left("e1");
        if is_back {
            world.checker.endpoint_returned("e1");
        }
        world.pass(2_500);
        let attempt = if is_back { "b" } else { "a" };
        world.send(attempt, OperatorKind::Safe);
        let before = world.checker.broken().len();
        world.run(attempt);
        assert_eq!(world.checker.broken().len() > before, !is_back);
    }
}

#[test]
fn what_is_kept_is_not_reported() {
    let world = World::new();
    world.send("a", OperatorKind::Unsafe);
    world.run("a");
    world.checker.got("a", &answer("a"));
    world.send("b", OperatorKind::Safe);
    world.run("b");
    world.run("b");
    world.checker.got("b", &CallerOutcome::Status(503));
    world.send("c", OperatorKind::Unsafe);
    world.checker.got("c", &CallerOutcome::Status(503));
    world.order("x", 4);
    world.order("x", 4);
    world.order("y", 7);
    assert_eq!(world.broken(), []);
}

#[test]
fn a_charge_that_runs_twice_is_seen() {
    let world = World::new();
    world.send("a", OperatorKind::Unsafe);
    world.run("a");
    world.run("a");
    assert_eq!(world.broken(), [Promise::RunOnce]);
}

#[test]
fn a_refusal_that_is_not_true_is_seen_before_and_after_the_run() {
    let world = World::new();
    world.send("a", OperatorKind::Streaming);
    world.run("a");
    world.checker.got("a", &CallerOutcome::Status(503));
    world.send("b", OperatorKind::Unsafe);
    world.checker.got("b", &CallerOutcome::Status(429));
    world.run("b");
    assert_eq!(world.broken(), [Promise::RefusalTrue; 2]);
}

#[test]
fn answers_of_others_and_streams_with_holes_are_seen() {
    let world = World::new();
    world.send("a", OperatorKind::Resumable);
    world.checker.got("a", &answer("b"));
    world.checker.got("a", &stream(&[1, 2, 4], false));
    world.checker.got("a", &stream(&[1, 2, 2], false));
    world.checker.got("a", &stream(&[1, 2], true));
    world.checker.got("a", &stream(&[1, 2], false));
    world
        .checker
        .got("a", &stream(&[1, 2, 3, 4, 5, 6, 7, 8], true));
    let expected = [
        Promise::OwnAnswer,
        Promise::WholeStream,
        Promise::WholeStream,
        Promise::WholeStream,
    ];
    assert_eq!(world.broken(), expected);
}

#[test]
fn a_withdrawn_key_that_works_after_its_time_is_seen() {
    let world = World::new();
    world.checker.withdrawn("one");
    world.pass(5_000);
    world.send("a", OperatorKind::Safe);
    world.run("a");
    assert_eq!(world.broken(), []);
    world.pass(1);
    world.send("b", OperatorKind::Safe);
    world.run("b");
    assert_eq!(world.broken(), [Promise::WithdrawnKey]);
}

#[test]
fn configurations_that_come_late_or_are_undone_are_seen() {
    let world = World::new();
    world.checker.route_led("/charge/", "till-next");
    world.send("a", OperatorKind::Unsafe);
    world.run_at("a", "till-next");
    world.pass(300);
    world.send("b", OperatorKind::Unsafe);
    world.run_at("b", "till");
    assert_eq!(world.broken(), [Promise::NoOlderConfiguration]);
    world.send("c", OperatorKind::Unsafe);
    world.run_at("c", "elsewhere");
    assert_eq!(world.broken()[1..], [Promise::RightService]);
}

/// Guards against a run that is taken for one under a later configuration, which leads to the
/// same service again.
#[test]
fn a_route_that_leads_back_to_a_service_is_followed_in_order() {
    let world = World::new();
    world.checker.route_led("/charge/", "till-next");
    world.checker.route_led("/charge/", "till");
    world.checker.route_led("/charge/", "till-next");
    for (attempt, service) in [("a", "till-next"), ("b", "till"), ("c", "till-next")] {
        world.send(attempt, OperatorKind::Unsafe);
        world.run_at(attempt, service);
        world.pass(300);
    }
    assert_eq!(world.broken(), []);
    world.send("d", OperatorKind::Unsafe);
    world.run_at("d", "till");
    assert_eq!(world.broken(), [Promise::NoOlderConfiguration]);
}

/// Guards against a configuration that is undone unseen because an older one, which no
/// instance may follow any more, led to the same service.
#[test]
fn a_run_shows_the_latest_configuration_where_older_ones_are_out_of_date() {
    let world = World::new();
    world.checker.route_led("/charge/", "till-next");
    world.checker.route_led("/charge/", "till");
    world.pass(2_100);
    world.checker.route_led("/charge/", "till-next");
    world.send("a", OperatorKind::Unsafe);
    world.run_at("a", "till-next");
    world.pass(300);
    world.send("b", OperatorKind::Unsafe);
    world.run_at("b", "till");
    assert_eq!(world.broken(), [Promise::NoOlderConfiguration]);
}

#[test]
fn an_older_holder_and_a_shared_fence_are_seen() {
    let world = World::new();
    world.order("x", 4);
    world.order("y", 7);
    world.order("x", 5);
    world.order("z", 7);
    assert_eq!(world.broken(), [Promise::OneHolder; 2]);
    // What a suspended process had decided before may arrive just after it woke.
    world.checker.disturb("x", false);
    world.pass(4_000);
    world.checker.settle("x", false);
    world.pass(100);
    world.order("x", 6);
    assert_eq!(world.broken().len(), 2);
}

#[test]
fn a_cut_counts_only_where_nothing_else_explains_it() {
    let world = World::new();
    world.send("a", OperatorKind::Unsafe);
    world.run("a");
    world.checker.got("a", &CallerOutcome::Cut);
    assert_eq!(world.broken(), [Promise::AnswerGiven]);
    // Planned work explains no cut; a kill does, until the process has settled.
    world.checker.disturb("entry", true);
    world.send("b", OperatorKind::Unsafe);
    world.run("b");
    world.checker.got("b", &CallerOutcome::Cut);
    assert_eq!(world.broken().len(), 2);
    world.checker.disturb("entry", false);
    world.send("c", OperatorKind::Unsafe);
    world.run("c");
    world.checker.got("c", &CallerOutcome::Cut);
    assert_eq!(world.broken().len(), 2);
}

/// Guards against a soak that does not see work for endpoints that left.
#[test]
fn new_work_for_an_endpoint_that_left_is_seen_after_the_bound() {
    let world = World::new();
    world.checker.endpoint_left("e1");
    world.pass(1_900);
    world.send("in time", OperatorKind::Safe);
    world.pass(500);
    world.run("in time");
    assert_eq!(world.broken(), []);
    world.send("late", OperatorKind::Safe);
    world.run("late");
    assert_eq!(world.broken(), [Promise::DrainRespected]);
}

/// Guards against blaming an instance that could not have known.
#[test]
fn an_instance_cut_off_from_the_store_may_not_know_who_left() {
    let world = World::new();
    world.checker.disturb(&store_path("entry"), false);
    world.checker.endpoint_left("e1");
    world.pass(4_000);
    world.send("cut off", OperatorKind::Safe);
    world.run("cut off");
    world.checker.settle(&store_path("entry"), false);
    world.pass(2_900);
    world.send("just back", OperatorKind::Safe);
    world.run("just back");
    assert_eq!(world.broken(), []);
    world.pass(200);
    world.send("in touch", OperatorKind::Safe);
    world.run("in touch");
    assert_eq!(world.broken(), [Promise::DrainRespected]);
}

/// The verdicts on a denial with `status`, of a request to a route added `since_ms` before.
fn verdicts_on_added(since_ms: u64, status: u16, is_in_touch: bool) -> Vec<Promise> {
    let world = World::new();
    world.checker.route_added("/added/", "till");
    world.checker.granted("added");
    if !is_in_touch {
        world.checker.disturb(&store_path("entry"), false);
    }
    world.pass(since_ms);
    world.checker.sent(SentRequest {
        attempt: "a".to_string(),
        process: ProcessName {
            instance: InstanceId::new("entry").unwrap(),
            start: 1,
        },
        prefix: "/added/".to_string(),
        kind: OperatorKind::Safe,
        organisation: "added".to_string(),
        is_first: true,
        takes_up: None,
    });
    world.checker.got("a", &CallerOutcome::Status(status));
    world.broken()
}

/// Guards against a checker that misses routes and keys which are denied after they have to be
/// in force, or reports denials that are allowed.
#[test]
fn added_routes_and_keys_may_be_denied_for_as_long_as_a_change_takes() {
    for status in [401, 404] {
        assert_eq!(verdicts_on_added(1_900, status, true), []);
        assert_eq!(
            verdicts_on_added(2_100, status, true),
            [Promise::AddedServed]
        );
        assert_eq!(verdicts_on_added(2_100, status, false), []);
    }
}

/// Guards against a checker that misses a route that runs after it was dropped.
#[test]
fn a_dropped_route_may_run_and_be_denied_for_as_long_as_a_change_takes() {
    let world = World::new();
    world.checker.route_added("/charge/", "till");
    world.send("before", OperatorKind::Safe);
    world.pass(10);
    world.checker.route_dropped("/charge/");
    world.run("before");
    world.pass(1_900);
    world.send("a", OperatorKind::Safe);
    world.run("a");
    world.pass(200);
    world.send("b", OperatorKind::Safe);
    world.checker.got("b", &CallerOutcome::Status(404));
    assert_eq!(world.broken(), []);
    world.send("c", OperatorKind::Safe);
    world.run("c");
    assert_eq!(world.broken(), [Promise::NoOlderConfiguration]);
    let changes = world.checker.changes().to_string();
    assert!(changes.contains("old_runs_by_s=0/1/1/"), "{changes}");
}
