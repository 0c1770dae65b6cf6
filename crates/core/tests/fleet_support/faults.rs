//! Random faults.

use bluebell_core::relay::DIRECT_READERS;
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// The number of instances that a fault concerns, with equal shares.
const AFFECTED_INSTANCES: [usize; 4] = [1, 1, 2, 8];

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Suspension,
    Starvation,
    LostDatagrams,
    RejectedCalls,
    Restart,
    StoreOutage,
    LostHistory,
}

/// A fault that begins now.
#[derive(Clone, Copy, Debug)]
pub struct DrawnFault {
    pub kind: FaultKind,
    /// The number of instances that it concerns.
    pub count: usize,
    pub duration_ms: u64,
}

/// Draws a fault of one of the `kinds`.
pub fn draw_fault(random: &mut ChaCha8Rng, kinds: &[FaultKind]) -> DrawnFault {
    let count = *AFFECTED_INSTANCES.choose(random).unwrap();
    let kind = kinds[random.random_range(0..kinds.len())];
    let duration_ms = random.random_range(300..5_000);
    DrawnFault {
        kind,
        count,
        duration_ms,
    }
}

/// Draws one of the first instances of the failure domains, which the others learn from, as often
/// as one of all.
pub fn draw_instance(random: &mut ChaCha8Rng, instances: usize, domains: usize) -> usize {
    let first = instances.min(domains * (DIRECT_READERS + 2));
    match random.random_bool(0.5) {
        true => random.random_range(0..first),
        false => random.random_range(0..instances),
    }
}
