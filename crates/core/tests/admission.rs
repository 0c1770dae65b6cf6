//! Fair shares, deadlines and limits of one entry's queue.

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

fn ask(organisation_name: &str, number: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::new(format!("{organisation_name}-{number}")).expect("valid"),
        organisation: organisation(organisation_name),
        pool: pool(),
        priority: WorkPriority::Interactive,
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
fn run_one_by_one(queue: &mut AdmissionQueue, mut running: String) -> Vec<String> {
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

/// One organisation sends twenty requests at once, then another sends two. In
/// the order of arrival the second would wait behind all twenty; its shoppers
/// would have left by then.
#[test]
fn a_flood_delays_another_organisation_by_one_request_only() {
    let mut queue = queue(1, 1_000_000);
    for number in 0..20 {
        queue.offer(at(0), ask("flood", number, 60_000));
    }
    for number in 0..2 {
        queue.offer(at(1), ask("small", number, 60_000));
    }
    let order = run_one_by_one(&mut queue, "flood-0".to_string());
    let last_small = order
        .iter()
        .position(|request| request == "small-1")
        .expect("it ran");
    assert!(last_small <= 4, "{order:?}");
    assert_eq!(order.len(), 22);
}

/// An organisation that slept for an hour comes back while another works. If it
/// had kept its low counter, it would shut the other out until it had caught up.
#[test]
fn an_idle_organisation_banks_no_credit() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("sleeper", 99, 60_000));
    queue.finish(
        at(0),
        &RequestId::new("sleeper-99").expect("valid"),
        TokenCount::ZERO,
    );
    for number in 0..30 {
        queue.offer(at(0), ask("busy", number, 60_000));
    }
    let mut running = "busy-0".to_string();
    for _ in 0..15 {
        let request = RequestId::new(running).expect("valid");
        running = started(&queue.finish(at(5), &request, TokenCount::ZERO))
            .pop()
            .expect("more waits");
    }
    for number in 0..10 {
        queue.offer(at(6), ask("sleeper", number, 60_000));
    }
    let order = run_one_by_one(&mut queue, running);
    let busy_among_first = order[1..11]
        .iter()
        .filter(|request| request.starts_with("busy"))
        .count();
    assert!((4..=6).contains(&busy_among_first), "{order:?}");
}

/// An endpoint comes back and eight slots are free at once. If work counted only
/// when it ends, whoever is first in the order would get all eight.
#[test]
fn slots_that_are_freed_together_are_shared() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("first", 0, 60_000));
    for number in 0..8 {
        queue.offer(at(0), ask("a", number, 60_000));
        queue.offer(at(0), ask("b", number, 60_000));
    }
    let more = PoolCapacity {
        slots: 9,
        token_rate: TokenRate::new(1_000_000),
        first_token: TimeSpan::from_millis(100),
    };
    let order = started(&queue.set_capacity(at(1), &pool(), more));
    assert_eq!(order.len(), 8);
    let of_a = order.iter().filter(|request| request.starts_with("a-"));
    assert_eq!(of_a.count(), 4, "{order:?}");
}

#[test]
fn weights_divide_the_starts() {
    let mut queue = queue(1, 1_000_000);
    let heavy = OrganisationLimits {
        weight: ShareWeight::new(3),
        max_in_flight: 100,
    };
    queue.set_limits(organisation("heavy"), heavy);
    for number in 0..40 {
        queue.offer(at(0), ask("heavy", number, 60_000));
        queue.offer(at(0), ask("light", number, 60_000));
    }
    let order = run_one_by_one(&mut queue, "heavy-0".to_string());
    let heavy_count = order[..40]
        .iter()
        .filter(|request| request.starts_with("heavy"))
        .count();
    assert!((28..=32).contains(&heavy_count), "{heavy_count}");
}

/// A flood is spread over all entries, each of which sees only a part of it.
/// Without the peers' word the flooding organisation looks modest everywhere.
#[test]
fn what_peers_served_counts() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("first", 0, 60_000));
    for number in 0..5 {
        queue.offer(at(0), ask("spread", number, 60_000));
        queue.offer(at(0), ask("here", number, 60_000));
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
    let order = run_one_by_one(&mut queue, "first-0".to_string());
    assert!(
        order[1..6]
            .iter()
            .all(|request| request.starts_with("here")),
        "{order:?}"
    );
}

/// A peer's message arrives twice. Counted twice, it would put an organisation
/// back that has done nothing wrong.
#[test]
fn a_repeated_report_counts_once() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("first", 0, 60_000));
    for number in 0..5 {
        queue.offer(at(0), ask("spread", number, 60_000));
        queue.offer(at(0), ask("here", number, 60_000));
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
    let order = run_one_by_one(&mut queue, "first-0".to_string());
    let first_spread = order.iter().position(|r| r.starts_with("spread"));
    assert_eq!(first_spread, Some(4), "{order:?}");
}

/// More work is queued than can be done before the deadline. A caller that is
/// kept waiting learns only at the deadline that it waited for nothing.
#[test]
fn work_that_would_be_late_is_refused_at_once() {
    let mut queue = queue(1, 100);
    let mut refusals = Vec::new();
    for number in 0..10 {
        let actions = queue.offer(at(0), ask("kiosk", number, 3_000));
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

/// Half of the endpoints are lost while work is queued. What no longer can be
/// done in time is told so now, not when its deadline passes.
#[test]
fn queued_work_is_refused_when_capacity_is_lost() {
    let mut queue = queue(10, 1_000);
    for number in 0..30 {
        let actions = queue.offer(at(0), ask("kiosk", number, 2_500));
        assert!(refused(&actions).is_empty(), "{actions:?}");
    }
    let less = PoolCapacity {
        slots: 2,
        token_rate: TokenRate::new(200),
        first_token: TimeSpan::from_millis(100),
    };
    let actions = queue.set_capacity(at(10), &pool(), less);
    assert!(refused(&actions).len() >= 10, "{actions:?}");
}

#[test]
fn no_capacity_and_the_in_flight_limit_are_said_so() {
    let mut queue = queue(0, 1_000);
    let actions = queue.offer(at(0), ask("kiosk", 0, 3_000));
    assert_eq!(refused(&actions)[0].1, RefuseReason::NoCapacity);
    let mut queue = self::queue(1, 1_000_000);
    let limits = OrganisationLimits {
        weight: ShareWeight::new(1),
        max_in_flight: 2,
    };
    queue.set_limits(organisation("kiosk"), limits);
    for number in 0..2 {
        assert!(refused(&queue.offer(at(0), ask("kiosk", number, 3_000))).is_empty());
    }
    let actions = queue.offer(at(0), ask("kiosk", 2, 3_000));
    assert_eq!(
        refused(&actions)[0].1,
        RefuseReason::InFlightLimit { limit: 2 }
    );
}

#[test]
fn interactive_work_starts_before_deferrable_work() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("first", 0, 60_000));
    for number in 0..3 {
        let mut later = ask("batch", number, 60_000);
        later.priority = WorkPriority::Deferrable;
        queue.offer(at(0), later);
        queue.offer(at(0), ask("person", number, 60_000));
    }
    let order = run_one_by_one(&mut queue, "first-0".to_string());
    assert!(
        order[1..4]
            .iter()
            .all(|request| request.starts_with("person")),
        "{order:?}"
    );
}

/// A caller leaves while its request is queued. The request must neither start
/// nor count against its organisation.
#[test]
fn a_cancel_in_the_queue_leaves_nothing_behind() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("kiosk", 0, 60_000));
    queue.offer(at(0), ask("kiosk", 1, 60_000));
    queue.offer(at(0), ask("kiosk", 2, 60_000));
    let gone = RequestId::new("kiosk-1").expect("valid");
    assert!(queue.cancel(at(1), &gone, TokenCount::ZERO).is_empty());
    let order = run_one_by_one(&mut queue, "kiosk-0".to_string());
    assert_eq!(order, ["kiosk-0", "kiosk-2"]);
    let status = queue.status().pop().expect("one pool");
    assert_eq!((status.running, status.queued), (0, 0));
}

/// Most callers cancel. If their estimates stayed charged, organisations whose
/// callers cancel most would get least.
#[test]
fn the_estimate_is_replaced_by_what_was_delivered() {
    let mut queue = queue(1, 1_000_000);
    let long = |name: &str, number| AdmissionRequest {
        max_output: TokenCount::new(1_000),
        ..ask(name, number, 60_000)
    };
    queue.offer(at(0), long("cancels", 0));
    for number in 1..4 {
        queue.offer(at(0), long("cancels", number));
        queue.offer(at(0), long("reads", number));
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
fn idle_organisations_are_forgotten() {
    let mut queue = queue(8, 1_000_000);
    for number in 0..20_000 {
        let name = format!("org{number}");
        let actions = queue.offer(at(number), ask(&name, 0, number + 60_000));
        assert_eq!(started(&actions).len(), 1);
        let request = RequestId::new(format!("{name}-0")).expect("valid");
        queue.finish(at(number), &request, TokenCount::ZERO);
    }
    assert!(queue.tracked_organisations() < 5_000);
}

/// The engines' queues fill up: first tokens come later and later although
/// little waits here. What waits there waits in the order of arrival, so a
/// flood that got in first is served first.
#[test]
fn no_more_is_started_than_gets_its_first_token_in_time() {
    let mut queue = queue(40, 1_000_000);
    for number in 0..120 {
        queue.offer(at(0), ask("flood", number, 600_000));
    }
    assert_eq!(queue.status()[0].running, 40);
    for number in 0..80 {
        let request = RequestId::new(format!("flood-{number}")).expect("valid");
        let now = at(1_000 + number * 400);
        queue.note_first_token(now, &request);
        queue.finish(now, &request, TokenCount::ZERO);
    }
    let slow = queue.status().remove(0);
    assert!(slow.window <= 4 && slow.running <= 8, "{slow:?}");
    for number in 80..120 {
        let request = RequestId::new(format!("flood-{number}")).expect("valid");
        for later in 0..8 {
            let number = number * 100 + later;
            queue.offer(at(100_000), ask("more", number, 600_000));
        }
        queue.note_first_token(at(100_000), &request);
        queue.finish(at(100_000), &request, TokenCount::ZERO);
    }
}

/// Deferrable work of one organisation waits while another floods with
/// interactive work. Its deadline is minutes away, but strict priority would
/// never let it start.
#[test]
fn a_flood_of_interactive_work_does_not_keep_others_deferrable_work_out() {
    let mut queue = queue(1, 1_000_000);
    queue.offer(at(0), ask("flood", 0, 600_000));
    let mut later = ask("history", 0, 600_000);
    later.priority = WorkPriority::Deferrable;
    queue.offer(at(0), later);
    for number in 1..100 {
        queue.offer(at(0), ask("flood", number, 600_000));
    }
    let order = run_one_by_one(&mut queue, "flood-0".to_string());
    let place = order.iter().position(|request| request == "history-0");
    // Behind by the handicap of 4,000 after about 40 requests of 100 tokens.
    assert!((35..=45).contains(&place.expect("it ran")), "{place:?}");
}
