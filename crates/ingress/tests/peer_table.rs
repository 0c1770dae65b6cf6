//! Which other instances an entry knows.

use bluebell_core::clock::ClockTime;
use bluebell_ingress::peers::PeerTable;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn a_new_entry_does_not_take_the_whole_budget_for_itself() {
    // Many entries start at the same moment, and each knows nobody yet. If each took
    // the whole extra of the budget of repeats, a crash of engines in the first
    // seconds would bring the service that many times what the operators allow.
    let mut table = PeerTable::new();
    assert!(!table.is_whole(at(60_000)));
    table.note_read(at(60_000));
    assert!(!table.is_whole(at(60_100)));
    assert!(table.is_whole(at(62_000)));
}
