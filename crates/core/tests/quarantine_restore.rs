//! What is quarantined, as processes that start later take it over.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::RequestFingerprint,
    quarantine::{PartHash, PartQuarantine, QUARANTINE_RETENTION, SharedQuarantine, SiteHash},
};

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn later(seconds: u64) -> ClockTime {
    START + TimeSpan::from_secs(seconds)
}

fn fingerprint() -> RequestFingerprint {
    "00ff".parse().unwrap()
}

/// Guards against a quarantine that starts anew, or ends, with the processes that know of it.
#[test]
fn a_restored_request_is_refused_for_the_rest_of_its_time() {
    let mut earlier = SharedQuarantine::new();
    for site in [1, 2] {
        earlier.note_crash(START, &fingerprint(), SiteHash::new(site));
    }
    let known: Vec<_> = earlier.quarantined(later(100)).collect();
    assert_eq!(known.len(), 1);
    assert!(known[0].is_received_here);
    let mut restored = SharedQuarantine::new();
    restored.restore(later(100) - known[0].age, &known[0].report);
    let remaining = QUARANTINE_RETENTION.saturating_sub(TimeSpan::from_secs(100));
    let refused_for = restored.quarantined_for(later(100), &fingerprint());
    assert_eq!(refused_for, Some(remaining));
    assert!(restored.has_due_reports());
    let known: Vec<_> = restored.quarantined(later(100)).collect();
    assert!(!known[0].is_received_here);
    restored.sweep(later(601));
    assert_eq!(restored.quarantined(later(601)).count(), 0);
}

/// Guards against a request that one crash alone keeps from being served after a restart.
#[test]
fn a_suspect_is_not_among_what_is_stored() {
    let mut quarantine = SharedQuarantine::new();
    quarantine.note_crash(START, &fingerprint(), SiteHash::new(1));
    assert_eq!(quarantine.quarantined(START).count(), 0);
}

/// Guards against a part of prompts that is tried again after a restart, and against one that is
/// quarantined for longer the more often all processes start anew.
#[test]
fn a_restored_part_is_refused_for_the_rest_of_its_time() {
    let part = PartHash::new(7);
    let mut earlier = PartQuarantine::new();
    for number in 0..3 {
        let parts = [part].into_iter().collect();
        earlier.note_crash(later(number), SiteHash::new(number), &parts);
    }
    let known: Vec<_> = earlier.quarantined_reports(later(50)).collect();
    assert_eq!(known.len(), 1);
    let mut restored = PartQuarantine::new();
    restored.restore(later(100), TimeSpan::from_secs(50), &known[0].report);
    let refused = restored.refuse(later(100), &[part]).expect("it is refused");
    assert_eq!(refused.remaining, later(602).since(later(100)));
    restored.sweep(later(603));
    assert_eq!(restored.quarantined_reports(later(603)).count(), 0);
}
