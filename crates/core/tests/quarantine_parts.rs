//! Parts of prompts that crash the endpoints that begin to answer them.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    quarantine::{
        MAX_PARTS_PER_DATAGRAM, PartCrash, PartHash, PartQuarantine, PartReport, ReportScope,
        SiteHash, shared_parts,
    },
};
use quickcheck::quickcheck;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn part(id: u64) -> PartHash {
    PartHash::new(id)
}

/// Guards against blaming the last part of a prompt, which belongs to one request alone.
#[test]
fn the_last_part_is_not_shared() {
    assert_eq!(shared_parts("aa:40,bb:10,cc:60"), [part(0xaa), part(0xbb)]);
    assert_eq!(shared_parts("aa:40, bb:10 ,"), [part(0xaa)]);
    assert_eq!(shared_parts("aa:40"), []);
    assert_eq!(shared_parts(""), []);
}

/// Guards against overlooking a part that stands far behind in a long prompt.
#[test]
fn all_parts_of_a_long_prompt_count() {
    let prefix: Vec<String> = (1..=200).map(|id| format!("{id:x}:1")).collect();
    let parts = shared_parts(&prefix.join(","));
    assert_eq!(parts.len(), 199);
    assert_eq!(parts.last(), Some(&part(199)));
}

/// Guards against telling a part from itself because its id is written in another way.
#[test]
fn an_id_is_the_same_in_all_its_spellings() {
    assert_eq!("00aB".parse::<PartHash>(), "AB".parse());
    let long = "1234567890abcdef1234";
    assert_eq!(long.parse::<PartHash>(), long.to_uppercase().parse());
    assert_ne!(long.parse::<PartHash>(), long[..16].parse());
    assert_eq!(part(0xab).to_string(), "ab");
    assert!("x1".parse::<PartHash>().is_err());
    assert!("".parse::<PartHash>().is_err());
}

/// The parts that are quarantined.
fn refused(quarantine: &PartQuarantine) -> Vec<PartHash> {
    quarantine.quarantined().collect()
}

fn crash(quarantine: &mut PartQuarantine, ms: u64, number: u64, parts: &[u64]) {
    let parts = parts.iter().map(|id| part(*id)).collect();
    quarantine.note_crash(at(ms), SiteHash::new(number), &parts);
}

/// Guards against a part that crashes engines in requests of which no two are alike.
#[test]
fn three_crashes_at_different_times_quarantine_a_part() {
    let mut quarantine = PartQuarantine::new();
    crash(&mut quarantine, 1_000, 1, &[0xdead, 1]);
    crash(&mut quarantine, 1_500, 2, &[0xdead, 2]);
    assert_eq!(refused(&quarantine), []);
    crash(&mut quarantine, 2_000, 3, &[0xdead, 3]);
    assert_eq!(refused(&quarantine), [part(0xdead)]);
    let refusal = quarantine.refuse(at(3_000), &[part(9), part(0xdead)]);
    let refusal = refusal.unwrap();
    assert_eq!((refusal.part, refusal.crashes), (part(0xdead), 3));
    assert!(refusal.remaining > TimeSpan::from_secs(300));
    assert_eq!(quarantine.refuse(at(3_000), &[part(1), part(2)]), None);
}

/// Guards against blaming what ran on several engines when they lost their power together.
#[test]
fn simultaneous_ends_quarantine_nothing() {
    let mut quarantine = PartQuarantine::new();
    for number in 0..8 {
        crash(&mut quarantine, 1_000 + number * 10, number, &[1]);
    }
    assert_eq!(refused(&quarantine), []);
}

/// Guards against refusing what engines answer, because it also runs on those that end.
#[test]
fn an_answer_refutes_the_crashes_that_are_known() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[1]);
    }
    assert_eq!(refused(&quarantine), [part(1)]);
    quarantine.note_answered(at(3_500), &[part(1)]);
    assert_eq!(refused(&quarantine), []);
    // A part that was answered lately is not suspected.
    for number in 4..=6 {
        crash(&mut quarantine, number * 1_000, number, &[1]);
    }
    assert_eq!(refused(&quarantine), []);
}

/// Guards against a part that crashes engines from some time on, although it was answered before.
#[test]
fn a_part_that_was_answered_long_ago_is_suspected_again() {
    let mut quarantine = PartQuarantine::new();
    quarantine.note_answered(at(1_000), &[part(1)]);
    quarantine.note_answered(at(5_000), &[part(2)]);
    quarantine.note_answered(at(9_000), &[part(2)]);
    for number in 10..13 {
        crash(&mut quarantine, number * 1_000, number, &[1, 2]);
    }
    assert_eq!(refused(&quarantine), [part(1)]);
}

/// Guards against refusing rare parts that ran beside one that crashes engines.
#[test]
fn a_part_that_explains_the_crashes_clears_those_that_ran_beside_it() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[7]);
    }
    assert_eq!(refused(&quarantine), [part(7)]);
    let mut other = PartQuarantine::new();
    for number in 1..=4 {
        crash(&mut other, number * 1_000, number, &[0xdead]);
    }
    let reports = other.take_reports(at(4_010), ReportScope::Direct);
    quarantine.note_reports(at(4_020), &reports, true);
    assert_eq!(refused(&quarantine), [part(0xdead)]);
    assert!(quarantine.explains(SiteHash::new(1)));
    assert!(!quarantine.explains(SiteHash::new(9)));
}

/// Guards against finding only one of two parts that crash engines at the same time.
#[test]
fn two_parts_are_quarantined_at_once() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=4 {
        crash(&mut quarantine, number * 1_000, number, &[0xa]);
    }
    for number in 4..=8 {
        crash(&mut quarantine, number * 1_000 + 500, number, &[0xb]);
    }
    assert_eq!(refused(&quarantine), [part(0xa), part(0xb)]);
}

/// Guards against an instance that starts later and sends a request with the part to an engine once
/// more, and against all instances repeating what one has said.
#[test]
fn quarantined_parts_are_reported_to_instances_that_start_later() {
    let mut instances = [
        PartQuarantine::new().with_seed(1),
        PartQuarantine::new().with_seed(2),
    ];
    for number in 1..=3 {
        crash(&mut instances[0], number * 1_000, number, &[0xdead]);
    }
    for _ in 0..3 {
        let reports = instances[0].take_reports(at(3_100), ReportScope::Direct);
        instances[1].note_reports(at(3_110), &reports, true);
    }
    let mut started = PartQuarantine::new();
    let mut reported = 0;
    for ms in (3_200..9_200).step_by(100) {
        for number in 0..2 {
            instances[number].refuse(at(ms), &[part(0xdead)]);
            let reports = instances[number].take_reports(at(ms), ReportScope::Direct);
            reported += reports.len();
            instances[1 - number].note_reports(at(ms), &reports, true);
            if ms < 5_300 {
                started.note_reports(at(ms), &reports, true);
            }
        }
    }
    assert_eq!(refused(&started), [part(0xdead)]);
    assert!((3..=6).contains(&reported), "{reported} reports in 6 s");
}

/// Guards against memory and datagrams that grow with the number of prompts and endpoints.
#[test]
fn suspects_and_reports_are_limited() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[0xdead]);
    }
    for number in 0..4_000 {
        crash(
            &mut quarantine,
            5_000 + number,
            10 + number / 40,
            &[0x10_000 + number],
        );
    }
    assert_eq!(refused(&quarantine), [part(0xdead)]);
    let reports = quarantine.take_reports(at(9_000), ReportScope::Direct);
    assert_eq!(reports.len(), MAX_PARTS_PER_DATAGRAM);
    assert_eq!(reports[0].part, part(0xdead));
    let dump = serde_json::to_value(&quarantine).unwrap();
    let kept = dump["histories"].as_object().unwrap().len();
    assert!(kept <= 1_024, "{kept}");
}

/// Guards against blaming a part for the paths of one instance to all endpoints.
#[test]
fn crashes_of_lost_paths_are_retracted() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[1]);
    }
    quarantine.retract_observed(at(2_000));
    assert_eq!(refused(&quarantine), []);
}

/// Guards against withdrawing the crashes under a part that the registrations have confirmed.
#[test]
fn confirmed_crashes_under_a_part_are_not_retracted() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[1]);
    }
    quarantine.retract_observed(at(1_000));
    for number in 1..=3 {
        let parts = [part(1)].into();
        quarantine.confirm_crash(at(4_000 + number * 1_000), SiteHash::new(number), &parts);
    }
    quarantine.retract_observed(at(1_000));
    assert_eq!(refused(&quarantine), [part(1)]);
}

#[test]
fn a_quarantine_of_a_part_ends() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=3 {
        crash(&mut quarantine, number * 1_000, number, &[1]);
    }
    let refusal = quarantine.refuse(at(60_000), &[part(1)]).unwrap();
    quarantine.sweep(at(59_000) + refusal.remaining);
    assert_eq!(refused(&quarantine), [part(1)]);
    quarantine.sweep(at(60_000) + refusal.remaining);
    assert_eq!(refused(&quarantine), []);
}

quickcheck! {
    /// Instances that received the same reports refuse the same parts, in whatever order these
    /// arrived and however often.
    fn the_order_of_part_reports_does_not_matter(reports: Vec<(u8, u8, bool)>) -> bool {
        let reports: Vec<PartReport> = reports
            .iter()
            .map(|(id, number, is_refuted)| PartReport {
                part: part(u64::from(id % 4)),
                crashes: vec![PartCrash {
                    site: SiteHash::new(u64::from(number % 6)),
                    age: TimeSpan::from_millis(u64::from(number % 6) * 1_000),
                    is_refuted: *is_refuted && number % 5 == 0,
                }],
            })
            .collect();
        let mut forward = PartQuarantine::new();
        let mut backward = PartQuarantine::new();
        for report in &reports {
            forward.note_reports(at(10_000), std::slice::from_ref(report), true);
        }
        for report in reports.iter().rev().chain(&reports) {
            backward.note_reports(at(10_000), std::slice::from_ref(report), true);
        }
        refused(&forward) == refused(&backward)
    }
}

/// Guards against missing one of two parts that always crash engines together.
#[test]
fn a_part_with_many_crashes_is_quarantined_beside_another_one() {
    let mut quarantine = PartQuarantine::new();
    for number in 1..=5 {
        crash(&mut quarantine, number * 1_000, number, &[0xa, 0xb]);
    }
    crash(&mut quarantine, 6_000, 6, &[0xa]);
    crash(&mut quarantine, 7_000, 7, &[0xa]);
    assert_eq!(refused(&quarantine), [part(0xa)]);
    crash(&mut quarantine, 7_500, 8, &[0xb]);
    assert_eq!(refused(&quarantine), [part(0xa), part(0xb)]);
}
