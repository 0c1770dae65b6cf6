//! Synchronising with the store: the configuration in force and the registered endpoints.

pub mod configuration;
mod confirmation;
pub mod copies;
mod directory;
mod endpoints;
mod look_back;

use std::{sync::Arc, time::Duration};

use bluebell_adapter::CallError;
use bluebell_core::clock::TimeSpan;
use bluebell_daemon::logs::LogLine;
use rand::Rng;
use tokio_util::sync::CancellationToken;

pub use self::{
    confirmation::{
        confirm_version, is_directory_confirmed, is_state_known_since, log_directory_confirmed,
        wait_for_confirmation,
    },
    directory::{lapse, register_relayed, unregister_relayed},
};
use crate::context::EntryContext;

/// The delay after the first failed call to the store; it doubles with each further
/// failure up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay after a failed call. Keys that were refused because their status
/// was too old must be accepted again soon after the store is back.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The share of the delay that is waited for, at random: instances that lost the store in the
/// same moment would all call again in the same moment.
const BACKOFF_JITTER: std::ops::Range<f64> = 0.8..1.2;

/// The time within which a read that does not wait for records must be answered, and
/// the longest pause within its answer. The store answers in 4 ms, and in 0.2 s while it
/// is slow.
pub const READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// How many times the timeout of a full read is doubled after failures.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// The time within which the answer to a full read must begin, and the longest pause
/// within it, after `failures` in a row. When many instances start at once, the store
/// takes seconds to send everything to all of them. Reads that time out earlier and
/// restart keep the store busy with answers that are discarded, and no instance becomes
/// ready.
pub fn full_read_timeout(failures: u32) -> TimeSpan {
    let doublings = failures.min(MAX_TIMEOUT_DOUBLINGS);
    TimeSpan::from_millis(READ_TIMEOUT.as_millis() << doublings)
}

/// How often an instance that follows a reader's relay checks whether it has to read the
/// store itself.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Waits for a wake-up, for [`RELAY_CHECK_INTERVAL`] at most.
async fn wait_for_wake(context: &EntryContext) {
    let woken = context.wake.notified();
    let _ = tokio::time::timeout(RELAY_CHECK_INTERVAL, woken).await;
}

/// Spawns the tasks that follow the configuration and the endpoints; they end with
/// `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let configuration = configuration::follow(Arc::clone(context));
    let endpoints = endpoints::follow(Arc::clone(context));
    for follower in [
        Box::pin(configuration) as std::pin::Pin<Box<dyn Future<Output = ()> + Send>>,
        Box::pin(endpoints),
        Box::pin(look_back::run(Arc::clone(context))),
    ] {
        let stop = stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(follower).await;
        });
    }
}

/// Counts the failures in a row of one kind of call to the store, logs the loss and the
/// recovery of the store, and delays the next attempt.
#[derive(Debug)]
pub struct StoreBackoff {
    call: &'static str,
    failures: u32,
}

impl StoreBackoff {
    /// A back-off without failures, for the kind of call that log lines and metrics name
    /// `call`.
    pub fn new(call: &'static str) -> StoreBackoff {
        StoreBackoff { call, failures: 0 }
    }

    /// The timeout of the next full read, see [`full_read_timeout`].
    pub fn read_timeout(&self) -> TimeSpan {
        full_read_timeout(self.failures)
    }

    /// Records an answered call, which resets the count of failures.
    pub fn note_answer(&mut self, context: &EntryContext) {
        let counters = &context.metrics.store_calls;
        counters.with_label_values(&[self.call, "answered"]).inc();
        if self.failures > 0 {
            LogLine::new("store_regained")
                .with("call", self.call)
                .with("failures", self.failures)
                .info();
        }
        self.failures = 0;
    }

    /// Records a failed call and sleeps until the next attempt is due.
    pub async fn wait_after_failure(&mut self, context: &EntryContext, error: &CallError) {
        let took = TimeSpan::ZERO;
        self.wait_after_call(context, error, took).await;
    }

    /// Records a call that took as long as `took` to fail, and sleeps until the next attempt is due:
    /// the delay counts from when the call was sent, but for the least one.
    pub async fn wait_after_call(
        &mut self,
        context: &EntryContext,
        error: &CallError,
        took: TimeSpan,
    ) {
        let counters = &context.metrics.store_calls;
        counters.with_label_values(&[self.call, "failed"]).inc();
        let delay = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        // Logs failure 1, 2, 4 and so on, so that a long outage stays visible without a
        // line for each attempt.
        if self.failures.is_power_of_two() {
            LogLine::new("store_lost")
                .with("call", self.call)
                .with("failures", self.failures)
                .with("error", error)
                .warn();
        }
        let jitter = rand::rng().random_range(BACKOFF_JITTER);
        let delay = delay.min(MAX_BACKOFF).saturating_sub(took.as_duration());
        let delay = delay.max(INITIAL_BACKOFF);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
    }
}
