//! The configuration in force on this instance and the age of its last confirmation.

use std::sync::Arc;

use crate::{
    clock::{ClockTime, TimeSpan},
    ingress::{IngressConfiguration, RouteTable},
};

/// How a configuration that was read compares with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and was put in force.
    Newer,
    /// It is the version in force.
    Same,
    /// It is older than the one in force and was dropped.
    Older,
}

/// The configuration in force and its freshness.
///
/// Times are of a clock that keeps running while the process is suspended: an instance
/// that resumes after some seconds must not treat its old keys as fresh.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTracker {
    table: Option<Arc<RouteTable>>,
    confirmed_at: Option<ClockTime>,
    /// Newer versions that other instances advertised, each with the time at which it
    /// was first received.
    newer_versions: Vec<(u64, ClockTime)>,
}

impl ConfigurationTracker {
    /// A tracker without a configuration.
    pub fn new() -> ConfigurationTracker {
        ConfigurationTracker::default()
    }

    /// Puts a configuration that was read in force, unless a version at least as new
    /// is in force already.
    ///
    /// Reads can overtake each other, and a peer can be behind. If an older version
    /// came into force again, a withdrawn key would be accepted again and requests
    /// would be sent to a service that their route no longer names.
    pub fn offer(&mut self, configuration: IngressConfiguration) -> OfferOutcome {
        match self.version() {
            Some(version) if configuration.version == version => OfferOutcome::Same,
            Some(version) if configuration.version < version => OfferOutcome::Older,
            _ => {
                self.newer_versions
                    .retain(|(newer, _)| *newer > configuration.version);
                self.table = Some(Arc::new(RouteTable::new(configuration)));
                OfferOutcome::Newer
            }
        }
    }

    /// Records that another instance advertises `version` as in force.
    pub fn note_advertised(&mut self, now: ClockTime, version: u64) {
        let newest = self.newer_versions.last().map(|(newest, _)| *newest);
        if newest.max(self.version()) < Some(version) {
            self.newer_versions.push((version, now));
        }
    }

    /// Whether a newer version has been known for `limit` or longer without being put
    /// in force here. The version in force may then still accept a key or use a service
    /// after the bound within which the operator's change has to take effect.
    pub fn is_outdated(&self, now: ClockTime, limit: TimeSpan) -> bool {
        let first = self.newer_versions.first();
        first.is_some_and(|(_, advertised_at)| now.since(*advertised_at) >= limit)
    }

    /// Records that a read sent at `sent` returned completely and has been applied:
    /// everything that the store held at that time is known here.
    pub fn confirm(&mut self, sent: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// The route table of the configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        let table = self.table.as_ref()?;
        Some(table.configuration().version)
    }

    /// The age of the newest confirmation; `None` if there was none.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether keys may be accepted: the newest confirmation is younger than `limit`.
    pub fn is_fresh(&self, now: ClockTime, limit: TimeSpan) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
