//! Following the store: what is in force, and which endpoints there are.

pub mod configuration;
pub mod copies;
mod endpoints;

use std::{sync::Arc, time::Duration};

use bluebell_adapter::CallError;
use bluebell_core::clock::TimeSpan;
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

pub use self::endpoints::{lapse, register, unregister};
use crate::context::EntryContext;

/// The first wait after a call to the store failed; it doubles up to the last.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after a failed call: keys that stopped working for lack of
/// news must work again soon after the store is back.
const LONGEST_BACKOFF: Duration = Duration::from_millis(400);

/// How long a read that does not wait may take to be answered, and may pause while the
/// answer comes. The store answers in 4 ms, and in 0.2 s while it is slow.
pub const READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// How many times the time that a whole read may take is doubled after failures.
const PATIENCE_DOUBLINGS: u32 = 2;

/// How long the answer to a read of everything may take to begin, and may pause, after
/// `failures` in a row. When many instances start at once, the store takes seconds to
/// send everything to all of them; reads that give up before and begin anew keep it
/// busy with what nobody waits for, and no instance gets ready.
pub fn full_read_timeout(failures: u32) -> TimeSpan {
    let doublings = failures.min(PATIENCE_DOUBLINGS);
    TimeSpan::from_millis(READ_TIMEOUT.as_millis() << doublings)
}

/// How often an instance that is told by a reader looks whether it still is.
const TOLD_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until there may be something to read.
async fn wait_for_relay(context: &EntryContext) {
    let woken = context.wake.notified();
    let _ = tokio::time::timeout(TOLD_INTERVAL, woken).await;
}

/// Starts all followers; they end with `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let configuration = configuration::follow(Arc::clone(context));
    let endpoints = endpoints::follow(Arc::clone(context));
    for follower in [
        Box::pin(configuration) as std::pin::Pin<Box<dyn Future<Output = ()> + Send>>,
        Box::pin(endpoints),
    ] {
        let stop = stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(follower).await;
        });
    }
}

/// One call's way to the store: tells of losing and regaining it, and how long to
/// wait before the next try.
#[derive(Debug)]
pub struct StoreBackoff {
    call: &'static str,
    failures: u32,
}

impl StoreBackoff {
    /// A way that works, as far as known.
    pub fn new(call: &'static str) -> StoreBackoff {
        StoreBackoff { call, failures: 0 }
    }

    /// How long the next read of everything may take to begin.
    pub fn read_timeout(&self) -> TimeSpan {
        full_read_timeout(self.failures)
    }

    /// Notes an answer.
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

    /// Notes a failure and waits before the next try.
    pub async fn wait_after_failure(&mut self, context: &EntryContext, error: &CallError) {
        let counters = &context.metrics.store_calls;
        counters.with_label_values(&[self.call, "failed"]).inc();
        let wait = FIRST_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        // The first, second, fourth and so on: an outage that lasts is told again
        // without a line for each try.
        if self.failures.is_power_of_two() {
            LogLine::new("store_lost")
                .with("call", self.call)
                .with("failures", self.failures)
                .with("error", error)
                .warn();
        }
        tokio::time::sleep(wait.min(LONGEST_BACKOFF)).await;
    }
}
