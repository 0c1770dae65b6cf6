//! Clocks of an entry.

use std::time::{SystemTime, UNIX_EPOCH};

use bluebell_core::clock::{ClockSource, ClockTime};
use rustix::time::{ClockId, clock_gettime};

/// Returns a monotonic clock that advances also while the instance is suspended. Leases
/// and the age of state are measured with it: with a clock that stops, an instance that
/// resumes after some seconds would consider an expired lease valid.
pub fn boot_clock() -> ClockSource {
    ClockSource::with_read(|| {
        let time = clock_gettime(ClockId::Boottime);
        ClockTime::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    })
}

/// The time since the Unix epoch. It may be off by a few ms and is used for usage
/// windows, log lines and start numbers, not for leases.
pub fn wall_time() -> ClockTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
}
