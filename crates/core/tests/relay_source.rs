//! From where the instances of a failure domain take the state of the store.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    relay::{
        DIRECT_READERS, KnownState, MAX_CONFIGURATION_READ_DELAY, MAX_FAILED_COPIES, StateSource,
        StoreReads, copy_timeout, is_domain_caller, is_read_deferred, is_relaying, parent_rank,
        read_wait, state_source,
    },
};

const AGE_LIMIT: TimeSpan = TimeSpan::from_millis(1_300);

fn state(age_ms: u64, is_incomplete: bool) -> KnownState {
    KnownState {
        age: TimeSpan::from_millis(age_ms),
        age_limit: AGE_LIMIT,
        max_read_delay: TimeSpan::MAX,
        is_incomplete,
        superseded_for: TimeSpan::ZERO,
        is_reader_behind: false,
        silent_for: TimeSpan::ZERO,
        failed_copies: 0,
    }
}

/// The number of reads of the store while `instances` start at once and each copy takes
/// `copy_ms`, up to the time at which all have the state, in ms.
fn start(instances: usize, copy_ms: u64) -> (usize, u64) {
    let mut ready_at: BTreeMap<usize, u64> = BTreeMap::new();
    let mut reads = 0;
    for now in (0..60_000).step_by(10) {
        for rank in 0..instances {
            if ready_at.contains_key(&rank) {
                continue;
            }
            match state_source(rank, state(now, true)) {
                StateSource::Store => {
                    reads += 1;
                    ready_at.insert(rank, now + copy_ms);
                }
                StateSource::Copy => {
                    let parent = parent_rank(rank).unwrap();
                    if ready_at.get(&parent).is_some_and(|at| *at <= now) {
                        ready_at.insert(rank, now + copy_ms);
                    }
                }
                StateSource::Relay => panic!("there is no state to relay yet"),
            }
        }
        if ready_at.len() == instances {
            return (reads, *ready_at.values().max().unwrap());
        }
    }
    panic!("not all instances got the state");
}

/// Guards against reads of the store that grow with the instances that start at once.
#[test]
fn reads_at_a_start_do_not_grow_with_the_failure_domain() {
    for instances in [9, 60, 200, 400] {
        let (reads, _) = start(instances, 300);
        assert_eq!(reads, DIRECT_READERS, "{instances} instances");
    }
}

/// Guards against a start that takes longer in proportion to the failure domain.
#[test]
fn the_time_of_a_start_grows_with_the_levels_of_the_tree() {
    let (_, small) = start(60, 300);
    let (_, large) = start(400, 300);
    assert!(large <= 2 * small, "{large} ms after {small} ms");
}

/// Guards against a small failure domain that waits for copies although it can read.
#[test]
fn a_small_failure_domain_reads_the_store_at_once() {
    for rank in 0..DIRECT_READERS {
        assert_eq!(state_source(rank, state(0, true)), StateSource::Store);
        assert_eq!(state_source(rank, state(1_300, false)), StateSource::Store);
        assert_eq!(state_source(rank, state(1_299, false)), StateSource::Relay);
    }
}

/// Guards against a storm of reads when the reader is turned away by the store and the
/// relayed state is too old at all instances in the same moment.
#[test]
fn few_instances_read_the_store_when_the_relayed_state_gets_old() {
    let readers = |age_ms: u64| {
        let ranks = 0..200;
        let sources = ranks.map(|rank| state_source(rank, state(age_ms, false)));
        sources
            .filter(|source| *source == StateSource::Store)
            .count()
    };
    assert_eq!(readers(1_300), DIRECT_READERS);
    assert_eq!(readers(1_700), 2 * DIRECT_READERS);
}

/// Guards against a new configuration that reaches a failure domain only when the state of
/// its reader, which the store turns away, is too old for use.
#[test]
fn a_reader_that_is_turned_away_is_replaced_before_its_state_is_too_old() {
    let behind = KnownState {
        is_reader_behind: true,
        ..state(900, false)
    };
    let ranks = 0..200;
    let sources = ranks.map(|rank| state_source(rank, behind));
    let readers = sources.filter(|source| *source == StateSource::Store);
    assert_eq!(readers.count(), DIRECT_READERS);
}

/// Guards against an instance that never gets the state because none of the instances that
/// it knows is alive.
#[test]
fn an_instance_without_copies_reads_the_store_in_the_end() {
    assert_eq!(state_source(150, state(20_000, true)), StateSource::Store);
    let unanswered = KnownState {
        failed_copies: 4,
        ..state(100, true)
    };
    assert_eq!(state_source(150, unanswered), StateSource::Store);
}

/// Guards against an instance that hands the state on to many others over a narrow link.
#[test]
fn no_instance_hands_on_more_copies_than_the_fan_out() {
    let mut children: BTreeMap<usize, usize> = BTreeMap::new();
    for rank in 0..1_000 {
        if let Some(parent) = parent_rank(rank) {
            assert!(parent < rank);
            *children.entry(parent).or_default() += 1;
        }
    }
    assert!(children.values().all(|count| *count <= DIRECT_READERS));
}

/// Guards against following a reader or trying copies past the rollout bound of a version that
/// has been advertised.
#[test]
fn an_instance_that_knows_of_a_newer_version_reads_it_in_time() {
    let superseded_for = |ms| KnownState {
        superseded_for: TimeSpan::from_millis(ms),
        ..state(100, false)
    };
    for rank in [1, 20, 190] {
        assert_eq!(state_source(rank, superseded_for(600)), StateSource::Relay);
        assert_eq!(state_source(rank, superseded_for(700)), StateSource::Store);
        let timeout = copy_timeout(rank, superseded_for(600));
        assert!(timeout <= TimeSpan::from_millis(100), "{timeout}");
    }
}

/// Guards against copy attempts that delay the read of the store.
#[test]
fn no_copy_is_waited_for_past_the_age_at_which_the_store_is_read() {
    for rank in [8, 30, 190] {
        for age_ms in (0..1_700).step_by(100) {
            let known = KnownState {
                max_read_delay: MAX_CONFIGURATION_READ_DELAY,
                ..state(age_ms, true)
            };
            let end = known.age + copy_timeout(rank, known);
            assert!(end <= AGE_LIMIT + MAX_CONFIGURATION_READ_DELAY, "{end}");
            let timed_out = KnownState {
                age: end,
                failed_copies: MAX_FAILED_COPIES,
                ..known
            };
            assert_eq!(state_source(rank, timed_out), StateSource::Store);
        }
    }
}

/// Guards against a long poll where the state has to be confirmed at once.
#[test]
fn a_read_that_confirms_an_old_state_is_not_held() {
    assert!(read_wait(TimeSpan::ZERO, AGE_LIMIT) > TimeSpan::ZERO);
    assert_eq!(read_wait(AGE_LIMIT, AGE_LIMIT), TimeSpan::ZERO);
}

/// Guards against a failure domain without relayed state until its reader no longer counts as alive,
/// and against several instances that take its place at once.
#[test]
fn a_silent_reader_is_replaced_by_one_instance_after_the_other() {
    let relaying = |silent_ms| {
        let silent = KnownState {
            silent_for: TimeSpan::from_millis(silent_ms),
            ..state(500, false)
        };
        let ranks = 1..200;
        ranks.filter(|rank| is_relaying(*rank, silent)).count()
    };
    assert_eq!(relaying(900), 0);
    assert_eq!(relaying(1_000), 1);
    assert_eq!(relaying(1_250), 2);
    assert_eq!(relaying(60_000), DIRECT_READERS - 1);
}

/// Guards against relay messages of instances that read the store because they lack something:
/// they would repeat to all others what these know.
#[test]
fn an_instance_that_only_completes_its_own_state_does_not_relay() {
    for rank in 1..DIRECT_READERS {
        assert_eq!(state_source(rank, state(500, true)), StateSource::Store);
        assert!(!is_relaying(rank, state(500, true)));
        assert!(is_relaying(rank, state(1_300, true)));
    }
}

/// Guards against calls of all instances of a failure domain, each for all of it, in an outage of
/// the store, when the state of all is old.
#[test]
fn one_instance_calls_for_its_failure_domain_in_an_outage() {
    for age_ms in [0, 1_500, 5_000, 20_000] {
        let outage = KnownState {
            is_reader_behind: age_ms > 1_500,
            ..state(age_ms, false)
        };
        let callers = (0..30).filter(|rank| is_domain_caller(*rank, outage, false));
        assert_eq!(callers.collect::<Vec<_>>(), [0], "state of {age_ms} ms");
    }
}

/// Guards against a failure domain without a caller, as the store turns only the first away.
#[test]
fn others_call_if_the_store_turns_only_the_first_away() {
    let behind = KnownState {
        is_reader_behind: true,
        ..state(2_000, false)
    };
    let callers = (1..30).filter(|rank| is_domain_caller(*rank, behind, true));
    assert!(callers.count() >= 1);
}

/// Guards against reads of the endpoints that wait although the store may be back, or that all
/// instances of a failure domain go on to attempt in an outage.
#[test]
fn reads_of_the_endpoints_are_deferred_while_the_configuration_can_not_be_read() {
    let at = ClockTime::from_millis;
    let mut reads = StoreReads::new();
    assert!(!is_read_deferred(5, reads, at(0)));
    reads.note_sent(at(0), TimeSpan::from_millis(700));
    reads.note_failure(at(10));
    assert!(is_read_deferred(5, reads, at(300)));
    assert!(!is_read_deferred(0, reads, at(300)));
    // The next read of the configuration is overdue: nobody looks whether the store is back.
    assert!(!is_read_deferred(5, reads, at(1_000)));
    reads.note_sent(at(400), TimeSpan::from_millis(700));
    reads.note_answer();
    assert!(!is_read_deferred(5, reads, at(410)));
}
