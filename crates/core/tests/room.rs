//! Requests that wait for room at the endpoints of their service.

use bluebell_core::{
    admission::RefuseReason,
    clock::{ClockTime, TimeSpan},
    ids::{OrganisationId, RequestFingerprint, RequestId, ServiceName},
    room::{RoomDecision, RoomEstimate, RoomQueue, RoomRequest},
};

const FULL: RoomEstimate = RoomEstimate {
    slots: 1,
    instances: 1,
    service_time: TimeSpan::from_millis(50),
    room_in: TimeSpan::from_millis(100),
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("till").unwrap()
}

fn id(name: &str) -> RequestId {
    RequestId::new(name).unwrap()
}

fn request(name: &str, organisation: &str, rank: u8, deadline: u64) -> RoomRequest {
    let organisation = OrganisationId::new(organisation).unwrap();
    RoomRequest {
        request: id(name),
        fingerprint: RequestFingerprint::with_request(Some(&organisation), name, b""),
        organisation,
        service: service(),
        rank,
        deadline: at(deadline),
    }
}

fn full_queue() -> RoomQueue {
    let mut queue = RoomQueue::new().with_seed(1);
    queue.note_full(at(0), &service(), FULL);
    queue
}

fn starts(decisions: &[RoomDecision]) -> Vec<String> {
    let started = decisions.iter().filter_map(|decision| match decision {
        RoomDecision::Start(request) => Some(request.to_string()),
        RoomDecision::Refuse { .. } => None,
    });
    started.collect()
}

fn retry_after(decisions: &[RoomDecision]) -> Option<TimeSpan> {
    decisions.iter().find_map(|decision| match decision {
        RoomDecision::Refuse { retry_after, .. } => Some(*retry_after),
        RoomDecision::Start(_) => None,
    })
}

/// Lets the waiting requests through one after the other, each of which takes 10 ms.
fn order(queue: &mut RoomQueue, from: u64) -> Vec<String> {
    let mut started = Vec::new();
    let mut decisions = queue.advance(at(from));
    for turn in 1..20 {
        let now = starts(&decisions);
        assert!(now.len() <= 1, "more than the slots: {now:?}");
        let Some(name) = now.first() else {
            break;
        };
        started.push(name.clone());
        decisions = queue.finish(at(from + turn * 10), &id(name));
    }
    started
}

#[test]
fn requests_wait_until_room_comes() {
    let mut queue = full_queue();
    assert_eq!(queue.offer(at(0), request("one", "a", 0, 5_000)), []);
    assert_eq!(queue.advance(at(99)), []);
    assert_eq!(queue.next_wake(), Some(at(100)));
    assert_eq!(starts(&queue.advance(at(100))), ["one"]);
    queue.finish(at(150), &id("one"));
    assert!(!queue.is_contended(at(150), &service()));
}

/// Guards against a task that is woken time and again while all slots are taken.
#[test]
fn nothing_is_due_while_the_slots_are_taken() {
    let mut queue = full_queue();
    queue.offer(at(0), request("one", "a", 0, 5_000));
    queue.offer(at(0), request("two", "a", 0, 6_000));
    assert_eq!(starts(&queue.advance(at(100))), ["one"]);
    assert!(queue.next_wake() > Some(at(100)), "{:?}", queue.next_wake());
}

/// Guards against a flood of less urgent requests that came first, and against an organisation
/// that has many requests: rank first, then the organisation served least, then the deadline.
#[test]
fn rank_then_fair_share_then_deadline() {
    let mut queue = full_queue();
    for (name, organisation, rank, deadline) in [
        ("late-rank", "c", 1, 2_000),
        ("a1", "a", 0, 5_000),
        ("a2", "a", 0, 4_000),
        ("a3", "a", 0, 6_000),
        ("b1", "b", 0, 9_000),
    ] {
        queue.offer(at(0), request(name, organisation, rank, deadline));
    }
    let order = order(&mut queue, 100);
    assert_eq!(order, ["a2", "b1", "a1", "a3", "late-rank"]);
}

/// Guards against callers that were sent away once and find new ones before them, and against
/// callers that come back before their time to be first.
#[test]
fn returning_requests_go_before_new_ones_of_their_rank() {
    let mut queue = full_queue();
    for name in ["back", "hasty"] {
        let refused = queue.offer(at(0), request(name, "a", 1, 20));
        assert!(retry_after(&refused).is_some(), "{refused:?}");
    }
    queue.offer(at(1), request("hasty", "a", 1, 25_000));
    queue.note_full(at(3_000), &service(), FULL);
    queue.finish(at(3_000), &id("hasty"));
    for (name, rank) in [("new", 1), ("back", 1), ("urgent", 0)] {
        queue.offer(at(3_000), request(name, "a", rank, 20_000));
    }
    assert_eq!(order(&mut queue, 3_100), ["urgent", "back", "new"]);
    let mut queue = full_queue();
    queue.offer(at(0), request("hasty", "a", 1, 20));
    queue.offer(at(1), request("new", "a", 1, 9_000));
    queue.offer(at(2), request("hasty", "a", 1, 9_500));
    assert_eq!(order(&mut queue, 100), ["new", "hasty"]);
}

/// Guards against requests that are held until their deadline though they can't be served, and
/// against refused callers that return together.
#[test]
fn requests_that_would_start_too_late_are_refused_at_once_and_spread() {
    let mut queue = full_queue();
    let mut delays = Vec::new();
    for number in 0..60 {
        let name = format!("r{number}");
        let decisions = queue.offer(at(0), request(&name, &name, 0, 1_000));
        delays.extend(retry_after(&decisions).map(|span| span.as_millis()));
    }
    // 20 requests a second find room from 100 ms on, so some 17 can still be served.
    assert!((35..=50).contains(&delays.len()), "{delays:?}");
    for window in 0..20 {
        let (from, to) = (window * 100, window * 100 + 100);
        let returning = delays.iter().filter(|delay| (from..to).contains(*delay));
        assert!(returning.count() <= 5, "{delays:?}");
    }
}

/// Guards against requests that wait for endpoints that have ended.
#[test]
fn requests_are_refused_at_once_when_the_last_endpoint_is_lost() {
    let mut queue = full_queue();
    queue.offer(at(0), request("one", "a", 0, 5_000));
    let lost = RoomEstimate { slots: 0, ..FULL };
    let decisions = queue.set_room(at(10), &service(), lost);
    let [
        RoomDecision::Refuse {
            request, reason, ..
        },
    ] = decisions.as_slice()
    else {
        panic!("{decisions:?}");
    };
    assert_eq!((request, reason), (&id("one"), &RefuseReason::NoCapacity));
    assert!(!queue.knows(&id("one")));
}

/// Guards against knowledge that was too old: a request that was let through and found no room
/// waits again, is not charged, and keeps its place before new ones.
#[test]
fn a_request_that_found_no_room_waits_again() {
    let mut queue = full_queue();
    queue.offer(at(0), request("one", "a", 0, 5_000));
    assert_eq!(starts(&queue.advance(at(100))), ["one"]);
    queue.offer(at(110), request("two", "b", 0, 4_000));
    queue.note_full(at(120), &service(), FULL);
    assert_eq!(queue.requeue(at(120), &id("one")), []);
    assert_eq!(order(&mut queue, 220), ["one", "two"]);
}

/// Guards against a slot that is kept for a caller that has left.
#[test]
fn a_caller_that_leaves_makes_room() {
    let mut queue = full_queue();
    queue.offer(at(0), request("one", "a", 0, 5_000));
    queue.offer(at(0), request("two", "a", 0, 6_000));
    queue.finish(at(10), &id("one"));
    assert_eq!(queue.waiting().values().sum::<usize>(), 1);
    assert_eq!(order(&mut queue, 100), ["two"]);
}
