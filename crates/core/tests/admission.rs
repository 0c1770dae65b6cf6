//! Fair shares, deadlines and limits of an entry's admission queue.

use bluebell_core::{
    admission::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, OrganisationLimits,
        PeerShare, PoolCapacity, RefuseReason, ShareReport,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{InstanceId, ModelName, OrganisationId, RequestId},
    routing::RoutePool,
    units::{ShareWeight, TokenCount, TokenRate},
};

fn pool() -> RoutePool {
    RoutePool::Model(ModelName::new("chat").expect("valid"))
}

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).expect("valid")
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn admission(organisation_name: &str, number: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::new(format!("{organisation_name}-{number}")).expect("valid"),
        organisation: organisation(organisation_name),
        pool: pool(),
        priority: WorkPriority::Interactive,
        rank: 0,
        has_returned: false,
        deadline: at(deadline),
        prompt_tokens: TokenCount::new(100),
        max_output: TokenCount::ZERO,
    }
}

fn queue(slots: u32, rate: u64) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default()).with_seed(1);
    let capacity = PoolCapacity {
        slots,
        token_rate: TokenRate::new(rate),
        first_token: TimeSpan::from_millis(100),
    };
    queue.set_capacity(at(0), &pool(), capacity);
    queue
}

fn started(actions: &[AdmissionAction]) -> Vec<String> {
    let name = |action: &AdmissionAction| match action {
        AdmissionAction::Start { request, .. } => Some(request.to_string()),
        AdmissionAction::Refuse { .. } => None,
    };
    actions.iter().filter_map(name).collect()
}

fn refused(actions: &[AdmissionAction]) -> Vec<(String, RefuseReason, TimeSpan)> {
    let refusal = |action: &AdmissionAction| match action {
        AdmissionAction::Refuse {
            request,
            reason,
            retry_after,
        } => Some((request.to_string(), reason.clone(), *retry_after)),
        AdmissionAction::Start { .. } => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Runs one request at a time to its end and returns the order of starts.
fn run_sequentially(queue: &mut AdmissionQueue, mut running: String) -> Vec<String> {
    let mut order = vec![running.clone()];
    loop {
        let request = RequestId::new(running).expect("valid");
        let actions = queue.finish(at(10), &request, TokenCount::ZERO);
        let Some(next) = started(&actions).pop() else {
            return order;
        };
        order.push(next.clone());
        running = next;
    }
}

/// One organisation sends twenty requests at once, then another one sends two. In the
/// order of arrival the second organisation would wait behind all twenty requests, and
/// its shoppers would have left by then.
#[test]
fn a_flood_delays_another_organisation_by_few_requests_only() {
    let mut queue = queue(1, 1_000_000);
    for number in 0..20 {
        queue.offer(at(0), admission("flood", number, 60_000));
    }
    for number in 0..2 {
        queue.offer(at(1), admission("small", number, 60_000));
    }
    let order = run_sequentially(&mut queue, "flood-0".to_string());
    let last_small_position = order
        .iter()
        .position(|request| request == "small-1")
        .expect("the request ran");
    assert!(last_small_position <= 4, "{order:?}");
    assert_eq!(order.len(), 22);
}

/// An organisation that was idle for an hour becomes active while another one sends
/// requests. If it had kept its low counter, it would block the other one until its
/// counter had caught up.
#[test]
fn an_idle_organisation_gains_no_credit() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("sleeper", 99, 60_000));
    queue.finish(
        at(0),
        &RequestId::new("sleeper-99").expect("valid"),
        TokenCount::ZERO,
    );
    for number in 0..30 {
        queue.offer(at(0), admission("busy", number, 60_000));
    }
    let mut running = "busy-0".to_string();
    for _ in 0..15 {
        let request = RequestId::new(running).expect("valid");
        running = started(&queue.finish(at(5), &request, TokenCount::ZERO))
            .pop()
            .expect("another request is queued");
    }
    for number in 0..10 {
        queue.offer(at(6), admission("sleeper", number, 60_000));
    }
    let order = run_sequentially(&mut queue, running);
    let busy_count = order[1..11]
        .iter()
        .filter(|request| request.starts_with("busy"))
        .count();
    assert!((4..=6).contains(&busy_count), "{order:?}");
}

/// An endpoint becomes available again and eight slots are free at once. If requests
/// were charged only when they end, the organisation that is first in the order would
/// get all eight slots.
#[test]
fn slots_that_become_free_together_are_shared() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("first", 0, 60_000));
    for number in 0..8 {
        queue.offer(at(0), admission("a", number, 60_000));
        queue.offer(at(0), admission("b", number, 60_000));
    }
    let larger = PoolCapacity {
        slots: 9,
        token_rate: TokenRate::new(1_000_000),
        first_token: TimeSpan::from_millis(100),
    };
    let order = started(&queue.set_capacity(at(1), &pool(), larger));
    assert_eq!(order.len(), 8);
    let starts_of_a = order.iter().filter(|request| request.starts_with("a-"));
    assert_eq!(starts_of_a.count(), 4, "{order:?}");
}

#[test]
fn starts_are_shared_by_weight() {
    let mut queue = queue(1, 1_000_000);
    let limits = OrganisationLimits {
        weight: ShareWeight::new(3),
        max_in_flight: 100,
    };
    queue.set_limits(organisation("heavy"), limits);
    for number in 0..40 {
        queue.offer(at(0), admission("heavy", number, 60_000));
        queue.offer(at(0), admission("light", number, 60_000));
    }
    let order = run_sequentially(&mut queue, "heavy-0".to_string());
    let heavy_count = order[..40]
        .iter()
        .filter(|request| request.starts_with("heavy"))
        .count();
    assert!((28..=32).contains(&heavy_count), "{heavy_count}");
}

/// A flood is spread over all entries, each of which receives only a part of it.
/// Without the peers' reports each entry would count only its own part of the flood.
#[test]
fn costs_served_by_peers_are_charged() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("first", 0, 60_000));
    for number in 0..5 {
        queue.offer(at(0), admission("spread", number, 60_000));
        queue.offer(at(0), admission("here", number, 60_000));
    }
    let report = ShareReport {
        made_at: at(7),
        shares: vec![PeerShare {
            pool: pool(),
            organisation: organisation("spread"),
            served: TokenCount::new(5_000),
        }],
    };
    let peer = InstanceId::new("peer").expect("valid");
    queue.note_peer_shares(&peer, &report);
    queue.note_peer_shares(&peer, &report);
    let order = run_sequentially(&mut queue, "first-0".to_string());
    assert!(
        order[1..6]
            .iter()
            .all(|request| request.starts_with("here")),
        "{order:?}"
    );
}

/// A peer's report arrives twice. Charged twice, it would delay an organisation without
/// cause.
#[test]
fn a_duplicate_report_is_charged_once() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("first", 0, 60_000));
    for number in 0..5 {
        queue.offer(at(0), admission("spread", number, 60_000));
        queue.offer(at(0), admission("here", number, 60_000));
    }
    let report = ShareReport {
        made_at: at(7),
        shares: vec![PeerShare {
            pool: pool(),
            organisation: organisation("spread"),
            served: TokenCount::new(250),
        }],
    };
    let peer = InstanceId::new("peer").expect("valid");
    queue.note_peer_shares(&peer, &report);
    queue.note_peer_shares(&peer, &report);
    let order = run_sequentially(&mut queue, "first-0".to_string());
    let first_spread = order.iter().position(|r| r.starts_with("spread"));
    assert_eq!(first_spread, Some(4), "{order:?}");
}

/// More requests are queued than can run before the deadline. If they were only queued,
/// their callers would learn at the deadline that they had waited in vain.
#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut queue = queue(1, 100);
    let mut refusals = Vec::new();
    for number in 0..10 {
        let actions = queue.offer(at(0), admission("kiosk", number, 3_000));
        refusals.extend(refused(&actions));
    }
    assert!(!refusals.is_empty());
    for (request, reason, retry_after) in refusals {
        assert!(
            matches!(reason, RefuseReason::DeadlineUnreachable { .. }),
            "{request}: {reason}"
        );
        assert!(retry_after >= TimeSpan::from_secs(1), "{retry_after}");
        assert!(retry_after <= TimeSpan::from_secs(20), "{retry_after}");
    }
}

/// Half of the endpoints are lost while requests are queued. Those that can no longer
/// meet their deadline are refused now, not when the deadline passes.
#[test]
fn queued_requests_are_refused_when_capacity_is_lost() {
    let mut queue = queue(10, 1_000);
    for number in 0..30 {
        let actions = queue.offer(at(0), admission("kiosk", number, 2_500));
        assert!(refused(&actions).is_empty(), "{actions:?}");
    }
    let smaller = PoolCapacity {
        slots: 2,
        token_rate: TokenRate::new(200),
        first_token: TimeSpan::from_millis(100),
    };
    let actions = queue.set_capacity(at(10), &pool(), smaller);
    assert!(refused(&actions).len() >= 10, "{actions:?}");
}

#[test]
fn no_capacity_and_the_in_flight_limit_are_given_as_reasons() {
    let mut queue = queue(0, 1_000);
    let actions = queue.offer(at(0), admission("kiosk", 0, 3_000));
    assert_eq!(refused(&actions)[0].1, RefuseReason::NoCapacity);
    let mut queue = self::queue(1, 1_000_000);
    let limits = OrganisationLimits {
        weight: ShareWeight::new(1),
        max_in_flight: 2,
    };
    queue.set_limits(organisation("kiosk"), limits);
    for number in 0..2 {
        assert!(refused(&queue.offer(at(0), admission("kiosk", number, 3_000))).is_empty());
    }
    let actions = queue.offer(at(0), admission("kiosk", 2, 3_000));
    assert_eq!(
        refused(&actions)[0].1,
        RefuseReason::InFlightLimit { limit: 2 }
    );
}

#[test]
fn interactive_work_starts_before_deferrable_work() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("first", 0, 60_000));
    for number in 0..3 {
        let mut deferrable = admission("batch", number, 60_000);
        deferrable.priority = WorkPriority::Deferrable;
        queue.offer(at(0), deferrable);
        queue.offer(at(0), admission("person", number, 60_000));
    }
    let order = run_sequentially(&mut queue, "first-0".to_string());
    assert!(
        order[1..4]
            .iter()
            .all(|request| request.starts_with("person")),
        "{order:?}"
    );
}

/// A caller cancels while its request is queued. The request must neither start nor
/// count towards its organisation's limit.
#[test]
fn a_request_cancelled_in_the_queue_neither_starts_nor_counts() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("kiosk", 0, 60_000));
    queue.offer(at(0), admission("kiosk", 1, 60_000));
    queue.offer(at(0), admission("kiosk", 2, 60_000));
    let cancelled = RequestId::new("kiosk-1").expect("valid");
    assert!(queue.cancel(at(1), &cancelled, TokenCount::ZERO).is_empty());
    let order = run_sequentially(&mut queue, "kiosk-0".to_string());
    assert_eq!(order, ["kiosk-0", "kiosk-2"]);
    let status = queue.status().pop().expect("one pool");
    assert_eq!((status.running, status.queued), (0, 0));
}

/// Most callers cancel. If their estimated costs stayed charged, the organisations with
/// the most cancelled requests would get the smallest share.
#[test]
fn the_estimated_cost_is_replaced_by_the_delivered_one() {
    let mut queue = queue(1, 1_000_000);
    let long_output = |name: &str, number| AdmissionRequest {
        max_output: TokenCount::new(1_000),
        ..admission(name, number, 60_000)
    };
    queue.offer(at(0), long_output("cancels", 0));
    for number in 1..4 {
        queue.offer(at(0), long_output("cancels", number));
        queue.offer(at(0), long_output("reads", number));
    }
    let first = RequestId::new("cancels-0").expect("valid");
    let actions = queue.cancel(at(1), &first, TokenCount::ZERO);
    assert_eq!(started(&actions), ["reads-1"]);
    let reads = RequestId::new("reads-1").expect("valid");
    let actions = queue.finish(at(2), &reads, TokenCount::new(1_000));
    assert_eq!(started(&actions), ["cancels-1"]);
    let cancels = RequestId::new("cancels-1").expect("valid");
    let actions = queue.cancel(at(3), &cancels, TokenCount::ZERO);
    assert_eq!(started(&actions), ["cancels-2"]);
}

#[test]
fn counters_of_idle_organisations_are_removed() {
    let mut queue = queue(8, 1_000_000);
    for number in 0..20_000 {
        let name = format!("org{number}");
        let actions = queue.offer(at(number), admission(&name, 0, number + 60_000));
        assert_eq!(started(&actions).len(), 1);
        let request = RequestId::new(format!("{name}-0")).expect("valid");
        queue.finish(at(number), &request, TokenCount::ZERO);
    }
    assert!(queue.tracked_organisations() < 5_000);
}

/// The engines' queues fill up: first tokens arrive later and later although few
/// requests are queued here. Requests wait in the engines in the order of arrival, so a
/// flood that arrived first would be served first.
#[test]
fn starts_are_limited_to_first_tokens_within_the_target() {
    let mut queue = queue(40, 1_000_000);
    for number in 0..120 {
        queue.offer(at(0), admission("flood", number, 600_000));
    }
    assert_eq!(queue.status()[0].running, 40);
    for number in 0..80 {
        let request = RequestId::new(format!("flood-{number}")).expect("valid");
        let now = at(1_000 + number * 400);
        queue.note_first_token(now, &request);
        queue.finish(now, &request, TokenCount::ZERO);
    }
    let status = queue.status().remove(0);
    assert!(status.window <= 4 && status.running <= 8, "{status:?}");
    for number in 80..120 {
        let request = RequestId::new(format!("flood-{number}")).expect("valid");
        for index in 0..8 {
            let number = number * 100 + index;
            queue.offer(at(100_000), admission("more", number, 600_000));
        }
        queue.note_first_token(at(100_000), &request);
        queue.finish(at(100_000), &request, TokenCount::ZERO);
    }
}

/// A deferrable request of one organisation is queued while another organisation sends
/// a flood of interactive requests. Its deadline is minutes away, but with strict
/// priority it would never start.
#[test]
fn a_flood_of_interactive_work_does_not_block_deferrable_work_of_others() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), admission("flood", 0, 600_000));
    let mut deferrable = admission("history", 0, 600_000);
    deferrable.priority = WorkPriority::Deferrable;
    queue.offer(at(0), deferrable);
    for number in 1..100 {
        queue.offer(at(0), admission("flood", number, 600_000));
    }
    let order = run_sequentially(&mut queue, "flood-0".to_string());
    let position = order.iter().position(|request| request == "history-0");
    // Its organisation is behind by the handicap of 4,000 after about 40 requests of
    // 100 tokens.
    assert!(
        (35..=45).contains(&position.expect("the request ran")),
        "{position:?}"
    );
}
