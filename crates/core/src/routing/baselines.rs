//! Plain ways to choose, which the router is measured against.
//!
//! Each is a closure from the endpoints that may run a request to the index of
//! one, for [`crate::routing::RequestRouter::choose_by`].

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::routing::EndpointSnapshot;

/// Any endpoint, drawn from `seed`.
pub fn random(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    move |snapshots| match snapshots.len() {
        0 => None,
        count => Some(random.random_range(0..count)),
    }
}

/// The endpoints in turn, beginning at a place drawn from `seed`.
pub fn round_robin(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    let mut turn = ChaCha8Rng::seed_from_u64(seed).random_range(0..1_000_usize);
    move |snapshots| {
        turn += 1;
        turn.checked_rem(snapshots.len())
    }
}

/// The endpoint where this entry has fewest requests, drawn among equals.
pub fn least_outstanding(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    least_by(seed, |snapshot| u64::from(snapshot.own_requests))
}

/// The endpoint with fewest requests by its last report as it came, drawn among
/// equals.
pub fn least_reported(seed: u64) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize> {
    least_by(seed, |snapshot| snapshot.reported.requests)
}

fn least_by<Load>(seed: u64, load: Load) -> impl FnMut(&[EndpointSnapshot]) -> Option<usize>
where
    Load: Fn(&EndpointSnapshot) -> u64,
{
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    move |snapshots| {
        let least = snapshots.iter().map(&load).min()?;
        let equal: Vec<usize> = (0..snapshots.len())
            .filter(|index| load(&snapshots[*index]) == least)
            .collect();
        Some(equal[random.random_range(0..equal.len())])
    }
}
