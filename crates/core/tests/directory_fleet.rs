//! Requests by the directories of a fleet while endpoints leave in series: readers stop, freeze and
//! come back, datagrams are lost, late and cut off, the store is away for some or all and forgets
//! its history, and reads are answered in pieces.

mod directory_support;
mod fleet_support;

use bluebell_core::relay::DIRECT_READERS;
use directory_support::FleetModel;
use fleet_support::{FleetSize, STEP_MS};

/// The simulated fleets.
const FLEETS: [FleetSize; 5] = [(1, 1, 5), (9, 3, 1), (30, 3, 2), (90, 3, 4), (985, 5, 20)];

/// The drain bounds of the simulated fleets, in ms.
const BOUNDS_MS: [u64; 3] = [2_000, 3_000, 5_000];

/// The greatest share of the time in which instances that can reach the store or others may refuse
/// their callers.
const MAX_REFUSED_SHARE: f64 = 0.05;

/// The delay after which refused callers retry: the longest time in which an instance may refuse
/// them although nothing disturbs it.
const MAX_REFUSAL_MS: u64 = 600;

/// Calls `check` with the name and the result of each run.
fn for_each_run<Check>(mut check: Check)
where
    Check: FnMut(&str, &FleetModel),
{
    for (instances, domains, seed) in fleet_support::runs(&FLEETS) {
        let bound = BOUNDS_MS[seed as usize % BOUNDS_MS.len()];
        let mut fleet = FleetModel::new(seed, instances, domains, bound);
        fleet.run(30_000);
        check(&format!("{instances} instances, seed {seed}"), &fleet);
    }
}

/// Guards against requests to endpoints that announced their leaving longer ago than the bound,
/// whatever delayed the announcement, and against refusing many callers to avoid that.
#[test]
fn no_request_is_sent_by_knowledge_that_is_older_than_the_drain_bound() {
    let (mut decisions, mut refused) = (0, 0);
    for_each_run(|name, fleet| {
        let first = fleet.violations.first();
        let count = fleet.violations.len();
        assert!(first.is_none(), "{name}: {count}, {first:?}");
        decisions += fleet.decisions;
        refused += fleet.refused;
        println!(
            "{name}: ages of leavings at sends {:?}, refused {} of {}",
            fleet.ages, fleet.refused, fleet.decisions
        );
    });
    let share = refused as f64 / decisions as f64;
    println!("refused share {share:.4}");
    assert!(share <= MAX_REFUSED_SHARE, "{share}");
}

/// Guards against requests to endpoints that were withdrawn before an outage of the store: an
/// instance takes them for lapsed, and its grace period ends after it is in touch again.
#[test]
fn no_withdrawn_endpoint_outlasts_an_outage_of_the_store() {
    for_each_run(|name, fleet| {
        let first = fleet.lapsed_violations.first();
        let count = fleet.lapsed_violations.len();
        assert!(first.is_none(), "{name}: {count}, {first:?}");
    });
}

/// Guards against instances that wait for changes which were too many for their datagrams until
/// their directory is too old, or that all read the store then.
#[test]
fn a_mass_leaving_is_known_everywhere_within_the_bound() {
    for (instances, domains) in [(9, 3), (90, 3), (295, 5), (985, 5)] {
        for bound in BOUNDS_MS {
            let mut fleet = FleetModel::new(7, instances, domains, bound);
            fleet.run_quietly(3_000);
            let reads = fleet.full_reads;
            // The direct readers may read again what changed meanwhile.
            let most_reads = 2 * (DIRECT_READERS * domains) as u64;
            let left = fleet.leave_all_but(8);
            fleet.run_quietly(bound);
            let name = format!("{instances} instances, bound {bound} ms");
            assert_eq!(fleet.instances_sending_to(&left), 0, "{name}");
            let reads = fleet.full_reads - reads;
            println!(
                "{name}: refused {} longest {} reads {reads}",
                fleet.refused, fleet.longest_refusal
            );
            assert!(fleet.longest_refusal <= MAX_REFUSAL_MS, "{name}");
            assert!(reads <= most_reads, "{name}: {reads} full reads");
        }
    }
}

/// Guards against a failure domain whose directory gets too old when its reader ends, because the
/// others wait until they no longer consider it alive.
#[test]
fn a_reader_that_ends_is_replaced_before_the_directories_are_too_old() {
    for (instances, domains) in [(9, 3), (90, 3), (985, 5)] {
        for bound in BOUNDS_MS {
            let mut fleet = FleetModel::new(3, instances, domains, bound);
            fleet.run_quietly(3_000);
            // The first three of a failure domain, which read one after the other.
            for rank in 0..3_usize.min(instances / domains - 1) {
                let end = fleet.now + 60_000;
                fleet.kill(rank * domains, end);
                fleet.run_quietly(3_000);
            }
            let name = format!("{instances} instances, bound {bound} ms");
            println!(
                "{name}: refused {} longest {}",
                fleet.refused, fleet.longest_refusal
            );
            assert!(fleet.longest_refusal <= MAX_REFUSAL_MS, "{name}");
            assert!(fleet.violations.is_empty(), "{name}");
        }
    }
}

/// Guards against a failure domain that stops serving while it is cut off from the store.
#[test]
fn a_failure_domain_that_is_cut_off_goes_on_sending() {
    for (instances, domains) in [(1, 1), (9, 3), (90, 3), (295, 5)] {
        let mut fleet = FleetModel::new(1, instances, domains, 2_000);
        fleet.run_quietly(5_000);
        let end = fleet.now + 20_000;
        fleet.reject(0, end);
        fleet.run_quietly(10_000);
        while fleet.now < end {
            fleet.run_quietly(STEP_MS);
            for number in (0..instances).step_by(domains) {
                assert!(fleet.sends(number), "{instances}: {number}");
            }
        }
        assert!(
            fleet.violations.is_empty(),
            "{:?}",
            fleet.violations.first()
        );
    }
}
