//! Fleets in which a part of prompts crashes each engine that begins to answer it, in requests of
//! which no two are alike: connections break and engines end for other reasons too, instances
//! restart and are cut off, and datagrams are lost, late and repeated.

mod fleet_support;
mod prompt_parts_support;

use fleet_support::FleetSize;
use prompt_parts_support::PartsModel;

/// The simulated fleets.
const FLEETS: [FleetSize; 5] = [(1, 1, 2), (9, 3, 1), (30, 3, 2), (90, 5, 4), (985, 5, 20)];

/// How many requests with the part instances in touch may send from some seconds after the fifth
/// crash on.
const MAX_LATE_RUNS: u64 = 3;

/// The number of sound requests of a route from which on their share is judged.
const MIN_SOUND_REQUESTS: u64 = 20;

/// Calls `check` with the name and the result of each run.
fn for_each_run<Check>(mut check: Check)
where
    Check: FnMut(&str, &PartsModel),
{
    for (instances, domains, seed) in fleet_support::runs(&FLEETS) {
        let mut fleet = PartsModel::new(seed, instances, domains);
        let per_second = 40.0 * (instances as f64 / 9.0).sqrt().max(1.0);
        fleet.run(40_000, per_second);
        check(&format!("{instances} instances, seed {seed}"), &fleet);
    }
}

/// Guards against a part of prompts that crashes one engine after the other, because crashes are
/// counted for requests of which no two are alike, or at instances that don't learn of each other's.
#[test]
fn requests_with_a_part_that_crashes_engines_are_stopped() {
    let mut broken = Vec::new();
    for_each_run(|name, fleet| {
        for (part, record) in &fleet.parts {
            let crashes = record.crashes.len();
            println!(
                "{name}: part {part}, {crashes} crashes, {}",
                record.late_runs
            );
            if record.late_runs > MAX_LATE_RUNS {
                broken.push(format!(
                    "{name}: {} runs of {part} too late",
                    record.late_runs
                ));
            }
        }
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against refusing sound requests for a part that they share with those that crash engines,
/// or that was sent to engines that ended for other reasons.
#[test]
fn sound_requests_are_served_while_a_part_is_quarantined() {
    let (mut all, mut refused) = (0, 0);
    for_each_run(|name, fleet| {
        for (route, (sound, refused)) in fleet.sound.iter().enumerate() {
            assert!(
                *sound < MIN_SOUND_REQUESTS || refused * 2 <= *sound,
                "{name}: {refused} of {sound} refused on route {route}"
            );
        }
        println!(
            "{name}: {} of {} sound requests refused, {} parts wrongly quarantined",
            fleet.all_sound.1,
            fleet.all_sound.0,
            fleet.wrongly_quarantined()
        );
        all += fleet.all_sound.0;
        refused += fleet.all_sound.1;
    });
    println!("{refused} of {all} sound requests refused");
}
