//! The budget for repeats that all entries share.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
    retries::{SharedAllowance, SharedBudget},
};
use quickcheck::quickcheck;

const WINDOW: u64 = 10_000;
const SHARE: f64 = 0.2;
const EXTRA: f64 = 58.0;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn budget(extra: f64) -> SharedBudget {
    SharedBudget::new(SharedAllowance {
        share: SHARE,
        extra,
        window: TimeSpan::from_millis(WINDOW),
    })
}

#[test]
fn repeats_are_paid_for_by_requests() {
    // All engines fail at once and every request is sent again, and again. Without
    // a budget the service gets three times its load and stays down.
    let mut budget = budget(0.0);
    assert!(!budget.try_repeat(at(0), &service()));
    for turn in 0..100 {
        budget.note_request(at(turn), &service());
    }
    let repeats = (0..100).filter(|_| budget.try_repeat(at(100), &service()));
    assert_eq!(repeats.count(), 16);
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = budget(2.0);
    assert!(budget.try_repeat(at(0), &service()));
    assert!(budget.try_repeat(at(0), &service()));
    assert!(!budget.try_repeat(at(WINDOW - 1), &service()));
    assert!(budget.try_repeat(at(WINDOW + 2_000), &service()));
}

#[test]
fn arrivals_that_nobody_asked_for_are_counted() {
    // An engine refuses a prefill: the request has reached the service once more.
    let mut budget = budget(2.0);
    budget.note_repeat(at(0), &service());
    budget.note_repeat(at(0), &service());
    assert!(!budget.try_repeat(at(1), &service()));
    budget.set_extra(3.0);
    assert!(budget.try_repeat(at(1), &service()));
}

#[test]
fn services_don_t_pay_for_each_other() {
    let mut budget = budget(1.0);
    let other = ServiceName::new("till").unwrap();
    assert!(budget.try_repeat(at(0), &service()));
    assert!(!budget.try_repeat(at(0), &service()));
    assert!(budget.try_repeat(at(0), &other));
}

quickcheck! {
    /// However requests and failures come, and however they are spread over the
    /// entries, no window has more repeats than the operators allow.
    fn no_window_has_more_repeats_than_allowed(steps: Vec<(u8, u8, bool)>) -> bool {
        const ENTRIES: usize = 9;
        let mut budgets: Vec<SharedBudget> =
            (0..ENTRIES).map(|_| budget(EXTRA / ENTRIES as f64)).collect();
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (entry, wait, fails) in steps {
            now += u64::from(wait) * 4;
            let budget = &mut budgets[usize::from(entry) % ENTRIES];
            budget.note_request(at(now), &service());
            requests.push(now);
            while fails && budget.try_repeat(at(now), &service()) {
                repeats.push(now);
            }
        }
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|time| (from..from + WINDOW).contains(time)).count() as f64
        };
        repeats.iter().all(|from| {
            let before = from.saturating_sub(WINDOW);
            let asked = within(&requests, *from).max(within(&requests, before));
            within(&repeats, *from) <= SHARE * asked + EXTRA
        })
    }
}

#[test]
fn a_repeat_that_never_left_is_given_back() {
    // The engine that a repeat was meant for has crashed and takes no connection. No
    // engine has seen the repeat, so the next one must not be refused for it.
    let mut budget = budget(1.0);
    for turn in 0..5 {
        assert!(budget.try_repeat(at(turn), &service()));
        budget.never_sent(at(turn), &service());
    }
    assert!(budget.try_repeat(at(5), &service()));
    assert!(!budget.try_repeat(at(6), &service()));
}
