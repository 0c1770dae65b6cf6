//! The budget for repeats that all entries share.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
    retries::{EngineArrival, RequestArrivals, RetryAllowance, SharedRetryBudget},
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

fn budget(extra: f64) -> SharedRetryBudget {
    SharedRetryBudget::new(RetryAllowance {
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
    assert!(!budget.try_retry(at(0), &service()));
    for turn in 0..100 {
        budget.note_request(at(turn), &service());
    }
    let repeats = (0..100).filter(|_| budget.try_retry(at(100), &service()));
    assert_eq!(repeats.count(), 16);
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = budget(2.0);
    assert!(budget.try_retry(at(0), &service()));
    assert!(budget.try_retry(at(0), &service()));
    assert!(!budget.try_retry(at(WINDOW - 1), &service()));
    assert!(budget.try_retry(at(WINDOW + 2_000), &service()));
}

#[test]
fn what_a_rejected_prefill_costs_is_paid_before_the_request_goes_on() {
    // An engine that has changed its stage rejects a prefill, and so does the next.
    // Each rejection is an arrival; the request that can't pay for it ends there.
    let mut budget = budget(1.0);
    let mut arrivals = RequestArrivals::new();
    assert!(!arrivals.needs_grant());
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant());
    assert!(budget.try_retry(at(0), &service()));
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant());
    assert!(!budget.try_retry(at(1), &service()));
    assert_eq!(arrivals.unused_grants(), 0);
    budget.set_extra(2.0);
    assert!(budget.try_retry(at(1), &service()));
}

#[test]
fn a_prefill_that_was_carried_out_and_its_run_cost_nothing() {
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert!(!arrivals.needs_grant());
    arrivals.note_arrival(EngineArrival::Counted);
    assert_eq!(arrivals.unused_grants(), 0);
    // The run failed; the next prefill is an arrival like any other.
    assert!(arrivals.needs_grant());
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert!(arrivals.needs_grant());
}

#[test]
fn prefills_whose_answers_are_lost_are_paid_for() {
    // Engines carry prefills out and their answers are lost on the way, again and
    // again. Each was an arrival, also if the request never comes to a run.
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant());
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant());
    assert_eq!(arrivals.unused_grants(), 0);
}

#[test]
fn what_was_paid_for_and_never_left_is_given_back() {
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::Counted);
    arrivals.note_grant();
    assert_eq!(arrivals.unused_grants(), 1);
    arrivals.note_arrival(EngineArrival::Counted);
    assert_eq!(arrivals.unused_grants(), 0);
}

#[test]
fn eighty_entries_with_a_wrong_picture_of_the_stages_keep_the_budget_together() {
    // A fleet has just changed the stages of its engines and no entry has heard of
    // it: four engines in a row turn each request away within 50 ms, at all entries.
    // Without paying for rejections first, the entries send a quarter more arrivals
    // than the operators allow, and callers wait behind engines that turn away.
    const ENTRIES: usize = 80;
    const REQUESTS: usize = 6_000;
    const REJECTIONS: usize = 4;
    const LARGE_EXTRA: f64 = 200.0;
    let mut budgets: Vec<SharedRetryBudget> = (0..ENTRIES)
        .map(|_| budget(LARGE_EXTRA / ENTRIES as f64))
        .collect();
    let mut beyond_first = 0;
    for number in 0..REQUESTS {
        let now = at(number as u64 * WINDOW / REQUESTS as u64);
        let budget = &mut budgets[number % ENTRIES];
        budget.note_request(now, &service());
        let mut arrivals = RequestArrivals::new();
        let mut sent = 0;
        for call in 0..=REJECTIONS + 1 {
            if arrivals.needs_grant() {
                if !budget.try_retry(now, &service()) {
                    break;
                }
                arrivals.note_grant();
            }
            let arrival = match call {
                call if call < REJECTIONS => EngineArrival::Counted,
                call if call == REJECTIONS => EngineArrival::PrefillDone,
                _ => EngineArrival::Counted,
            };
            arrivals.note_arrival(arrival);
            sent += usize::from(arrival != EngineArrival::PrefillDone);
        }
        budget.return_unsent(now, &service(), arrivals.unused_grants());
        beyond_first += sent.saturating_sub(1);
    }
    let allowed = SHARE * REQUESTS as f64 + LARGE_EXTRA;
    assert!(
        beyond_first as f64 <= allowed,
        "{beyond_first} of {allowed}"
    );
}

#[test]
fn services_don_t_pay_for_each_other() {
    let mut budget = budget(1.0);
    let other = ServiceName::new("till").unwrap();
    assert!(budget.try_retry(at(0), &service()));
    assert!(!budget.try_retry(at(0), &service()));
    assert!(budget.try_retry(at(0), &other));
}

quickcheck! {
    /// However requests and failures come, and however they are spread over the
    /// entries, no window has more repeats than the operators allow.
    fn no_window_has_more_repeats_than_allowed(steps: Vec<(u8, u8, bool)>) -> bool {
        const ENTRIES: usize = 9;
        let mut budgets: Vec<SharedRetryBudget> =
            (0..ENTRIES).map(|_| budget(EXTRA / ENTRIES as f64)).collect();
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (entry, wait, fails) in steps {
            now += u64::from(wait) * 4;
            let budget = &mut budgets[usize::from(entry) % ENTRIES];
            budget.note_request(at(now), &service());
            requests.push(now);
            while fails && budget.try_retry(at(now), &service()) {
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
        assert!(budget.try_retry(at(turn), &service()));
        budget.return_unsent(at(turn), &service(), 1);
    }
    assert!(budget.try_retry(at(5), &service()));
    assert!(!budget.try_retry(at(6), &service()));
}
