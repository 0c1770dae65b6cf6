//! When endpoints ask for rest, drawn from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::schedule::{EndpointTrouble, ScheduleSize, ScheduledFault, SoakFault};

/// Keeps the draws of rests apart from those of faults.
const REST_STREAM: u64 = 5;
/// The shortest and the longest time between two endpoints that begin to ask for rest, in ms.
const PAUSE_MS: (u64, u64) = (300, 2_000);
/// The shortest and the longest time for which an endpoint asks for rest, in ms.
const SPAN_MS: (u64, u64) = (1_000, 5_000);

/// Draws endpoints that ask for rest in series, at times most of them at once.
pub fn draw(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(REST_STREAM);
    let mut schedule = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        if at_ms >= size.span_ms {
            return schedule;
        }
        let count = match random.random_bool(0.2) {
            true => size.endpoints,
            false => 1,
        };
        for _ in 0..count {
            let fault = SoakFault::Endpoint {
                endpoint: random.random_range(0..size.endpoints),
                trouble: EndpointTrouble::Rests,
                span_ms: random.random_range(SPAN_MS.0..=SPAN_MS.1),
            };
            schedule.push(ScheduledFault { at_ms, fault });
        }
    }
}
