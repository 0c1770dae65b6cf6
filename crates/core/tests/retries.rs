//! Retry budgets of organisations and backoff.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
    retries::{RetryBudget, RetryDecision, RetrySettings},
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).expect("valid")
}

/// Guards against a retry storm: all endpoints fail for a minute while an organisation
/// sends 100 requests a second. Without a budget, each request is attempted three
/// times, so the load triples when the fleet has the least capacity, and the outage
/// continues after its cause has passed.
#[test]
fn retries_in_an_outage_are_limited_to_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(1);
    let kiosk = organisation("kiosk");
    let mut retries = 0;
    for number in 0..6_000 {
        let now = at(number * 10);
        budget.note_request(now, &kiosk);
        let mut failed = 1;
        while let RetryDecision::Retry { .. } = budget.try_retry(now, &kiosk, failed) {
            failed += 1;
            retries += 1;
        }
    }
    assert!((1..=100).contains(&retries), "{retries}");
}

/// Guards against a budget that is too small for isolated failures: one request in
/// twenty reaches a failing endpoint and has to be retried.
#[test]
fn occasional_failures_are_all_retried() {
    let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(1);
    let kiosk = organisation("kiosk");
    for number in 0..6_000 {
        let now = at(number * 10);
        budget.note_request(now, &kiosk);
        if number % 20 == 0 {
            let answer = budget.try_retry(now, &kiosk, 1);
            assert!(matches!(answer, RetryDecision::Retry { .. }), "{answer:?}");
        }
    }
}

#[test]
fn a_small_organisation_always_has_the_minimum_of_retries() {
    let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(1);
    let small = organisation("small");
    budget.note_request(at(0), &small);
    for _ in 0..5 {
        let answer = budget.try_retry(at(1), &small, 1);
        assert!(matches!(answer, RetryDecision::Retry { .. }), "{answer:?}");
    }
    let answer = budget.try_retry(at(1), &small, 1);
    assert!(matches!(answer, RetryDecision::GiveUp { .. }), "{answer:?}");
    assert_eq!(budget.remaining(at(20_000), &small), 5);
}

#[test]
fn organisations_have_separate_budgets() {
    let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(1);
    while let RetryDecision::Retry { .. } = budget.try_retry(at(1), &organisation("a"), 1) {}
    let answer = budget.try_retry(at(1), &organisation("b"), 1);
    assert!(matches!(answer, RetryDecision::Retry { .. }), "{answer:?}");
}

#[test]
fn waits_grow_and_have_jitter() {
    let settings = RetrySettings {
        attempts: 10,
        minimum: 100,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings).with_seed(1);
    let kiosk = organisation("kiosk");
    let mut wait = |failed| match budget.try_retry(at(1), &kiosk, failed) {
        RetryDecision::Retry { after, .. } => after,
        RetryDecision::GiveUp { reason } => panic!("{reason}"),
    };
    let first: Vec<TimeSpan> = (0..20).map(|_| wait(1)).collect();
    assert!(first.iter().any(|span| *span != first[0]));
    assert!(first.iter().all(|span| *span <= TimeSpan::from_millis(50)));
    assert!(wait(6) >= TimeSpan::from_millis(500));
    assert!(wait(9) <= TimeSpan::from_secs(1));
}
