//! What the soak holds of rests and of the part that crashes endpoints.

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::InstanceId,
};
use bluebell_platform_standin::{
    events::{PlatformEvent, RunStart},
    operator::OperatorKind,
};
use bluebell_soak::promises::{ProcessName, Promise, PromiseBounds, PromiseChecker, SentRequest};

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

struct Checked {
    checker: PromiseChecker,
    now: Arc<AtomicU64>,
}

impl Checked {
    fn new() -> Checked {
        let now = Arc::new(AtomicU64::new(100_000));
        let read = Arc::clone(&now);
        let clock =
            ClockSource::with_read(move || ClockTime::from_millis(read.load(Ordering::Relaxed)));
        let span = TimeSpan::from_millis(2_000);
        let bounds = PromiseBounds {
            withdrawal: span,
            configuration: span,
            leaving: span,
        };
        Checked {
            checker: PromiseChecker::new(clock, bounds),
            now,
        }
    }

    fn wait(&self, ms: u64) {
        self.now.fetch_add(ms, Ordering::Relaxed);
    }

    fn send(&self, attempt: &str) {
        self.checker.sent(SentRequest {
            attempt: attempt.to_string(),
            process: ProcessName {
                instance: InstanceId::new("edge-1").unwrap(),
                start: 1,
            },
            prefix: "/review/".to_string(),
            kind: OperatorKind::Safe,
            organisation: "magnolia".to_string(),
            is_first: true,
            takes_up: None,
        });
    }

    fn arrive(&self, attempt: &str) {
        self.send(attempt);
        self.checker.saw(&PlatformEvent::Arrived {
            service: "pool".to_string(),
            attempt: attempt.to_string(),
            endpoint: "i-1".to_string(),
        });
    }

    fn ask_for_rest(&self, attempt: &str) {
        self.checker.saw(&PlatformEvent::AskedForRest {
            attempt: attempt.to_string(),
            endpoint: "i-1".to_string(),
            rest_ms: 2_000,
        });
    }

    fn broken(&self, promise: Promise) -> usize {
        let broken = self.checker.broken();
        broken.iter().filter(|one| one.promise == promise).count()
    }
}

#[test]
fn more_than_two_requests_in_a_rest_break_the_promise() {
    let checked = Checked::new();
    checked.arrive("a");
    checked.ask_for_rest("a");
    checked.wait(400);
    checked.arrive("b");
    checked.wait(200);
    for attempt in ["c", "d"] {
        checked.arrive(attempt);
    }
    assert_eq!(checked.broken(Promise::RestGranted), 0);
    checked.arrive("e");
    assert_eq!(checked.broken(Promise::RestGranted), 1);
}

#[test]
fn a_restart_of_the_endpoint_ends_its_rest() {
    let checked = Checked::new();
    checked.arrive("a");
    checked.ask_for_rest("a");
    checked.checker.endpoint_returned("i-1");
    checked.wait(600);
    for attempt in ["b", "c", "d", "e"] {
        checked.arrive(attempt);
    }
    assert_eq!(checked.broken(Promise::RestGranted), 0);
}

#[test]
fn more_than_three_late_runs_with_the_part_break_the_promise() {
    let checked = Checked::new();
    for number in 0..5 {
        checked.wait(500);
        let endpoint = format!("i-{number}");
        checked.checker.saw(&PlatformEvent::Crashed { endpoint });
    }
    checked.wait(3_100);
    for number in 0..4 {
        assert_eq!(checked.broken(Promise::CrashingPartStopped), 0, "{number}");
        let attempt = format!("late-{number}");
        checked.send(&attempt);
        checked.checker.saw(&PlatformEvent::RunStarted(RunStart {
            attempt,
            endpoint: "i-9".to_string(),
            service: "pool".to_string(),
            path: "/review/1".to_string(),
            organisation: Some("magnolia".to_string()),
            has_key: false,
            is_crashing: true,
        }));
    }
    assert_eq!(checked.broken(Promise::CrashingPartStopped), 1);
}
