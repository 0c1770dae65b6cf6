//! What the soak holds of requests that reach endpoints more than once.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::InstanceId,
};
use bluebell_platform_standin::{
    events::{PlatformEvent, RunStart},
    operator::OperatorKind,
};
use bluebell_soak::promises::{ProcessName, Promise, PromiseBounds, PromiseChecker, SentRequest};

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
        let checker = PromiseChecker::new(clock, bounds);
        checker.route_led("/chat/", "pool");
        Checked { checker, now }
    }

    fn wait(&self, ms: u64) {
        self.now.fetch_add(ms, Ordering::Relaxed);
        self.checker.check_overlaps();
    }

    fn send(&self, attempt: &str) {
        self.checker.sent(SentRequest {
            attempt: attempt.to_string(),
            process: ProcessName {
                instance: InstanceId::new("edge-1").unwrap(),
                start: 1,
            },
            prefix: "/chat/".to_string(),
            kind: OperatorKind::Resumable,
            organisation: "magnolia".to_string(),
            is_first: true,
            takes_up: None,
        });
    }

    fn arrive(&self, attempt: &str) {
        self.checker.saw(&PlatformEvent::Arrived {
            attempt: attempt.to_string(),
            endpoint: "i-1".to_string(),
            service: "pool".to_string(),
        });
    }

    fn begin(&self, attempt: &str, endpoint: &str) {
        self.checker.saw(&PlatformEvent::RunStarted(RunStart {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            service: "pool".to_string(),
            path: "/chat/1".to_string(),
            organisation: Some("magnolia".to_string()),
            has_key: false,
            is_crashing: false,
        }));
    }

    fn end(&self, attempt: &str, endpoint: &str) {
        self.checker.saw(&PlatformEvent::RunEnded {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
        });
    }

    fn broken(&self, promise: Promise) -> usize {
        let broken = self.checker.broken();
        broken.iter().filter(|one| one.promise == promise).count()
    }
}

#[test]
fn arrivals_beyond_the_share_and_the_extra_break_the_promise() {
    let checked = Checked::new();
    for number in 0..100 {
        let attempt = format!("a-{number}");
        checked.send(&attempt);
        checked.arrive(&attempt);
    }
    // A fifth of 100 requests, and 50 more.
    for number in 0..70 {
        checked.arrive(&format!("a-{number}"));
    }
    assert_eq!(checked.broken(Promise::RepeatsLimited), 0);
    checked.arrive("a-70");
    assert_eq!(checked.broken(Promise::RepeatsLimited), 1);
}

#[test]
fn requests_of_the_window_before_count_as_well() {
    let checked = Checked::new();
    for number in 0..100 {
        checked.send(&format!("a-{number}"));
    }
    checked.wait(15_000);
    for number in 0..71 {
        checked.arrive(&format!("b-{number}"));
        checked.arrive(&format!("b-{number}"));
    }
    assert_eq!(checked.broken(Promise::RepeatsLimited), 1);
}

#[test]
fn only_the_first_prefill_of_an_attempt_is_free() {
    let checked = Checked::new();
    for number in 0..51 {
        let attempt = format!("a-{number}");
        for _ in 0..2 {
            checked.arrive(&attempt);
            checked.checker.saw(&PlatformEvent::Prefilled {
                attempt: attempt.clone(),
            });
        }
        assert_eq!(checked.broken(Promise::RepeatsLimited), 0, "{number}");
        checked.arrive(&attempt);
    }
    assert_eq!(checked.broken(Promise::RepeatsLimited), 1);
}

#[test]
fn work_that_goes_on_at_two_endpoints_breaks_the_promise() {
    for (works_on_for, is_broken) in [(300, false), (500, true)] {
        let checked = Checked::new();
        checked.wait(10_000);
        checked.send("a");
        checked.begin("a", "i-1");
        checked.begin("a", "i-2");
        checked.wait(works_on_for);
        checked.end("a", "i-1");
        checked.wait(1_000);
        let broken = checked.broken(Promise::OneEndpointAtATime);
        assert_eq!(broken, usize::from(is_broken), "{works_on_for}");
    }
}
