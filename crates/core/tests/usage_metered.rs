//! Counting requests by usage window and summing the counts up.

use bluebell_core::{
    ids::{InstanceId, OrganisationId},
    records::UsageWindow,
    usage::{MeterWriter, UsageLedger, UsageMeter},
};

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).unwrap()
}

fn writer(name: &str, start: u64) -> MeterWriter {
    MeterWriter {
        instance: InstanceId::new(name).unwrap(),
        start,
    }
}

const WINDOW: UsageWindow = UsageWindow::new(100);

#[test]
fn counts_that_are_published_twice_count_once() {
    // The store executes an append whose answer is lost, and the entry publishes the
    // same counts again. The organisation must not pay twice.
    let mut meter = UsageMeter::new();
    let mut ledger = UsageLedger::new();
    for _ in 0..3 {
        meter.count(WINDOW, &organisation("magnolia"));
    }
    for _ in 0..2 {
        for (window, counts) in meter.unpublished() {
            ledger.record(window, writer("one", 1), counts);
        }
    }
    assert_eq!(ledger.sum(WINDOW)[&organisation("magnolia")], 3);
}

#[test]
fn counts_of_all_entries_and_of_all_their_starts_add_up() {
    // An entry is killed in the middle of a window and restarted: the counts that it
    // had published before are not replaced by its new ones.
    let mut ledger = UsageLedger::new();
    let counts = |count| [(organisation("magnolia"), count)].into_iter().collect();
    ledger.record(WINDOW, writer("one", 1), counts(5));
    ledger.record(WINDOW, writer("one", 2), counts(2));
    ledger.record(WINDOW, writer("two", 1), counts(1));
    ledger.record(WINDOW, writer("two", 1), counts(4));
    assert_eq!(ledger.sum(WINDOW)[&organisation("magnolia")], 11);
    assert!(ledger.sum(WINDOW.next()).is_empty());
}

#[test]
fn counts_after_a_publication_are_unpublished() {
    let mut meter = UsageMeter::new();
    meter.count(WINDOW, &organisation("magnolia"));
    let unpublished = meter.unpublished();
    // Another request starts to run while the append is in flight.
    meter.count(WINDOW, &organisation("magnolia"));
    meter.mark_published(&unpublished);
    assert_eq!(meter.unpublished().len(), 1);
    let unpublished = meter.unpublished();
    meter.mark_published(&unpublished);
    assert!(meter.unpublished().is_empty());
    assert!(meter.has_counted(WINDOW));
}

#[test]
fn a_window_is_complete_for_an_instance_that_published_after_its_end() {
    // An entry is partitioned from the store and continues to serve. A report without
    // its counts would miss all requests that it served.
    let one = InstanceId::new("one").unwrap();
    let mut ledger = UsageLedger::new();
    assert!(!ledger.is_complete(&one, WINDOW));
    ledger.note_reached(one.clone(), WINDOW);
    assert!(!ledger.is_complete(&one, WINDOW));
    ledger.note_reached(one.clone(), WINDOW.next());
    assert!(ledger.is_complete(&one, WINDOW));
    // A record that is read late does not revoke this.
    ledger.note_reached(one.clone(), WINDOW);
    assert!(ledger.is_complete(&one, WINDOW));
}

/// Guards against a report that doesn't wait for an instance that is known from other
/// instances only and has not published the end of the window yet.
#[test]
fn an_instance_that_published_recently_but_not_after_the_window_is_pending() {
    let one = InstanceId::new("one").unwrap();
    let mut ledger = UsageLedger::new();
    let window = WINDOW.next();
    let is_pending =
        |ledger: &UsageLedger| ledger.pending(window, window.next()).any(|id| *id == one);
    assert!(!is_pending(&ledger));
    ledger.note_reached(one.clone(), WINDOW);
    assert!(is_pending(&ledger));
    ledger.note_reached(one.clone(), WINDOW.next());
    assert!(is_pending(&ledger));
    ledger.note_reached(one.clone(), WINDOW.next().next());
    assert!(!is_pending(&ledger));
}

#[test]
fn old_windows_are_dropped() {
    let mut meter = UsageMeter::new();
    for number in 0..50 {
        meter.count(UsageWindow::new(number), &organisation("magnolia"));
    }
    assert!(meter.unpublished().len() <= 8);
    assert_eq!(meter.last_windows(3)[0].0, UsageWindow::new(49));
}

/// Guards against windows that wait for an instance while it is restarted in order: it has
/// published everything, and its reader may still publish an older message of it.
#[test]
fn an_instance_that_ended_in_order_is_not_pending_until_it_starts_again() {
    let next = WINDOW.next();
    let mut ledger = UsageLedger::new();
    let pending = |ledger: &UsageLedger| ledger.pending(next, next.next()).count();
    ledger.note_published(&writer("one", 1), WINDOW);
    assert_eq!(pending(&ledger), 1);
    ledger.note_ended(&writer("one", 1));
    assert_eq!(pending(&ledger), 0);
    ledger.note_published(&writer("one", 1), next);
    assert_eq!(pending(&ledger), 0);
    ledger.note_published(&writer("one", 2), next);
    assert_eq!(pending(&ledger), 1);
    // The end of the first start is read again.
    ledger.note_ended(&writer("one", 1));
    ledger.note_published(&writer("one", 2), next);
    assert_eq!(pending(&ledger), 1);
}

/// Guards against lower counts in a report: the store executes an unanswered append after a
/// later one of the same entry.
#[test]
fn counts_that_are_executed_late_do_not_replace_later_ones() {
    let mut ledger = UsageLedger::new();
    let counts = |count| [(organisation("magnolia"), count)].into_iter().collect();
    ledger.record(WINDOW, writer("one", 1), counts(9));
    ledger.record(WINDOW, writer("one", 1), counts(4));
    assert_eq!(ledger.sum(WINDOW)[&organisation("magnolia")], 9);
}

/// Guards against a window that is reported without the counts of a running instance: the record of
/// its earlier end is executed after it has started again.
#[test]
fn an_end_that_is_executed_late_does_not_concern_the_next_start() {
    let mut ledger = UsageLedger::new();
    ledger.note_published(&writer("one", 2), WINDOW);
    ledger.note_ended(&writer("one", 1));
    let pending: Vec<&InstanceId> = ledger.pending(WINDOW, WINDOW.next()).collect();
    assert_eq!(pending, [&writer("one", 2).instance]);
}
