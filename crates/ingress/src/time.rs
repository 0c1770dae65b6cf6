//! The clocks of an entry.

use std::time::{SystemTime, UNIX_EPOCH};

use bluebell_core::clock::{ClockSource, ClockTime};
use rustix::time::{ClockId, clock_gettime};

/// A steady clock that goes on while the instance is suspended. Leases and the
/// age of knowledge are measured on it: on a clock that stands still, an instance
/// that wakes after some seconds would take its old right for a fresh one.
pub fn boot_clock() -> ClockSource {
    ClockSource::with_read(|| {
        let time = clock_gettime(ClockId::Boottime);
        ClockTime::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    })
}

/// The time of day, for usage windows only. It may be off by some ms.
pub fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::from_millis(since.unwrap_or_default().as_millis() as u64)
}
