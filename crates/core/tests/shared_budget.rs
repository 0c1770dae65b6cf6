//! The retry budget that all entries share.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
    retries::{EngineArrival, EngineCall, RequestArrivals, RetryAllowance, SharedRetryBudget},
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
fn retries_are_limited_by_requests() {
    // All engines fail at the same time and each request is sent again repeatedly.
    // Without a budget, the service receives three times its load and stays overloaded.
    let mut budget = budget(0.0);
    assert!(!budget.try_retry(at(0), &service()));
    for step in 0..100 {
        budget.note_request(at(step), &service());
    }
    let retries = (0..100).filter(|_| budget.try_retry(at(100), &service()));
    assert_eq!(retries.count(), 16);
}

#[test]
fn the_budget_is_restored_after_the_window() {
    let mut budget = budget(2.0);
    assert!(budget.try_retry(at(0), &service()));
    assert!(budget.try_retry(at(0), &service()));
    assert!(!budget.try_retry(at(WINDOW - 1), &service()));
    assert!(budget.try_retry(at(WINDOW + 2_000), &service()));
}

/// Guards against a process that uses its own part of the additional retries beside that of
/// its predecessor.
#[test]
fn a_process_grants_no_additional_retries_in_its_first_window() {
    let mut budget = budget(10.0).with_start(at(1_000));
    assert!(!budget.try_retry(at(1_500), &service()));
    for _ in 0..25 {
        budget.note_request(at(2_000), &service());
    }
    assert!(budget.try_retry(at(2_000), &service()));
    assert!(!budget.try_retry(at(2_000), &service()));
    assert!(budget.try_retry(at(1_000 + WINDOW), &service()));
}

#[test]
fn a_rejected_prefill_needs_a_grant_before_the_next_call() {
    // An engine that has changed its stage rejects a prefill, and so does the next one.
    // Each rejection is an arrival; a request that gets no budget for it ends there.
    let mut budget = budget(1.0);
    let mut arrivals = RequestArrivals::new();
    assert!(!arrivals.needs_grant(EngineCall::Prefill));
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    assert!(budget.try_retry(at(0), &service()));
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    assert!(!budget.try_retry(at(1), &service()));
    assert_eq!(arrivals.unused_grants(), 0);
    budget.set_extra(2.0);
    assert!(budget.try_retry(at(1), &service()));
}

#[test]
fn the_first_prefill_and_its_run_need_no_grant() {
    let mut arrivals = RequestArrivals::new();
    assert!(!arrivals.needs_grant(EngineCall::Prefill));
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert!(!arrivals.needs_grant(EngineCall::Run));
    arrivals.note_arrival(EngineArrival::Counted);
    assert_eq!(arrivals.unused_grants(), 0);
    // The run failed; the next prefill counts like any other arrival.
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
}

/// Guards against prefills that are repeated outside the budget while no engine runs the
/// request.
#[test]
fn a_repeated_prefill_needs_a_grant_before_it_is_sent() {
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::PrefillDone);
    assert_eq!(arrivals.unused_grants(), 0);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    assert!(!arrivals.needs_grant(EngineCall::Run));
}

#[test]
fn prefills_whose_answers_are_lost_need_a_grant() {
    // Engines carry out prefills, but their answers are lost repeatedly. Each was an
    // arrival, even if the request never reaches its run.
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    arrivals.note_grant();
    arrivals.note_arrival(EngineArrival::Counted);
    assert!(arrivals.needs_grant(EngineCall::Prefill));
    assert_eq!(arrivals.unused_grants(), 0);
}

/// Guards against a budget that is refunded for a retry that reached its engine, because its
/// caller disconnected before the answer.
#[test]
fn a_retry_in_progress_keeps_its_grant() {
    let mut arrivals = RequestArrivals::new();
    arrivals.start_call(EngineCall::Run);
    arrivals.note_arrival(EngineArrival::Counted);
    arrivals.note_grant();
    arrivals.start_call(EngineCall::Run);
    assert_eq!(arrivals.unused_grants(), 0);
    arrivals.note_unsent();
    assert_eq!(arrivals.unused_grants(), 1);
}

#[test]
fn unused_grants_are_counted() {
    let mut arrivals = RequestArrivals::new();
    arrivals.note_arrival(EngineArrival::Counted);
    arrivals.note_grant();
    assert_eq!(arrivals.unused_grants(), 1);
    arrivals.note_arrival(EngineArrival::Counted);
    assert_eq!(arrivals.unused_grants(), 0);
}

#[test]
fn eighty_entries_with_outdated_stages_stay_within_the_shared_budget() {
    // A fleet has just changed the stages of its engines and no entry has received the
    // update: at all entries, four engines in a row reject each request within 50 ms.
    // If budget were not taken before the next call, the entries would send a quarter
    // more arrivals than the operators allow, and callers would wait behind engines
    // that reject requests.
    const ENTRIES: usize = 80;
    const REQUESTS: usize = 6_000;
    const REJECTIONS: usize = 4;
    const LARGE_EXTRA: f64 = 200.0;
    let mut budgets: Vec<SharedRetryBudget> = (0..ENTRIES)
        .map(|_| budget(LARGE_EXTRA / ENTRIES as f64))
        .collect();
    let mut counted = 0;
    for number in 0..REQUESTS {
        let now = at(number as u64 * WINDOW / REQUESTS as u64);
        let budget = &mut budgets[number % ENTRIES];
        budget.note_request(now, &service());
        let mut arrivals = RequestArrivals::new();
        let mut sent = 0;
        for call in 0..=REJECTIONS + 1 {
            let next = match call {
                call if call <= REJECTIONS => EngineCall::Prefill,
                _ => EngineCall::Run,
            };
            if arrivals.needs_grant(next) {
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
        counted += sent.saturating_sub(1);
    }
    let allowed = SHARE * REQUESTS as f64 + LARGE_EXTRA;
    assert!(
        counted as f64 <= allowed,
        "{counted} counted arrivals, {allowed} allowed"
    );
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = budget(1.0);
    let other = ServiceName::new("till").unwrap();
    assert!(budget.try_retry(at(0), &service()));
    assert!(!budget.try_retry(at(0), &service()));
    assert!(budget.try_retry(at(0), &other));
}

quickcheck! {
    /// No window has more retries than the operators allow, for any sequence of
    /// requests and failures and any distribution of them over the entries.
    fn no_window_has_more_retries_than_allowed(steps: Vec<(u8, u8, bool)>) -> bool {
        const ENTRIES: usize = 9;
        let mut budgets: Vec<SharedRetryBudget> =
            (0..ENTRIES).map(|_| budget(EXTRA / ENTRIES as f64)).collect();
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (entry, wait, fails) in steps {
            now += u64::from(wait) * 4;
            let budget = &mut budgets[usize::from(entry) % ENTRIES];
            budget.note_request(at(now), &service());
            requests.push(now);
            while fails && budget.try_retry(at(now), &service()) {
                retries.push(now);
            }
        }
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|time| (from..from + WINDOW).contains(time)).count() as f64
        };
        retries.iter().all(|from| {
            let before = from.saturating_sub(WINDOW);
            let requested = within(&requests, *from).max(within(&requests, before));
            within(&retries, *from) <= SHARE * requested + EXTRA
        })
    }

    /// Guards against retries beyond the limit in windows in which processes end and start
    /// again, each with a new budget.
    fn no_window_has_more_retries_than_allowed_across_restarts(
        steps: Vec<(u8, u8, bool, u8)>
    ) -> bool {
        const ENTRIES: usize = 9;
        const STEPS_PER_RESTART: u8 = 8;
        let mut budgets: Vec<SharedRetryBudget> =
            (0..ENTRIES).map(|_| budget(EXTRA / ENTRIES as f64)).collect();
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (entry, wait, fails, restart) in steps {
            now += u64::from(wait) * 4;
            let budget_of = &mut budgets[usize::from(entry) % ENTRIES];
            if restart % STEPS_PER_RESTART == 0 {
                *budget_of = budget(EXTRA / ENTRIES as f64).with_start(at(now));
            }
            budget_of.note_request(at(now), &service());
            requests.push(now);
            while fails && budget_of.try_retry(at(now), &service()) {
                retries.push(now);
            }
        }
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|time| (from..from + WINDOW).contains(time)).count() as f64
        };
        retries.iter().all(|from| {
            let before = from.saturating_sub(WINDOW);
            let requested = within(&requests, *from).max(within(&requests, before));
            within(&retries, *from) <= SHARE * requested + EXTRA
        })
    }
}

#[test]
fn an_unsent_retry_is_returned_to_the_budget() {
    // The engine selected for a retry has crashed and accepts no connections. No engine
    // has seen the retry, so the next one must not be refused because of it.
    let mut budget = budget(1.0);
    for step in 0..5 {
        assert!(budget.try_retry(at(step), &service()));
        budget.return_unsent(at(step), &service(), 1);
    }
    assert!(budget.try_retry(at(5), &service()));
    assert!(!budget.try_retry(at(6), &service()));
}
