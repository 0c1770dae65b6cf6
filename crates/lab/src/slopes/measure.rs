//! Time and memory of this process.

use std::{fs, time::Instant};

/// Bytes in a page of the machines that the lab runs on.
const PAGE_BYTES: f64 = 4_096.0;

/// Microseconds that `work` takes, per one of `count`.
pub fn micros_each<Work>(count: u64, work: Work) -> f64
where
    Work: FnOnce(),
{
    let started = Instant::now();
    work();
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// The process's resident memory in bytes; zero where the system doesn't tell.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    pages * PAGE_BYTES
}

/// What `build` makes, and the resident memory that it added.
pub fn with_memory<Built, Build>(build: Build) -> (Built, f64)
where
    Build: FnOnce() -> Built,
{
    let before = resident_bytes();
    let built = build();
    (built, resident_bytes() - before)
}
