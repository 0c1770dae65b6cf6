//! Validity of intents and outcomes, and the steps of an order run.

use bluebell_core::{
    authority::{DutyGrant, LeaseState},
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, ModelName, OrderId},
    orders::{
        EngineView, ObservedEffect, OrderRun, OrderState, OrderStep, OrderTiming, SendAnswer,
    },
    records::{
        DutyName, EngineRole, IntentRecord, LeaseAction, LeaseRecord, OrderBody, OrderOutcome,
        OutcomeRecord,
    },
};

const NOW: ClockTime = ClockTime::from_millis(50_000);

fn engines() -> DutyName {
    DutyName::Engines(FailureDomain::new("se-a").expect("the name is valid"))
}

fn endpoint() -> EndpointId {
    EndpointId::new("engine-1").expect("the name is valid")
}

fn order(name: &str) -> OrderId {
    OrderId::new(name).expect("the name is valid")
}

fn set_role(role: EngineRole) -> OrderBody {
    let endpoint = endpoint();
    OrderBody::SetRole { endpoint, role }
}

fn lease(leases: &mut LeaseState, duty: DutyName, offset: u64, supersedes: Option<u64>) {
    let record = LeaseRecord {
        duty,
        holder: InstanceId::new(format!("c{offset}")).expect("the name is valid"),
        action: LeaseAction::Claim,
        duration: TimeSpan::from_secs(6),
        supersedes: supersedes.map(LogOffset::new),
    };
    leases.apply(NOW, LogOffset::new(offset), &record);
}

fn intent(duty: DutyName, fence: u64, name: &str, body: OrderBody) -> IntentRecord {
    IntentRecord {
        duty,
        fence: LogOffset::new(fence),
        order: order(name),
        body,
    }
}

fn grant(fence: u64, claimed_at: ClockTime) -> DutyGrant {
    DutyGrant {
        duty: engines(),
        fence: LogOffset::new(fence),
        claimed_at,
        until: NOW + TimeSpan::from_secs(6),
    }
}

fn timing() -> OrderTiming {
    OrderTiming {
        timeout: TimeSpan::from_secs(1),
        retry_pause: TimeSpan::ZERO,
        takeover_delay: TimeSpan::from_secs(8),
    }
}

fn open_run(orders: &mut OrderState, leases: &LeaseState, fence: u64) -> OrderRun {
    let body = set_role(EngineRole::Prefill);
    let record = intent(engines(), fence, "o1", body.clone());
    orders.intend(NOW, LogOffset::new(90), &record, leases);
    OrderRun::new(order("o1"), body, true, timing())
}

fn engine_state(incarnation: u64, last_order: Option<&str>) -> ObservedEffect {
    ObservedEffect::Engine(EngineView {
        incarnation,
        role: EngineRole::Mixed,
        model: ModelName::new("m").expect("the name is valid"),
        changing: false,
        last_order: last_order.map(order),
    })
}

/// A holder is frozen while its intent is in transit to the log, and a successor
/// takes the duty over. If the late intent were valid, the successor would find an
/// open order that the current holder did not decide on.
#[test]
fn an_intent_of_a_superseded_holder_is_ignored() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    lease(&mut leases, engines(), 2, Some(1));
    let late = intent(engines(), 1, "late", set_role(EngineRole::Prefill));
    orders.intend(NOW, LogOffset::new(3), &late, &leases);
    assert_eq!(orders.open_orders().count(), 0);
}

/// The holder of the `fleet` duty stops an engine while the holder of the `engines`
/// duty changes its role. If both orders were open, they would conflict.
#[test]
fn one_engine_has_one_open_order_across_duties() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    lease(&mut leases, DutyName::Fleet, 2, None);
    let role = intent(engines(), 1, "role", set_role(EngineRole::Prefill));
    let endpoint = endpoint();
    let stop = OrderBody::StopEndpoint { endpoint };
    let stop = intent(DutyName::Fleet, 2, "stop", stop);
    orders.intend(NOW, LogOffset::new(3), &role, &leases);
    orders.intend(NOW, LogOffset::new(4), &stop, &leases);
    let open: Vec<&OrderId> = orders.open_orders().map(|(order, _)| order).collect();
    assert_eq!(open, [&order("role")]);
}

/// A holder that lost its lease settles an order that its successor is still
/// executing. If this outcome were valid, a different order could start too early.
#[test]
fn only_the_current_holder_settles_an_order() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    open_run(&mut orders, &leases, 1);
    lease(&mut leases, engines(), 2, Some(1));
    let mut settle = |fence: u64| {
        let record = OutcomeRecord {
            duty: engines(),
            fence: LogOffset::new(fence),
            order: order("o1"),
            outcome: OrderOutcome::Applied,
        };
        orders.settle(NOW, LogOffset::new(5), &record, &leases)
    };
    assert_eq!(settle(1), None);
    assert!(settle(2).is_some());
}

/// The answer to an order is lost after it took effect. Sending it again under
/// another id would make the engine unavailable to callers a second time.
#[test]
fn after_a_lost_answer_the_receiver_is_observed_before_the_next_send() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    let mut run = open_run(&mut orders, &leases, 1);
    let grant = grant(1, ClockTime::default());
    run.note_observation(NOW, &engine_state(1, None));
    assert_eq!(run.next_step(NOW, Some(&grant), &orders), OrderStep::Send);
    run.note_answer(NOW, SendAnswer::Unknown);
    assert_eq!(
        run.next_step(NOW, Some(&grant), &orders),
        OrderStep::Observe
    );
    run.note_observation(NOW, &engine_state(1, Some("o1")));
    let step = run.next_step(NOW, Some(&grant), &orders);
    assert!(matches!(step, OrderStep::Settle { .. }), "{step:?}");
}

/// An engine crashes during a change and restarts in its former state. The order
/// is abandoned: the next plan may assign a different role to the engine.
#[test]
fn an_order_is_abandoned_when_the_engine_restarts_during_it() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    let mut run = open_run(&mut orders, &leases, 1);
    run.note_observation(NOW, &engine_state(1, None));
    run.note_answer(NOW, SendAnswer::Accepted);
    run.note_observation(NOW, &engine_state(2, None));
    let step = run.next_step(NOW, Some(&grant(1, ClockTime::default())), &orders);
    let OrderStep::Settle { record, .. } = step else {
        panic!("the order was not settled: {step:?}");
    };
    assert_eq!(record.outcome, OrderOutcome::Abandoned);
}

/// A successor finds its predecessor's order open: it takes the order over under
/// the same id and observes the receiver before it sends.
#[test]
fn a_successor_finishes_the_open_order_of_its_predecessor() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    let run = open_run(&mut orders, &leases, 1);
    lease(&mut leases, engines(), 2, Some(1));
    let grant = grant(2, NOW);
    let OrderStep::Intend(taken_over) = run.next_step(NOW, Some(&grant), &orders) else {
        panic!("the order was not taken over");
    };
    assert_eq!(taken_over.order, order("o1"));
    orders.intend(NOW, LogOffset::new(91), &taken_over, &leases);
    assert_eq!(
        run.next_step(NOW, Some(&grant), &orders),
        OrderStep::Observe
    );
}

/// An engine ignores fencing numbers, and an order of the predecessor may still
/// arrive. A new order would be undone by the late one.
#[test]
fn a_new_order_to_an_engine_without_fencing_waits_until_late_orders_have_timed_out() {
    let orders = OrderState::new();
    let body = set_role(EngineRole::Prefill);
    let run = OrderRun::new(order("o1"), body, false, timing());
    let grant = grant(1, NOW);
    let step_at = |at: ClockTime| run.next_step(at, Some(&grant), &orders);
    let early = step_at(NOW + TimeSpan::from_millis(7_999));
    assert!(matches!(early, OrderStep::Wait(_)), "{early:?}");
    let late = step_at(NOW + TimeSpan::from_secs(8));
    assert!(matches!(late, OrderStep::Intend(_)), "{late:?}");
}

/// The lease ends before the order would time out: its sender might no longer hold
/// the duty when the order arrives.
#[test]
fn an_order_is_not_sent_if_the_lease_may_end_in_transit() {
    let (mut leases, mut orders) = (LeaseState::new(), OrderState::new());
    lease(&mut leases, engines(), 1, None);
    let mut run = open_run(&mut orders, &leases, 1);
    run.note_observation(NOW, &engine_state(1, None));
    let grant = grant(1, ClockTime::default());
    let late = NOW + TimeSpan::from_secs(5);
    let step = run.next_step(late, Some(&grant), &orders);
    assert!(matches!(step, OrderStep::Wait(_)), "{step:?}");
}
