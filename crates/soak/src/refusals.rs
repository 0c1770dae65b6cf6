//! When endpoints are full or refuse what they have run, drawn from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::schedule::{EndpointTrouble, ScheduleSize, ScheduledFault, SoakFault};

/// Keeps the draws of refusals apart from those of faults.
const REFUSAL_STREAM: u64 = 6;
/// The shortest and the longest time between two series of refusals, in ms.
const PAUSE_MS: (u64, u64) = (300, 2_000);
/// The shortest and the longest time for which an endpoint refuses, in ms.
const SPAN_MS: (u64, u64) = (500, 3_000);

/// Draws endpoints that refuse in series, half of the time all of them at once: the same for the
/// same seed and size.
pub fn draw(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(REFUSAL_STREAM);
    let mut schedule = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        if at_ms >= size.span_ms {
            return schedule;
        }
        let trouble = match random.random_bool(0.7) {
            true => EndpointTrouble::Repeats,
            false => EndpointTrouble::Misstates,
        };
        let is_everywhere = random.random_bool(0.5);
        let first = random.random_range(0..size.endpoints);
        let span_ms = random.random_range(SPAN_MS.0..=SPAN_MS.1);
        for endpoint in (0..size.endpoints).filter(|one| is_everywhere || *one == first) {
            let fault = SoakFault::Endpoint {
                endpoint,
                trouble,
                span_ms,
            };
            schedule.push(ScheduledFault { at_ms, fault });
        }
    }
}
