//! Meters delivered usage by organisation and service, and records it in the log.
//!
//! Only data that Rocket has read from a body counts: a token is counted when the
//! body is asked for the data after it, so a caller that disconnected is not billed
//! for what it did not receive, except for what the socket buffers hold. The
//! number of prompt tokens is known from the end mark and counted with it; a
//! cancelled answer is billed for its output only.
//!
//! An append with an unknown outcome is not repeated under another sequence number:
//! both could count. Its usage is dropped and counted in
//! `bluebell_usage_in_doubt_tokens_total`; readers may still see it once. A killed
//! entry loses the usage it had not flushed: at most one flush interval's worth
//! plus what was waiting during an outage of the log. Bills are then too low,
//! never too high.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, OrganisationId, ServiceName},
    records::{LogRecord, UsageDelta, UsageLine, UsageWindow},
    units::TokenCount,
};
use bluebell_daemon::logs::LogLine;
use bluebell_node::{AppendError, NodeHandle};
use prometheus::IntCounter;
use tokio_util::sync::CancellationToken;

/// The organisation and service that usage is billed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageOwner {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// An amount of delivered usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageCount {
    /// Answers, complete or partial.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

impl UsageCount {
    fn add(&mut self, other: UsageCount) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

type WindowCounts = BTreeMap<UsageWindow, BTreeMap<UsageOwner, UsageCount>>;

/// Usage that is not recorded yet; clones share it.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    counts: Arc<Mutex<WindowCounts>>,
    window: TimeSpan,
    in_doubt: IntCounter,
}

impl UsageMeter {
    /// Creates an empty meter with usage windows of length `window`. Output tokens whose
    /// append has an unknown outcome are added to `in_doubt`.
    pub fn new(window: TimeSpan, in_doubt: IntCounter) -> UsageMeter {
        UsageMeter {
            counts: Arc::default(),
            window,
            in_doubt,
        }
    }

    /// Adds delivered usage to the window of `now`.
    pub fn add(&self, now: ClockTime, owner: &UsageOwner, count: UsageCount) {
        if count == UsageCount::default() {
            return;
        }
        let window = UsageWindow::at(now, self.window);
        self.add_to_window(window, owner.clone(), count);
    }

    fn add_to_window(&self, window: UsageWindow, owner: UsageOwner, count: UsageCount) {
        let mut counts = self.counts.lock().expect("no holder panics");
        let owners = counts.entry(window).or_default();
        owners.entry(owner).or_default().add(count);
    }

    /// Records the usage, window by window; returns whether none has to be retried.
    pub async fn flush(&self, node: &NodeHandle) -> bool {
        let counts = std::mem::take(&mut *self.counts.lock().expect("no holder panics"));
        let mut all_recorded = true;
        for (window, owners) in counts {
            all_recorded &= self.record(node, window, owners).await;
        }
        all_recorded
    }

    async fn record(
        &self,
        node: &NodeHandle,
        window: UsageWindow,
        owners: BTreeMap<UsageOwner, UsageCount>,
    ) -> bool {
        let entry = node.settings().instance.clone();
        let delta = usage_delta(entry, window, &owners);
        let error = match node.append(LogRecord::Usage(delta)).await {
            Ok(_) => return true,
            Err(error) => error,
        };
        LogLine::new("usage_not_recorded")
            .with("window", window)
            .with("error", &error)
            .warn();
        match error {
            AppendError::NotAppended(_) => {
                for (owner, count) in owners {
                    self.add_to_window(window, owner, count);
                }
                false
            }
            AppendError::Unknown(_) => {
                let tokens = owners.values().map(|count| count.output_tokens).sum();
                self.in_doubt.inc_by(tokens);
                true
            }
        }
    }

    /// Flushes every `interval` until `token` is cancelled.
    pub async fn run(self, node: NodeHandle, interval: TimeSpan, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(interval.as_duration()) => {}
            }
            self.flush(&node).await;
        }
    }

    /// Records the remaining usage of a stopping entry, retrying for at most `limit`.
    pub async fn flush_all(&self, node: &NodeHandle, limit: TimeSpan) {
        let flush = async {
            while !self.flush(node).await {
                tokio::time::sleep(TimeSpan::from_millis(100).as_duration()).await;
            }
        };
        let _ = tokio::time::timeout(limit.as_duration(), flush).await;
    }
}

fn usage_delta(
    entry: InstanceId,
    window: UsageWindow,
    owners: &BTreeMap<UsageOwner, UsageCount>,
) -> UsageDelta {
    let line = |(owner, count): (&UsageOwner, &UsageCount)| UsageLine {
        organisation: owner.organisation.clone(),
        service: owner.service.clone(),
        requests: count.requests,
        prompt_tokens: TokenCount::new(count.prompt_tokens),
        output_tokens: TokenCount::new(count.output_tokens),
    };
    UsageDelta {
        entry,
        window,
        lines: owners.iter().map(line).collect(),
    }
}
