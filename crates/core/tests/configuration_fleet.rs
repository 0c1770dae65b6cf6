//! Decisions by the configuration in a fleet: datagrams are lost, late and repeated, instances are
//! suspended, starved and restarted, and the store is unavailable to some or all.

mod configuration_support;
mod fleet_support;

use configuration_support::{FleetModel, READ_TIMEOUT_MS};
use fleet_support::{FleetSize, STEP_MS};

/// The delay after which refused callers retry.
const RETRY_AFTER_MS: u64 = 600;

/// The time after which all instances of a failure domain know that the store can't be read: the
/// rollout bound and two reads.
const CUT_OFF_AFTER_MS: u64 = 2_000 + 2 * READ_TIMEOUT_MS;

/// The simulated fleets.
const FLEETS: [FleetSize; 5] = [(1, 1, 5), (9, 3, 1), (30, 3, 2), (90, 3, 3), (985, 5, 20)];

/// Calls `check` with the name and the result of each run.
fn for_each_run<Check>(check: Check)
where
    Check: Fn(&str, &FleetModel),
{
    for (instances, domains, seed) in fleet_support::runs(&FLEETS) {
        let bound = if seed % 2 == 0 { 2_000 } else { 3_000 };
        let mut fleet = FleetModel::new(seed, instances, domains, bound);
        fleet.run(30_000);
        check(&format!("{instances} instances, seed {seed}"), &fleet);
    }
}

/// Guards against requests that are denied or run by a version that had to be replaced, whatever
/// delayed the newer one.
#[test]
fn no_request_is_decided_by_a_configuration_that_had_to_be_replaced() {
    for_each_run(|name, fleet| {
        let (count, decisions) = (fleet.violations.len(), fleet.decisions);
        let first = fleet.violations.first();
        assert!(first.is_none(), "{name}: {count} of {decisions}, {first:?}");
    });
}

/// Guards against refusing a caller again when it retries, because the confirmation is sought from
/// instances that are gone, suspended or outdated.
#[test]
fn an_instance_in_touch_is_confirmed_before_refused_callers_retry() {
    for_each_run(|name, fleet| {
        let longest = fleet.longest_refusal;
        assert!(longest <= RETRY_AFTER_MS, "{name}: {longest} ms");
    });
}

/// Guards against a failure domain that stops serving while it is cut off from the store.
#[test]
fn a_failure_domain_that_is_cut_off_goes_on_serving() {
    for (instances, domains) in [(1, 1), (9, 3), (90, 3), (295, 5)] {
        let mut fleet = FleetModel::new(1, instances, domains, 2_000);
        fleet.run_quietly(5_000);
        let end = fleet.now + 20_000;
        for instance in fleet.instances.iter_mut().step_by(domains) {
            instance.process.rejected_until = end;
        }
        fleet.run_quietly(CUT_OFF_AFTER_MS);
        while fleet.now < end {
            fleet.run_quietly(STEP_MS);
            for number in (0..instances).step_by(domains) {
                assert!(fleet.serves(number), "{instances}: {number}");
            }
        }
        assert_eq!(fleet.violations.len(), 0);
    }
}
