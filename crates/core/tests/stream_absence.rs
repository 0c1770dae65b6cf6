//! What shows that a stream was not recorded, and as of when the versions are known.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    streams::{RecordPeer, VersionHistory, is_unrecorded},
};

fn peer(name: &str, domain: &str, address: u32) -> RecordPeer<u32> {
    RecordPeer {
        instance: InstanceId::new(name).unwrap(),
        domain: FailureDomain::new(domain).unwrap(),
        start: 1,
        address,
    }
}

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    let names = names.iter().map(|name| FailureDomain::new(*name).unwrap());
    names.collect()
}

/// Guards against silence that counts as the statement that a stream was not recorded.
#[test]
fn silent_recorders_leave_it_open_whether_a_stream_was_recorded() {
    let peers: Vec<RecordPeer<u32>> = (0..6)
        .map(|number| {
            let domain = ["se-a", "se-b", "se-c"][number as usize % 3];
            peer(&format!("edge-{number}"), domain, number)
        })
        .collect();
    let asked: Vec<&RecordPeer<u32>> = peers.iter().collect();
    let all = domains(&["se-a", "se-b", "se-c"]);
    let is_known = |answered: &[u32]| {
        let answered = answered.iter().copied().collect();
        is_unrecorded(&asked, &answered, &all)
    };
    assert!(is_known(&[0, 1, 2, 3, 4, 5]));
    // One of the three recorders is among four of six.
    assert!(is_known(&[0, 1, 2, 3]));
    assert!(!is_known(&[0, 1, 2]));
    // None of the third failure domain answers.
    assert!(!is_known(&[0, 1, 3, 4]));
    assert!(!is_known(&[]));
}

/// Guards against streams of a failure domain that is cut off, which can't be asked for its records.
#[test]
fn a_failure_domain_that_is_not_asked_leaves_it_open_whether_a_stream_was_recorded() {
    let peers = [peer("a-1", "se-a", 1)];
    let asked: Vec<&RecordPeer<u32>> = peers.iter().collect();
    let answered = BTreeSet::from([1]);
    assert!(is_unrecorded(&asked, &answered, &domains(&["se-a"])));
    let both = domains(&["se-a", "se-b"]);
    assert!(!is_unrecorded(&asked, &answered, &both));
    let cut_off = is_unrecorded::<u32>(&[], &BTreeSet::new(), &domains(&["se-a"]));
    assert!(!cut_off);
}

/// Guards against an only instance that refuses all streams, as there is no other one to ask.
#[test]
fn an_instance_without_others_knows_all_records() {
    let nobody = is_unrecorded::<u32>(&[], &BTreeSet::new(), &BTreeSet::new());
    assert!(nobody);
}

/// Guards against a version that began streams after the newest confirmation, and against a proof that
/// ends before the knowledge of the instance that applies it begins.
#[test]
fn knowledge_holds_as_of_its_confirmation() {
    let start = ClockTime::from_millis(100_000);
    let later = |ms| start + TimeSpan::from_millis(ms);
    let mut versions = VersionHistory::new();
    assert!(!versions.is_known_since(start) && !versions.adjoins(start));
    versions.note_current(later(1_000));
    versions.note_current(later(2_000));
    assert!(versions.is_known_since(later(2_000)));
    assert!(!versions.is_known_since(later(2_001)));
    assert_eq!(versions.age(later(2_600)), Some(TimeSpan::from_millis(600)));
    assert!(versions.adjoins(later(1_000)));
    assert!(!versions.adjoins(later(999)));
}
