//! A mutex for state that several tasks use.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mutex whose value stays usable after a holder panicked: each of the shared types
/// keeps its own invariants between calls.
#[derive(Debug, Default)]
pub struct Shared<Value>(Mutex<Value>);

impl<Value> Shared<Value> {
    /// Wraps `value` in a mutex.
    pub fn new(value: Value) -> Shared<Value> {
        Shared(Mutex::new(value))
    }

    /// Locks the value. The guard must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, Value> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
