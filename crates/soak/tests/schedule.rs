//! Schedules are drawn from their seeds and nothing else.

use std::collections::BTreeSet;

use bluebell_soak::schedule::{ScheduleSize, ScheduledFault, SoakFault, draw, draw_growth, merge};

const SIZE: ScheduleSize = ScheduleSize {
    instances: 6,
    endpoints: 12,
    organisations: 4,
    routes: 2,
    added_routes: 6,
    span_ms: 20_000,
};

#[test]
fn the_same_seed_gives_the_same_schedule() {
    assert_eq!(draw(7, SIZE), draw(7, SIZE));
    assert_ne!(draw(7, SIZE), draw(8, SIZE));
}

#[test]
fn fifty_seeds_bring_every_kind_of_fault_and_spare_one_organisation() {
    let mut kinds = BTreeSet::new();
    for fault in (1..=50).flat_map(|seed| draw(seed, SIZE)) {
        assert!(fault.at_ms < SIZE.span_ms);
        let text = format!("{:?}", fault.fault);
        kinds.insert(
            text.split([' ', '{'])
                .next()
                .unwrap_or_default()
                .to_string(),
        );
        if let SoakFault::Withdraw { organisation } = fault.fault {
            assert!((1..SIZE.organisations).contains(&organisation));
        }
    }
    assert_eq!(kinds.len(), 15, "{kinds:?}");
}

/// Guards against growth that changes the faults of seeds that once showed something.
#[test]
fn growth_comes_beside_the_faults_of_a_seed_and_leaves_them_as_they_are() {
    let faults = draw(7, SIZE);
    let growth = draw_growth(7, SIZE);
    assert_eq!(growth, draw_growth(7, SIZE));
    let merged = merge(faults.clone(), growth.clone());
    assert!(merged.is_sorted_by_key(|scheduled| scheduled.at_ms));
    for scheduled in faults.iter().chain(&growth) {
        assert!(merged.contains(scheduled));
    }
    let grows =
        |scheduled: &ScheduledFault| matches!(scheduled.fault, SoakFault::GrowConfiguration { .. });
    let leaves =
        |scheduled: &ScheduledFault| matches!(scheduled.fault, SoakFault::EndpointWithdrawn { .. });
    let all: Vec<ScheduledFault> = (1..=10).flat_map(|seed| draw_growth(seed, SIZE)).collect();
    assert!(all.iter().any(grows) && all.iter().any(leaves));
}
