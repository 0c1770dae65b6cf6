//! Plain ways to choose, which the router is measured against.
//!
//! Each is a closure from the endpoints as the entry sees them to an index. They
//! go by what the entry has outstanding or by the reports as they came.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::routing::EndpointSnapshot;

fn open(snapshots: &[EndpointSnapshot]) -> Vec<usize> {
    (0..snapshots.len())
        .filter(|index| snapshots[*index].open)
        .collect()
}

/// Any open endpoint, drawn from `seed`.
pub fn random(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    move |snapshots| {
        let open = open(snapshots);
        match open.len() {
            0 => None,
            count => Some(open[random.random_range(0..count)]),
        }
    }
}

/// The open endpoints in turn.
pub fn round_robin() -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut turn = 0_usize;
    move |snapshots| {
        let open = open(snapshots);
        turn = turn.wrapping_add(1);
        open.get(turn.checked_rem(open.len())?).copied()
    }
}

/// The open endpoint that has least to do by its last report as it came, and
/// the first of those that are equal.
pub fn least_outstanding() -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    |snapshots| {
        let load = |index: &usize| {
            let snapshot = &snapshots[*index];
            snapshot.reported.requests + u64::from(snapshot.own_requests)
        };
        open(snapshots).into_iter().min_by_key(load)
    }
}
