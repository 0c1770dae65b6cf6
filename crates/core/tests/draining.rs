//! Draining endpoints: which marks are valid, and when an endpoint is empty.

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

fn timing() -> DrainTiming {
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

/// One entry lags behind the log and still sends requests to a draining engine. An
/// order that is sent now would abort those requests.
#[test]
fn a_drain_waits_without_limit_for_an_entry_that_lags_behind_the_mark() {
    let mut drain = drain();
    drain.note_entries(at(60_000), &entries(&[Some(11), Some(10)]), &timing());
    drain.note_endpoint(at(60_000), 0);
    assert_eq!(drain.state(), DrainState::AwaitingEntries);
    drain.note_entries(at(61_000), &entries(&[Some(11), Some(11)]), &timing());
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
}

/// An entry was killed and never reports how far it has read. Changes must proceed
/// once a live entry would have detected the drain.
#[test]
fn a_drain_waits_for_an_unreachable_entry_up_to_the_timeout() {
    let mut drain = drain();
    let unreachable = entries(&[Some(11), None]);
    drain.note_entries(at(4_999), &unreachable, &timing());
    assert_eq!(drain.state(), DrainState::AwaitingEntries);
    drain.note_entries(at(5_000), &unreachable, &timing());
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
}

/// An engine reports that it is empty while a request is in transit that an entry
/// sent just before it read the mark.
#[test]
fn a_report_from_before_all_entries_applied_the_mark_is_ignored() {
    let mut drain = drain();
    drain.note_entries(at(1_000), &entries(&[Some(11)]), &timing());
    drain.note_endpoint(at(1_000), 0);
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
    drain.note_endpoint(at(1_500), 1);
    assert_eq!(drain.state(), DrainState::AwaitingCompletion);
    drain.note_endpoint(at(1_600), 0);
    assert_eq!(drain.state(), DrainState::Empty);
}

/// A holder that lost its lease clears the mark of an engine that its successor is
/// draining: new requests would arrive while the successor's order is executed.
#[test]
fn a_mark_is_valid_only_under_the_current_fencing_number() {
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

/// The holder of the `fleet` duty clears the mark of an endpoint whose role the
/// holder of the `engines` duty is about to change: the change would abort callers'
/// requests.
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
    let other_duty = mark(DutyName::Fleet, 1, MarkState::Staying);
    marks.apply(at(0), MARK.next(), &other_duty, &leases);
    assert!(marks.is_draining(&endpoint()));
}

/// An operator publishes a new role plan while callers' requests run. Neither the
/// intent nor the order may precede the mark and the empty engine.
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
    let order_timing = OrderTiming {
        timeout: TimeSpan::from_secs(1),
        retry_pause: TimeSpan::ZERO,
        takeover_delay: TimeSpan::from_secs(8),
    };
    let order = OrderId::new("o1").expect("the name is valid");
    let run = OrderRun::new(order, body, true, order_timing);
    let mut change = ChangeRun::new(endpoint(), run, timing());
    let step = change.next_step(at(0), Some(&grant), &marks, &orders);
    let ChangeStep::Mark(record) = step else {
        panic!("the first step does not mark the engine: {step:?}");
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
