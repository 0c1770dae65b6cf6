//! Each check finds a history that breaks its promise and passes one that keeps it.

use std::{collections::BTreeSet, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{KeyDigest, LogOffset},
    records::{CapacityKind, EngineRole, OrderBody, UsageLine, UsageWindow},
    units::TokenCount,
};
use bluebell_endpoint::{api::EngineOrder, reference::ReferenceAnswer};
use bluebell_load::caller::{ChatAnswer, ChatAsk, ChatEnd, ChatRefusal};
use bluebell_platform::api::{StartEndpoint, UsageReport};
use bluebell_testkit::histories::{
    Violation,
    callers::{self, CallerRecord, KeyWithdrawal},
    configuration::{self, VersionAccepted, VersionSeen},
    endpoints::{self, OwnedRequest},
    orders, usage,
};
use standin_engine::history::EngineEvent;
use standin_platform::history::{EndpointOrder, OrderSeen, ReportSeen};
use standin_service::history::ExecutionRecord;

const BOUND: TimeSpan = TimeSpan::from_secs(5);

fn at(secs: u64) -> ClockTime {
    ClockTime::from_millis(secs * 1_000)
}

/// Passes if `kept` breaks nothing and `broken` is found out.
fn tells_apart<History, Check>(check: Check, kept: &History, broken: &History)
where
    Check: Fn(&History) -> Vec<Violation>,
{
    assert_eq!(check(kept), []);
    assert_ne!(check(broken), []);
}

fn order(id: &str, fence: u64, role: EngineRole) -> EngineOrder {
    EngineOrder {
        order: id.parse().unwrap(),
        fence: LogOffset::new(fence),
        body: OrderBody::SetRole {
            endpoint: "engine-1".parse().unwrap(),
            role,
        },
    }
}

fn taken(order: EngineOrder, effect: bool, conflicting: bool, cut: u64) -> EngineEvent {
    EngineEvent::Order {
        at: at(1),
        order,
        effect,
        conflicting,
        cut,
    }
}

#[test]
fn conflicting_orders() {
    let first = || order("o1", 3, EngineRole::Prefill);
    let second = || order("o2", 3, EngineRole::Decode);
    let kept = vec![
        taken(first(), true, false, 0),
        taken(first(), false, false, 0),
    ];
    let overlapping = vec![
        taken(first(), true, false, 0),
        taken(second(), false, true, 0),
    ];
    tells_apart(
        |h: &Vec<_>| orders::one_order_at_a_time(h),
        &kept,
        &overlapping,
    );
    let other = order("o1", 3, EngineRole::Decode);
    let two_contents = vec![
        taken(first(), true, false, 0),
        taken(other, false, false, 0),
    ];
    tells_apart(
        |h: &Vec<_>| orders::one_order_at_a_time(h),
        &kept,
        &two_contents,
    );
}

#[test]
fn stale_orders() {
    let new = || taken(order("o2", 9, EngineRole::Decode), true, false, 0);
    let old = |effect| taken(order("o1", 3, EngineRole::Prefill), effect, false, 0);
    let (kept, broken) = (vec![new(), old(false)], vec![new(), old(true)]);
    tells_apart(
        |h: &Vec<_>| orders::no_stale_engine_effect(h),
        &kept,
        &broken,
    );
}

#[test]
fn planned_changes_that_cut() {
    let change = |cut| vec![taken(order("o1", 3, EngineRole::Decode), true, false, cut)];
    tells_apart(
        |h: &Vec<_>| orders::no_planned_cut(h),
        &change(0),
        &change(2),
    );
}

#[test]
fn two_fleet_holders() {
    let start = |sender: &str, fence| OrderSeen {
        at: at(1),
        sender: Some(sender.parse().unwrap()),
        order: EndpointOrder::Start(StartEndpoint {
            order: "o1".parse().unwrap(),
            fence: LogOffset::new(fence),
            failure_domain: "zone-a".parse().unwrap(),
            capacity: CapacityKind::Reserved,
            service: "assistant".parse().unwrap(),
        }),
        effect: true,
    };
    let kept = vec![start("c1", 3), start("c1", 3), start("c2", 7)];
    let check = |h: &Vec<_>| orders::one_fleet_holder(h);
    tells_apart(check, &kept, &vec![start("c2", 7), start("c1", 3)]);
    tells_apart(check, &kept, &vec![start("c1", 3), start("c2", 3)]);
}

#[test]
fn usage_reported_twice() {
    let report = |fence, reporter: &str, requests| ReportSeen {
        report: UsageReport {
            window: UsageWindow::new(4),
            fence: LogOffset::new(fence),
            reporter: reporter.parse().unwrap(),
            lines: vec![UsageLine {
                organisation: "acme".parse().unwrap(),
                service: "assistant".parse().unwrap(),
                requests,
                prompt_tokens: TokenCount::new(10),
                output_tokens: TokenCount::new(10),
            }],
        },
        accepted: true,
    };
    let kept = vec![report(3, "c1", 5), report(7, "c2", 5)];
    let check = |h: &Vec<_>| usage::one_usage_report(h);
    tells_apart(check, &kept, &vec![report(3, "c1", 5), report(7, "c2", 6)]);
    tells_apart(check, &kept, &vec![report(3, "c1", 5), report(3, "c2", 5)]);
    tells_apart(check, &kept, &vec![report(7, "c2", 5), report(3, "c1", 5)]);
}

fn ask() -> ChatAsk {
    ChatAsk::new("127.0.0.1:1", "key-1", "assistant", "where to len=6")
}

fn answer(tokens: Vec<String>, end: ChatEnd) -> CallerRecord {
    CallerRecord {
        at: at(100),
        ask: ask(),
        answer: ChatAnswer {
            request: Some("r-1".to_string()),
            retry_after: false,
            tokens,
            first_token: Some(Duration::from_millis(3)),
            gaps: Vec::new(),
            end,
        },
    }
}

fn tokens(count: u64) -> Vec<String> {
    let reference = ReferenceAnswer::new(&ask().prompt(), ask().max_tokens);
    (0..count)
        .map(|position| reference.token(position))
        .collect()
}

fn whole() -> ChatEnd {
    ChatEnd::Whole {
        finish: "stop".to_string(),
    }
}

fn refused(ran: &str) -> ChatEnd {
    ChatEnd::Refused(ChatRefusal {
        code: "endpoint_lost".to_string(),
        ran: ran.to_string(),
        request: "r-1".to_string(),
        ..ChatRefusal::default()
    })
}

#[test]
fn answers_that_are_not_the_whole_answer() {
    let kept = vec![
        answer(tokens(6), whole()),
        answer(tokens(2), refused("unknown")),
    ];
    let check = |h: &Vec<_>| callers::whole_answers(h);
    let doubled = [tokens(1), tokens(6)].concat();
    let swapped: Vec<String> = tokens(6).into_iter().rev().collect();
    let too_long = [tokens(6), vec!["abcdef ".to_string()]].concat();
    for wrong in [tokens(5), doubled, swapped, too_long, Vec::new()] {
        tells_apart(check, &kept, &vec![answer(wrong, whole())]);
    }
}

#[test]
fn refusals_that_lie() {
    let executed = BTreeSet::from(["r-1".to_string()]);
    let check = |h: &Vec<_>| callers::true_refusals(h, &executed);
    let kept = vec![answer(Vec::new(), refused("unknown"))];
    tells_apart(check, &kept, &vec![answer(Vec::new(), refused("not_run"))]);
    let none = BTreeSet::new();
    let check = |h: &Vec<_>| callers::true_refusals(h, &none);
    let kept = vec![answer(Vec::new(), refused("not_run"))];
    tells_apart(check, &kept, &vec![answer(tokens(1), refused("not_run"))]);
}

#[test]
fn answers_cut_by_a_shutdown() {
    let kept = vec![
        answer(tokens(6), whole()),
        answer(Vec::new(), refused("not_run")),
    ];
    let check = |h: &Vec<_>| callers::no_shutdown_cut(h);
    let cut = ChatEnd::Cut("connection reset".to_string());
    tells_apart(check, &kept, &vec![answer(tokens(2), cut)]);
    tells_apart(check, &kept, &vec![answer(tokens(2), refused("unknown"))]);
}

#[test]
fn withdrawn_keys_that_still_work() {
    let withdrawn = |secs| {
        let digest = KeyDigest::with_key("key-1");
        vec![KeyWithdrawal {
            digest,
            at: at(secs),
        }]
    };
    let records = vec![answer(tokens(6), whole())];
    let check = |h: &Vec<_>| callers::withdrawn_keys_admit_nobody(&records, h, BOUND);
    tells_apart(check, &withdrawn(97), &withdrawn(90));
}

fn execution(key: Option<&str>, request: &str) -> ExecutionRecord {
    ExecutionRecord {
        at: at(1),
        method: "POST".to_string(),
        path: "/unlock/4".to_string(),
        idempotency_key: key.map(String::from),
        request: Some(request.to_string()),
        body: String::new(),
        headers: Vec::new(),
    }
}

#[test]
fn actions_that_run_twice() {
    let check = |h: &Vec<_>| endpoints::at_most_once(h);
    let kept = vec![execution(Some("k1"), "r-1"), execution(Some("k2"), "r-2")];
    tells_apart(
        check,
        &kept,
        &vec![execution(Some("k1"), "r-1"), execution(Some("k1"), "r-2")],
    );
    tells_apart(
        check,
        &kept,
        &vec![execution(None, "r-1"), execution(None, "r-1")],
    );
}

#[test]
fn keys_that_endpoints_see() {
    let check = |h: &Vec<String>| endpoints::no_key_seen(&["key-1"], h);
    let kept = vec!["x-request-id: r-1".to_string()];
    tells_apart(
        check,
        &kept,
        &vec!["authorization: Bearer key-1".to_string()],
    );
}

#[test]
fn requests_that_run_for_others() {
    let owned = |organisation: &str| OwnedRequest {
        request: "r-1".to_string(),
        organisation: organisation.to_string(),
    };
    let sent = vec![owned("acme")];
    let check = |h: &Vec<_>| endpoints::own_organisation(h, &sent);
    tells_apart(check, &vec![owned("acme")], &vec![owned("other")]);
}

#[test]
fn work_at_a_leaving_endpoint() {
    let accepted = |secs| {
        vec![EngineEvent::Accepted {
            at: at(secs),
            request: "r-1".parse().unwrap(),
            attempt: 1,
            model: "small-chat".parse().unwrap(),
            prompt: String::new(),
            delivered: 0,
            max_tokens: TokenCount::new(1),
            headers: Vec::new(),
        }]
    };
    let check = |h: &Vec<_>| endpoints::leaving_gets_no_work(h, at(10), BOUND);
    tells_apart(check, &accepted(15), &accepted(16));
}

#[test]
fn configurations_that_revert_or_come_late() {
    let seen = |secs, version: u64| VersionSeen {
        process: "entry-1".to_string(),
        at: at(secs),
        version: Some(LogOffset::new(version)),
    };
    let accepted = [VersionAccepted {
        at: at(10),
        version: LogOffset::new(7),
    }];
    let check = |h: &Vec<_>| configuration::never_reverts(h, &accepted, BOUND);
    let kept = vec![seen(11, 3), seen(12, 7), seen(20, 7)];
    tells_apart(check, &kept, &vec![seen(11, 7), seen(12, 3)]);
    tells_apart(check, &kept, &vec![seen(11, 3), seen(20, 3)]);
}
