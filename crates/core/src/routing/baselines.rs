//! Simple load-balancing policies that the router is compared with.
//!
//! Each policy is a closure that takes the endpoints that may run a request and returns
//! the index of the selected one, for [`crate::routing::RequestRouter::choose_by`].

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::routing::EndpointSnapshot;

/// Selects an endpoint at random, drawn from `seed`.
pub fn random(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    move |snapshots| match snapshots.len() {
        0 => None,
        count => Some(random.random_range(0..count)),
    }
}

/// Selects the endpoints in turn, starting at an index drawn from `seed`.
pub fn round_robin(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut turn = ChaCha8Rng::seed_from_u64(seed).random_range(0..1_000_usize);
    move |snapshots| {
        turn += 1;
        turn.checked_rem(snapshots.len())
    }
}

/// Selects the endpoint with the fewest requests outstanding from this entry; ties are
/// broken at random, drawn from `seed`.
pub fn least_outstanding(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    min_by_load(seed, |snapshot| u64::from(snapshot.own_requests))
}

/// Selects the endpoint whose last report states the fewest requests, without any
/// correction; ties are broken at random, drawn from `seed`.
pub fn least_reported(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    min_by_load(seed, |snapshot| snapshot.reported.requests)
}

fn min_by_load<Load>(seed: u64, load: Load) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize>
where
    Load: Fn(&EndpointSnapshot) -> u64,
{
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    move |snapshots| {
        let min = snapshots.iter().map(&load).min()?;
        let ties: Vec<usize> = (0..snapshots.len())
            .filter(|index| load(&snapshots[*index]) == min)
            .collect();
        Some(ties[random.random_range(0..ties.len())])
    }
}
