//! How far the directory of an instance agrees with the store.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{DirectorySync, ReaderState, RelayedDirectory},
    ids::InstanceId,
    relay::{ConfirmationSource, MAX_FAILED_COPIES, StateSource, state_source},
};

const BOUND: TimeSpan = TimeSpan::from_millis(5_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn relayed(digest: u64, known_at: u64) -> RelayedDirectory {
    RelayedDirectory {
        reader: InstanceId::new("entry-1").unwrap(),
        digest,
        known_at: at(known_at),
        omissions: 0,
    }
}

/// A directory with digest 1, confirmed by its reader at 10,000, that has differed from the
/// reader's, which has digest 2, since 11,000.
fn differing() -> DirectorySync {
    let mut sync = DirectorySync::new();
    sync.note_relayed(at(10_200), 1, relayed(1, 10_000));
    sync.note_relayed(at(11_000), 1, relayed(2, 10_800));
    sync
}

/// Guards against copies that are refused for their age although they contain what is missing
/// here: all instances were confirmed for the last time before it changed.
#[test]
fn a_copy_with_the_digest_of_the_reader_is_taken() {
    let sync = differing();
    let wanted = sync.wanted_copy(at(11_100));
    assert_eq!(wanted.digest, Some(2));
    assert_eq!(wanted.max_age, Some(TimeSpan::from_millis(1_100)));
    assert_eq!(sync.copy_known_at(at(9_900), 2), Some(at(10_800)));
}

/// Guards against copies that are useless once the reader has changes that they lack.
#[test]
fn a_copy_with_an_earlier_digest_of_the_reader_is_taken() {
    let mut sync = differing();
    sync.note_relayed(at(11_250), 1, relayed(3, 11_050));
    assert_eq!(sync.copy_known_at(at(9_900), 2), Some(at(10_800)));
    assert_eq!(sync.copy_known_at(at(9_900), 3), Some(at(11_050)));
}

/// Guards against a copy that brings back endpoints which have left since it was confirmed.
#[test]
fn an_older_copy_is_refused() {
    let sync = differing();
    assert_eq!(sync.copy_known_at(at(9_900), 7), None);
    assert_eq!(sync.copy_known_at(at(10_000), 1), None);
    assert_eq!(sync.copy_known_at(at(10_100), 7), Some(at(10_100)));
}

/// Guards against reads of all registrations by all instances whose copies fail at the same time.
#[test]
fn failed_copies_lead_to_the_store_only_once_the_directory_is_too_old() {
    let mut sync = differing();
    sync.note_relayed(at(11_800), 1, relayed(2, 11_600));
    for _ in 0..2 * MAX_FAILED_COPIES {
        sync.note_failed_copy();
    }
    let reader = ReaderState {
        is_behind: false,
        silent_for: TimeSpan::ZERO,
    };
    let source = |now| {
        let state = sync.known_state(at(now), at(0), BOUND, reader);
        state_source(100, state)
    };
    assert_eq!(source(12_000), StateSource::Copy);
    assert_eq!(source(14_200), StateSource::Copy);
    assert_eq!(source(14_300), StateSource::Store);
}

/// Guards against a copy of everything for a difference that has ended by itself.
#[test]
fn a_difference_that_ends_needs_no_copy() {
    let mut sync = differing();
    assert!(sync.note_relayed(at(11_800), 1, relayed(2, 11_600)));
    assert!(!sync.note_relayed(at(11_900), 2, relayed(2, 11_700)));
    assert_eq!(sync.confirmed_at(), Some(at(11_700)));
}

/// Guards against waiting for changes that the reader does not relay, because they are too many,
/// and against a copy for each message after that.
#[test]
fn omitted_changes_are_copied_once() {
    let mut sync = DirectorySync::new();
    sync.note_relayed(at(10_200), 1, relayed(1, 10_000));
    let omitted = |digest, known_at, omissions| RelayedDirectory {
        omissions,
        ..relayed(digest, known_at)
    };
    assert!(sync.note_relayed(at(11_000), 1, omitted(2, 10_800, 1)));
    assert!(sync.note_relayed(at(11_250), 1, omitted(2, 11_050, 1)));
    sync.confirm(at(11_050), ConfirmationSource::Copy);
    assert!(!sync.note_relayed(at(11_500), 2, omitted(3, 11_300, 1)));
    assert!(sync.note_relayed(at(11_750), 2, omitted(4, 11_550, 2)));
    assert!(!sync.note_relayed(at(11_800), 4, omitted(4, 11_600, 2)));
    assert!(!sync.note_relayed(at(12_000), 4, omitted(5, 11_800, 2)));
}

/// Guards against a confirmation that makes the directory appear older than it is.
#[test]
fn confirmations_only_advance() {
    let mut sync = DirectorySync::new();
    sync.confirm(at(10_000), ConfirmationSource::Store);
    sync.confirm(at(9_000), ConfirmationSource::Copy);
    assert_eq!(sync.confirmed_at(), Some(at(10_000)));
    assert_eq!(
        sync.status(at(10_100)).source,
        Some(ConfirmationSource::Store)
    );
}
