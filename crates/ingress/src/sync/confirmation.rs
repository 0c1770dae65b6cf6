//! Confirmations that the configuration in force is the newest version.

use std::fmt;

use bluebell_core::{clock::ClockTime, ids::InstanceId, relay::relay_age_limit};
use bluebell_daemon::logs::LogLine;

use crate::context::EntryContext;

/// Where a confirmation comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationSource<'a> {
    /// A read of the store by this instance.
    Store,
    /// A copy from another instance.
    Copy,
    /// The advertisement of the reader.
    Reader,
    /// The relay message of an instance.
    Instance(&'a InstanceId),
}

impl fmt::Display for ConfirmationSource<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfirmationSource::Store => f.write_str("store"),
            ConfirmationSource::Copy => f.write_str("copy"),
            ConfirmationSource::Reader => f.write_str("reader"),
            ConfirmationSource::Instance(instance) => instance.fmt(f),
        }
    }
}

/// Confirms the version in force if it is `version`, which was known to be the newest one at
/// `known_at`. Logs the confirmation of a configuration that was too old to be relayed.
pub fn confirm_version(
    context: &EntryContext,
    version: u64,
    known_at: ClockTime,
    source: ConfirmationSource<'_>,
) {
    let now = context.now();
    let mut tracker = context.configuration.lock();
    if tracker.version() != Some(version) {
        return;
    }
    let age = tracker.age(now);
    tracker.confirm(known_at);
    let confirmed_age = tracker.age(now);
    drop(tracker);
    context.confirmed.notify_waiters();
    let limit = relay_age_limit(context.settings.bounds.configuration_rollout);
    if let Some(age) = age.filter(|age| *age >= limit && confirmed_age < Some(limit)) {
        LogLine::new("configuration_confirmed")
            .with("version", version)
            .with("source", source)
            .with("after", age)
            .info();
    }
}
