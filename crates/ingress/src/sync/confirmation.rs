//! Confirmations of the configuration in force and of the directory of endpoints.

use std::time::Duration;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    relay::{ConfirmationSource, StateValidity, relay_age_limit},
};
use bluebell_daemon::logs::LogLine;

use crate::{context::EntryContext, sync::configuration};

/// How long a request waits for a confirmation. A read of the store that is under way, or the next
/// message of the reader, takes less.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(300);

/// How long a request waits until the state is known as of its arrival: a read of the store, and the
/// message with which the reader relays it.
const STATE_WAIT: Duration = Duration::from_millis(1_500);

/// Waits until `is_confirmed`, for [`CONFIRMATION_WAIT`] at most; returns whether it is.
pub async fn wait_for_confirmation<Check>(context: &EntryContext, is_confirmed: Check) -> bool
where
    Check: Fn() -> bool,
{
    wait_until(context, CONFIRMATION_WAIT, is_confirmed).await
}

async fn wait_until<Check>(context: &EntryContext, limit: Duration, is_confirmed: Check) -> bool
where
    Check: Fn() -> bool,
{
    let wait = tokio::time::sleep(limit);
    let mut wait = std::pin::pin!(wait);
    loop {
        let confirmed = context.confirmed.notified();
        if is_confirmed() {
            return true;
        }
        tokio::select! {
            () = confirmed => {}
            () = wait.as_mut() => return is_confirmed(),
        }
    }
}

/// Whether requests may be sent by the directory of endpoints, after a wait for a confirmation
/// that is due.
pub async fn is_directory_confirmed(context: &EntryContext) -> bool {
    let validity = || context.directory_validity(context.now());
    wait_for_confirmation(context, || validity() != StateValidity::Unconfirmed).await
}

/// Waits until everything is known that was in force or registered at `at`, for
/// [`STATE_WAIT`] at most and while the store may still answer; returns whether it is.
pub async fn is_state_known_since(context: &EntryContext, at: ClockTime) -> bool {
    context.read_due.notify_one();
    let is_known = || context.is_state_known_since(at);
    let is_decided = || is_known() || context.is_cut_off(context.now());
    let waiting = wait_until(context, STATE_WAIT, is_decided);
    let confirming = async {
        configuration::confirm_since(context, at).await;
        // Confirmed or not, the endpoints may not be known yet.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        _ = waiting => {}
        () = confirming => {}
    }
    is_known()
}

/// Logs that the directory of endpoints, which had the age `before`, is confirmed again if it was
/// too old to be relayed.
pub fn log_directory_confirmed(context: &EntryContext, before: Option<TimeSpan>) {
    let limit = relay_age_limit(context.settings.bounds.endpoint_drain);
    let status = context.directory_status(context.now());
    if let Some(before) = before.filter(|age| *age >= limit && status.age < Some(limit)) {
        LogLine::new("endpoints_confirmed")
            .with("endpoints", status)
            .with("after", before)
            .info();
    }
}

/// Confirms the version in force if it is `version`, which was known to be the newest one at
/// `known_at`. Logs the confirmation of a configuration that was too old to be relayed.
pub fn confirm_version(
    context: &EntryContext,
    version: u64,
    known_at: ClockTime,
    source: ConfirmationSource,
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
