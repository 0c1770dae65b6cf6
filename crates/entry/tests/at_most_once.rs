//! Calls that must run at most once, and refusals that state correctly whether they ran.

mod support;

use bluebell_core::{
    clock::TimeSpan,
    ids::{IdempotencyKey, OrganisationId, RequestFingerprint, RequestId},
    records::{ClaimBatch, IdempotencyClaim, LogRecord, SettledResult},
};
use bluebell_platform::api::{EndpointKind, EndpointListing};
use reqwest::{RequestBuilder, Response};
use serde_json::Value;
use support::{
    TestBed, call_to,
    endpoint::{FakeEndpoint, ReceivedRequest, Step, plain_answer},
    eventually, listing, settings, start_entry, wait_ready, wait_routed,
};

fn listings(services: &[&FakeEndpoint]) -> Vec<EndpointListing> {
    let number = |(number, service): (usize, &&FakeEndpoint)| {
        let address = service.address.to_string();
        listing(&format!("pay-{number}"), EndpointKind::Plain, &address)
    };
    services.iter().enumerate().map(number).collect()
}

async fn bed_with(services: &[&FakeEndpoint]) -> TestBed {
    let bed = TestBed::start().await;
    bed.list(listings(services)).await;
    bed
}

async fn charging() -> FakeEndpoint {
    FakeEndpoint::start(|_| plain_answer("201 Created", "charged")).await
}

fn charge(bed: &TestBed, key: &str) -> RequestBuilder {
    bed.call("POST", "/charge")
        .header("idempotency-key", key)
        .body("five")
}

struct ErrorAnswer {
    status: u16,
    code: String,
    ran: String,
}

async fn error(answer: Response) -> ErrorAnswer {
    let status = answer.status().as_u16();
    let body: Value = answer.json().await.unwrap();
    let text = |name: &str| body["error"][name].as_str().unwrap().to_string();
    ErrorAnswer {
        status,
        code: text("code"),
        ran: text("ran"),
    }
}

async fn expect_error(request: RequestBuilder, status: u16, code: &str, ran: &str) {
    let received = error(request.send().await.unwrap()).await;
    let expected = (status, code.to_string(), ran.to_string());
    assert_eq!((received.status, received.code, received.ran), expected);
}

fn settled(bed: &TestBed, predicate: impl Fn(&SettledResult) -> bool) -> bool {
    bed.platform.records().iter().any(|record| match record {
        LogRecord::Settlements(batch) => batch.settlements.iter().any(|s| predicate(&s.result)),
        _ => false,
    })
}

/// The service crashes after it has read a charge. Whether the charge was made is
/// unknown; a retry on another endpoint could charge twice.
#[tokio::test]
async fn a_charge_is_not_retried_after_its_service_crashes() {
    let crashing = FakeEndpoint::start(|_| vec![Step::Gate, Step::Crash]).await;
    let other = charging().await;
    let bed = bed_with(&[&crashing]).await;
    let first = tokio::spawn(charge(&bed, "k1").send());
    eventually(async || !crashing.received("/charge").is_empty()).await;
    bed.list(listings(&[&crashing, &other])).await;
    crashing.gate.add_permits(1);
    let first = error(first.await.unwrap().unwrap()).await;
    assert_eq!(
        (first.code.as_str(), first.ran.as_str()),
        ("endpoint_lost", "unknown")
    );
    expect_error(charge(&bed, "k1"), 409, "outcome_unknown", "unknown").await;
    assert_eq!(crashing.received("/charge").len(), 1);
    assert!(other.received("/charge").is_empty());
}

/// HTTP clients retry a request when the pooled connection that they chose turns out to
/// be closed. Here the service keeps connections open and crashes just after it has read
/// a charge; a retry by the client would charge twice.
#[tokio::test]
async fn the_http_client_does_not_retry_a_charge() {
    let service = FakeEndpoint::start(|received: &ReceivedRequest| {
        if received.body.contains("last") {
            return vec![Step::Crash];
        }
        plain_answer("200 OK", "")
    })
    .await;
    let bed = bed_with(&[&service]).await;
    for number in 0..5 {
        let call = bed.call("POST", "/charge").body(number.to_string());
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
    let last = bed.call("POST", "/charge").body("last");
    expect_error(last, 502, "endpoint_lost", "unknown").await;
    let received = service.received("/charge");
    assert_eq!(received.len(), 6);
    let mut connections: Vec<u64> = received.iter().map(|request| request.connection).collect();
    connections.dedup();
    assert_eq!(
        connections.len(),
        6,
        "each charge has a connection of its own"
    );
}

/// A lookup may be repeated, so it is retried when its endpoint crashes.
#[tokio::test]
async fn a_lost_lookup_is_retried_on_another_endpoint() {
    let crashing = FakeEndpoint::start(|_| vec![Step::Crash]).await;
    let other = FakeEndpoint::start(|_| plain_answer("200 OK", "found")).await;
    let bed = bed_with(&[&crashing, &other]).await;
    while crashing.received("/lookup").is_empty() {
        let answer = bed.call("GET", "/lookup/3").send().await.unwrap();
        assert_eq!(answer.text().await.unwrap(), "found");
    }
}

/// A pooled connection to the only replica becomes unresponsive, while new ones work.
/// Without a timeout all lookups on it would wait until their deadlines.
#[tokio::test]
async fn a_lookup_on_an_unresponsive_connection_is_retried_on_a_new_one() {
    let service = FakeEndpoint::start(|received| match received.connection {
        0 => vec![Step::Hang],
        _ => plain_answer("200 OK", "found"),
    })
    .await;
    let limit = TimeSpan::from_millis(200);
    let bed = TestBed::with_progress_limit(limit, |_| {}).await;
    bed.list(listings(&[&service])).await;
    let answer = bed.call("GET", "/lookup/3").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(service.received("/lookup").len(), 2);
}

/// The chosen replica refuses connections. No byte was sent, so even a charge may be
/// sent to another replica, and the caller receives its answer.
#[tokio::test]
async fn a_charge_that_was_not_sent_is_sent_to_another_endpoint() {
    let stopped = charging().await;
    let other = charging().await;
    let bed = bed_with(&[&stopped, &other]).await;
    stopped.crash();
    eventually(async || {
        tokio::net::TcpStream::connect(stopped.address)
            .await
            .is_err()
    })
    .await;
    // The router chooses at random, so some of the 20 calls try the stopped replica first.
    for number in 0..20 {
        let answer = charge(&bed, &format!("k{number}")).send().await.unwrap();
        assert_eq!(answer.status(), 201);
    }
    assert_eq!(other.received("/charge").len(), 20);
}

#[tokio::test]
async fn a_repeat_returns_the_recorded_answer() {
    let service = charging().await;
    let bed = bed_with(&[&service]).await;
    let first = charge(&bed, "k1").send().await.unwrap();
    assert_eq!(first.status(), 201);
    assert!(!first.headers().contains_key("idempotent-replayed"));
    eventually(async || {
        let repeat = charge(&bed, "k1").send().await.unwrap();
        repeat.status() == 201 && repeat.text().await.unwrap() == "charged"
    })
    .await;
    let other = bed.call("POST", "/charge").header("idempotency-key", "k1");
    expect_error(other.body("six"), 422, "idempotency_key_reused", "not_run").await;
    assert_eq!(service.received("/charge").len(), 1);
}

/// The caller sends the same charge to a second entry while the first one is still
/// processing it. It must be charged only once.
#[tokio::test]
async fn concurrent_calls_with_one_key_at_two_entries_are_sent_once() {
    let service = FakeEndpoint::start(|_| {
        let mut steps = vec![Step::Gate];
        steps.extend(plain_answer("201 Created", "charged"));
        steps
    })
    .await;
    let bed = bed_with(&[&service]).await;
    let second = start_entry(settings(&bed.platform, "entry-2")).await;
    wait_ready(&bed.http, &second).await;
    wait_routed(&bed.http, &second, &listings(&[&service])).await;
    let mut answers = Vec::new();
    for number in 0..10 {
        let entry = if number % 2 == 0 { &bed.entry } else { &second };
        let call = call_to(&bed.http, entry, "POST", "/charge");
        let call = call.header("idempotency-key", "k1").body("five");
        answers.push(tokio::spawn(call.send()));
    }
    eventually(async || answers.iter().filter(|answer| answer.is_finished()).count() == 9).await;
    service.gate.add_permits(10);
    let mut charged = 0;
    for answer in answers {
        let answer = answer.await.unwrap().unwrap();
        match answer.status().as_u16() {
            201 => charged += 1,
            _ => assert_eq!(error(answer).await.code, "outcome_unknown"),
        }
    }
    assert_eq!(charged, 1);
    assert_eq!(service.received("/charge").len(), 1);
}

/// An entry is killed between its claim and the answer, and its caller sends the charge
/// to another entry. The claim stays valid for ever, because it is unknown whether the
/// charge was sent.
#[tokio::test]
async fn a_claim_of_a_killed_entry_is_not_taken_over() {
    let service = charging().await;
    let bed = bed_with(&[&service]).await;
    let organisation = OrganisationId::new("magnolia").unwrap();
    let content = b"pay\0POST\0/charge\0five";
    bed.platform.publish(&LogRecord::Claims(ClaimBatch {
        claims: vec![IdempotencyClaim {
            key: IdempotencyKey::new("k1").unwrap(),
            request: RequestId::new("r-of-killed-entry").unwrap(),
            fingerprint: RequestFingerprint::with_content(&organisation, content),
            entry: "entry-9".parse().unwrap(),
            organisation,
        }],
    }));
    for _ in 0..3 {
        expect_error(charge(&bed, "k1"), 409, "outcome_unknown", "unknown").await;
    }
    assert!(service.received("/charge").is_empty());
}

/// The log is unavailable. The key can't be claimed, so nothing may be sent, and the
/// refusal must report that the call did not run: the caller may retry at once at
/// another entry.
#[tokio::test]
async fn a_charge_with_a_key_is_refused_as_not_run_while_the_log_is_down() {
    let service = charging().await;
    let bed = bed_with(&[&service]).await;
    bed.platform.set_appends_down(true);
    expect_error(charge(&bed, "k1"), 503, "claim_unavailable", "not_run").await;
    assert!(service.received("/charge").is_empty());
    bed.platform.set_appends_down(false);
    let answer = charge(&bed, "k1").send().await.unwrap();
    assert_eq!(answer.status(), 201);
}

/// The log stores a claim, but its answer is lost. The entry must not send the call,
/// because another entry's claim may precede its own; and after the refusal as not run
/// the key must not stay blocked as if the call had been sent.
#[tokio::test]
async fn a_claim_with_a_lost_answer_sends_nothing_and_frees_the_key() {
    let service = charging().await;
    let bed = bed_with(&[&service]).await;
    bed.platform.set_lose_answers(true);
    expect_error(charge(&bed, "k1"), 503, "claim_unavailable", "not_run").await;
    assert!(service.received("/charge").is_empty());
    bed.platform.set_lose_answers(false);
    eventually(async || settled(&bed, |result| *result == SettledResult::NotRun)).await;
    eventually(async || charge(&bed, "k1").send().await.unwrap().status() == 201).await;
    assert_eq!(service.received("/charge").len(), 1);
}

/// The log is slow, and the caller's deadline passes while its claim is still being
/// appended. The call is refused as not run, and the claim that is stored later must
/// not block the key.
#[tokio::test]
async fn a_claim_stored_after_its_caller_was_refused_frees_the_key() {
    let service = charging().await;
    let bed = bed_with(&[&service]).await;
    bed.platform.set_hold_appends(true);
    let first = tokio::spawn(charge(&bed, "k0").send());
    eventually(async || bed.platform.held_appends() > 0).await;
    let call = charge(&bed, "k1").header("x-deadline-ms", "400");
    expect_error(call, 504, "deadline_exceeded", "not_run").await;
    bed.platform.set_hold_appends(false);
    eventually(async || charge(&bed, "k1").send().await.unwrap().status() == 201).await;
    drop(first.await);
    let received = service.received("/charge");
    let with_key = received
        .iter()
        .filter(|request| request.head.contains("k1"));
    assert_eq!(with_key.count(), 1);
}

/// An instance that is partitioned from the log does not receive withdrawals of keys.
#[tokio::test]
async fn a_partitioned_instance_refuses_charges_but_serves_lookups() {
    let service = charging().await;
    let bed = TestBed::with_settings(|settings| {
        settings.requests.freshness_bound = TimeSpan::from_millis(600);
    })
    .await;
    let address = service.address.to_string();
    bed.list(vec![listing("pay-1", EndpointKind::Plain, &address)])
        .await;
    bed.platform.set_reads_down(true);
    eventually(async || {
        let call = bed.call("POST", "/charge").send().await.unwrap();
        call.status() == 503 && error(call).await.code == "configuration_stale"
    })
    .await;
    let lookup = bed.call("GET", "/lookup").send().await.unwrap();
    assert_eq!(lookup.status(), 201);
}

/// An operator limits how long a partitioned instance serves lookups, so that a stolen
/// key that was withdrawn is not usable for the whole duration of a partition.
#[tokio::test]
async fn a_partitioned_instance_refuses_lookups_after_its_grace_period() {
    let service = charging().await;
    let bed = TestBed::with_settings(|settings| {
        settings.requests.freshness_bound = TimeSpan::from_millis(600);
        settings.requests.freshness_grace = Some(TimeSpan::from_secs(2));
    })
    .await;
    let address = service.address.to_string();
    bed.list(vec![listing("pay-1", EndpointKind::Plain, &address)])
        .await;
    bed.platform.set_reads_down(true);
    eventually(async || {
        let lookup = bed.call("GET", "/lookup").send().await.unwrap();
        lookup.status() == 503 && error(lookup).await.code == "configuration_stale"
    })
    .await;
    bed.platform.set_reads_down(false);
    eventually(async || bed.call("GET", "/lookup").send().await.unwrap().status() == 201).await;
}

/// The service takes longer than the caller's deadline. The caller is refused with an
/// unknown outcome; a repeat with the same key returns the recorded answer.
#[tokio::test]
async fn a_late_outcome_is_recorded_for_the_repeat() {
    let service = FakeEndpoint::start(|_| {
        let mut steps = vec![Step::Gate];
        steps.extend(plain_answer("201 Created", "charged"));
        steps
    })
    .await;
    let bed = bed_with(&[&service]).await;
    let call = charge(&bed, "k1").header("x-deadline-ms", "3000");
    expect_error(call, 504, "deadline_exceeded", "unknown").await;
    service.gate.add_permits(5);
    eventually(async || {
        let answer = charge(&bed, "k1").send().await.unwrap();
        answer.status() == 201 && answer.headers().contains_key("idempotent-replayed")
    })
    .await;
    assert_eq!(service.received("/charge").len(), 1);
}

/// An instance is stopped while a charge is in progress. The charge must complete, and
/// its outcome must be in the log before the instance exits.
#[tokio::test]
async fn stopping_waits_for_charges_and_their_settlements() {
    let service = FakeEndpoint::start(|_| {
        let mut steps = vec![Step::Gate];
        steps.extend(plain_answer("201 Created", "charged"));
        steps
    })
    .await;
    let bed = bed_with(&[&service]).await;
    let charged = tokio::spawn(charge(&bed, "k1").send());
    eventually(async || !service.received("/charge").is_empty()).await;
    let ready = bed.url("/ready");
    let TestBed {
        platform,
        entry,
        http,
    } = bed;
    let stopping = tokio::spawn(entry.stop());
    eventually(async || http.get(&ready).send().await.unwrap().status() == 503).await;
    assert!(!stopping.is_finished());
    service.gate.add_permits(1);
    assert_eq!(charged.await.unwrap().unwrap().status(), 201);
    stopping.await.unwrap();
    let settled = platform.records().into_iter().any(|record| match record {
        LogRecord::Settlements(batch) => {
            matches!(batch.settlements[0].result, SettledResult::Answered { .. })
        }
        _ => false,
    });
    assert!(settled);
}
