//! Leaving endpoints: which marks count, and when an endpoint is empty.

use bluebell_core::{
    authority::{DutyGrant, LeaseState},
    clock::{ClockTime, TimeSpan},
    draining::{DrainMarks, DrainProgress, DrainState, DrainTiming, EntryProgress},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrderId},
    orders::{ChangeRun, ChangeStep, OrderRun, OrderState, OrderStep, OrderTiming},
    records::{
        DrainMarkRecord, DutyName, EngineRole, LeaseAction, LeaseRecord, MarkState, OrderBody,
    },
};

const MARK: LogOffset = LogOffset::new(10);

fn rule() -> DrainTiming {
    DrainTiming {
        unreachable_timeout: TimeSpan::from_secs(5),
        transit_time: TimeSpan::from_millis(500),
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn endpoint() -> EndpointId {
    EndpointId::new("engine-1").expect("the name is valid")
}

fn engines() -> DutyName {
    DutyName::Engines(FailureDomain::new("se-a").expect("the name is valid"))
}

fn entries(next: &[Option<u64>]) -> Vec<EntryProgress> {
    let entry = |(index, next): (usize, &Option<u64>)| EntryProgress {
        instance: InstanceId::new(format!("entry-{index}")).expect("the name is valid"),
        next: next.map(LogOffset::new),
    };
    next.iter().enumerate().map(entry).collect()
}

fn drain() -> DrainProgress {
    DrainProgress::new(endpoint(), MARK, at(0))
}

fn leases(duties: &[DutyName]) -> LeaseState {
    let mut leases = LeaseState::new();
    for (index, duty) in duties.iter().enumerate() {
        let record = LeaseRecord {
            duty: duty.clone(),
            holder: InstanceId::new("c1").expect("the name is valid"),
            action: LeaseAction::Claim,
            duration: TimeSpan::from_secs(6),
            supersedes: None,
        };
        leases.apply(at(0), LogOffset::new(index as u64), &record);
    }
    leases
}

fn mark(duty: DutyName, fence: u64, state: MarkState) -> DrainMarkRecord {
    DrainMarkRecord {
        endpoint: endpoint(),
        state,
        duty,
        fence: LogOffset::new(fence),
    }
}

/// One entry lags behind the log and still sends work to a leaving engine. An
/// order that goes out now would cut that work.
#[test]
fn an_entry_that_lags_behind_the_mark_is_waited_for_without_limit() {
    let mut drain = drain();
    drain.note_entries(at(60_000), &entries(&[Some(11), Some(10)]), &rule());
    drain.note_endpoint(at(60_000), 0);
    assert_eq!(drain.state(), DrainState::AwaitingEntries);
    drain.note_entries(at(61_000), &entries(&[Some(11), Some(11)]), &rule());
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
}

/// An entry was killed and never says how far it has read. Changes must go on
/// once it would have noticed the mark or is gone.
#[test]
fn an_entry_that_cannot_be_reached_is_waited_for_up_to_the_bound() {
    let mut drain = drain();
    let silent = entries(&[Some(11), None]);
    drain.note_entries(at(4_999), &silent, &rule());
    assert_eq!(drain.state(), DrainState::AwaitingEntries);
    drain.note_entries(at(5_000), &silent, &rule());
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
}

/// An engine says that it is empty while a request is on its way that an entry
/// sent just before it read the mark.
#[test]
fn an_answer_from_before_the_entries_were_told_does_not_count() {
    let mut drain = drain();
    drain.note_entries(at(1_000), &entries(&[Some(11)]), &rule());
    drain.note_endpoint(at(1_000), 0);
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
    drain.note_endpoint(at(1_500), 1);
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
    drain.note_endpoint(at(1_600), 0);
    assert_eq!(drain.state(), DrainState::Empty);
}

/// A holder that lost its authority marks an engine as staying that its successor
/// is draining: new work would arrive under the successor's order.
#[test]
fn a_mark_counts_only_under_the_fencing_number_in_force() {
    let leases = leases(&[engines()]);
    let mut marks = DrainMarks::new();
    marks.apply(
        at(0),
        MARK,
        &mark(engines(), 0, MarkState::Leaving),
        &leases,
    );
    let stale = mark(engines(), 9, MarkState::Staying);
    marks.apply(at(0), MARK.next(), &stale, &leases);
    assert!(marks.is_draining(&endpoint()));
}

/// The fleet's holder gives an endpoint work again whose role the engines' holder
/// is about to change: callers' work would be cut by the change.
#[test]
fn a_duty_does_not_clear_the_mark_of_another() {
    let leases = leases(&[engines(), DutyName::Fleet]);
    let mut marks = DrainMarks::new();
    marks.apply(
        at(0),
        MARK,
        &mark(engines(), 0, MarkState::Leaving),
        &leases,
    );
    let foreign = mark(DutyName::Fleet, 1, MarkState::Staying);
    marks.apply(at(0), MARK.next(), &foreign, &leases);
    assert!(marks.is_draining(&endpoint()));
}

/// An operator publishes a new role plan while callers' requests run. Neither the
/// intent nor the order may come before the engine is marked and empty.
#[test]
fn a_change_waits_until_the_engine_is_empty() {
    let (leases, orders) = (leases(&[engines()]), OrderState::new());
    let mut marks = DrainMarks::new();
    let grant = DutyGrant {
        duty: engines(),
        fence: LogOffset::new(0),
        claimed_at: at(0),
        until: at(100_000),
    };
    let body = OrderBody::SetRole {
        endpoint: endpoint(),
        role: EngineRole::Decode,
    };
    let order_rule = OrderTiming {
        timeout: TimeSpan::from_secs(1),
        retry_pause: TimeSpan::ZERO,
        takeover_delay: TimeSpan::from_secs(8),
    };
    let order = OrderId::new("o1").expect("the name is valid");
    let run = OrderRun::new(order, body, true, order_rule);
    let mut change = ChangeRun::new(endpoint(), run, rule());
    let step = change.next_step(at(0), Some(&grant), &marks, &orders);
    let ChangeStep::Mark(record) = step else {
        panic!("the engine is not marked first: {step:?}");
    };
    marks.apply(at(0), MARK, &record, &leases);
    let step = change.next_step(at(0), Some(&grant), &marks, &orders);
    assert_eq!(step, ChangeStep::PollProgress);
    change.note_entries(at(0), &entries(&[Some(11)]));
    change.note_endpoint(at(600), 3);
    let step = change.next_step(at(600), Some(&grant), &marks, &orders);
    assert_eq!(step, ChangeStep::PollProgress);
    change.note_endpoint(at(900), 0);
    let step = change.next_step(at(900), Some(&grant), &marks, &orders);
    assert!(
        matches!(step, ChangeStep::Order(OrderStep::Intend(_))),
        "{step:?}"
    );
}
