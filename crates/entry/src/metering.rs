//! What was delivered, counted by organisation and service, on its way to the log.
//!
//! Only what Rocket has taken off a body counts: a token is noted when the body is
//! asked for what comes after it, so a caller who left is not billed for what it
//! never got (but for what the sockets' buffers hold). Prompt tokens are known
//! from the end mark and count with it; a cancelled answer bills its output only.
//!
//! An append whose fate is unknown is not repeated under another number: both
//! could count. Its figures are given up and counted in
//! `bluebell_usage_in_doubt_tokens_total`; readers may still see them once. A
//! killed entry loses what it had not flushed, at most one flush interval's worth
//! plus what an outage of the log kept waiting. Bills are too low then, never too
//! high.

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

/// Whose usage it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageOwner {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// How much was delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageCount {
    /// Answers, in whole or in part.
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

/// The counters that are not recorded yet; clones share them.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    counts: Arc<Mutex<WindowCounts>>,
    window: TimeSpan,
    in_doubt: IntCounter,
}

impl UsageMeter {
    /// Nothing counted yet, in windows of this length.
    pub fn new(window: TimeSpan, in_doubt: IntCounter) -> UsageMeter {
        UsageMeter {
            counts: Arc::default(),
            window,
            in_doubt,
        }
    }

    /// Counts what was delivered.
    pub fn add(&self, now: ClockTime, owner: &UsageOwner, count: UsageCount) {
        if count == UsageCount::default() {
            return;
        }
        let window = UsageWindow::at(now, self.window);
        self.put(window, owner.clone(), count);
    }

    fn put(&self, window: UsageWindow, owner: UsageOwner, count: UsageCount) {
        let mut counts = self.counts.lock().expect("no holder panics");
        let owners = counts.entry(window).or_default();
        owners.entry(owner).or_default().add(count);
    }

    /// Records what was counted, window by window; answers whether nothing is left.
    pub async fn flush(&self, node: &NodeHandle) -> bool {
        let counts = std::mem::take(&mut *self.counts.lock().expect("no holder panics"));
        let mut all = true;
        for (window, owners) in counts {
            all &= self.record(node, window, owners).await;
        }
        all
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
                    self.put(window, owner, count);
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

    /// Records every `interval` until `token` is cancelled.
    pub async fn run(self, node: NodeHandle, interval: TimeSpan, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(interval.as_duration()) => {}
            }
            self.flush(&node).await;
        }
    }

    /// Records the last counts of a stopping entry, trying for at most `limit`.
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
