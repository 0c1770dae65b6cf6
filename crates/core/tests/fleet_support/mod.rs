//! What the models of fleets share: processes that fail, datagrams that are lost, and which fleets
//! are simulated. Times are in ms.

#![allow(dead_code)]

mod faults;
mod process;

use bluebell_core::clock::{ClockTime, TimeSpan};

#[allow(unused_imports)]
pub use self::{
    faults::{FaultKind, draw_fault, draw_instance},
    process::ProcessState,
};

/// The length of a step.
pub const STEP_MS: u64 = 50;
/// How long an instance has to be undisturbed to count as in touch.
pub const STABLE_MS: u64 = 3_000;
/// The interval of relay messages.
pub const RELAY_MS: u64 = 250;
/// The maximum delay of a datagram.
pub const MAX_DELAY_MS: u64 = 120;
/// The share of datagrams that are lost, and that arrive twice.
pub const LOST_DATAGRAMS: f64 = 0.05;
pub const REPEATED_DATAGRAMS: f64 = 0.05;
/// How long an instance without messages is still considered alive.
const ALIVE_MS: u64 = 3_000;

/// A number of instances in a number of failure domains, and what the number of seeds is divided
/// by for it.
pub type FleetSize = (usize, usize, u64);

/// The number of seeds for the smallest fleets; `BLUEBELL_SEEDS` replaces the default.
fn seeds() -> u64 {
    std::env::var("BLUEBELL_SEEDS").map_or(20, |n| n.parse().unwrap())
}

/// The runs of the fleets: number of instances, number of failure domains and seed.
pub fn runs(fleets: &[FleetSize]) -> impl Iterator<Item = (usize, usize, u64)> {
    fleets.iter().flat_map(|(instances, domains, divisor)| {
        let seeds = 0..seeds().div_ceil(*divisor);
        seeds.map(|seed| (*instances, *domains, seed))
    })
}

/// The instances of a failure domain that are considered alive, by rank. `process` returns the
/// process of an instance.
pub fn live_members<'a, Process>(
    now: u64,
    instances: usize,
    domains: usize,
    domain: usize,
    process: Process,
) -> Vec<usize>
where
    Process: Fn(usize) -> &'a ProcessState,
{
    let seems_alive = |number: &usize| {
        let process = process(*number);
        process.runs(now) || now - process.stopped_at < ALIVE_MS
    };
    let numbers = (domain..instances).step_by(domains);
    numbers.filter(seems_alive).collect()
}

pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

pub fn span(ms: u64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}
