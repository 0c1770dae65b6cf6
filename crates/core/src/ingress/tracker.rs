//! Which configuration is in force here, and how old that knowledge is.

use std::sync::Arc;

use crate::{
    clock::{ClockTime, TimeSpan},
    ingress::{IngressConfiguration, RouteTable},
};

/// What became of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and now in force.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older than the one in force and was dropped.
    Older,
}

/// The configuration in force and its freshness.
///
/// Times are of a clock that goes on while the process is suspended: an instance
/// that wakes after some seconds must not take its old keys for fresh.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTracker {
    table: Option<Arc<RouteTable>>,
    confirmed_at: Option<ClockTime>,
    /// Newer versions that others advertised, each with the time of the first advert.
    newer_versions: Vec<(u64, ClockTime)>,
}

impl ConfigurationTracker {
    /// Nothing read yet.
    pub fn new() -> ConfigurationTracker {
        ConfigurationTracker::default()
    }

    /// Takes a configuration that was read.
    ///
    /// Reads overtake each other and a peer may be behind. Were an older version
    /// put in force again, a withdrawn key would work again and requests would
    /// run at a service that their route has left; so versions only rise.
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

    /// Another instance advertises that it has `version` in force.
    pub fn note_advertised(&mut self, now: ClockTime, version: u64) {
        let newest = self.newer_versions.last().map(|(newest, _)| *newest);
        if newest.max(self.version()) < Some(version) {
            self.newer_versions.push((version, now));
        }
    }

    /// Whether the version in force has been known to be replaced for `limit` or more.
    /// What it allows, such as a key or a service that a route has left, may then be
    /// against what the operator was promised.
    pub fn is_outdated(&self, now: ClockTime, limit: TimeSpan) -> bool {
        let first = self.newer_versions.first();
        first.is_some_and(|(_, advertised_at)| now.since(*advertised_at) >= limit)
    }

    /// A read that was sent at `sent` came back complete and has been applied:
    /// whatever stood in the store at that moment is known here.
    pub fn confirm(&mut self, sent: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        let table = self.table.as_ref()?;
        Some(table.configuration().version)
    }

    /// How old the newest confirmation is; nothing if there was none.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether keys may be trusted: the newest confirmation is younger than `limit`.
    pub fn is_fresh(&self, now: ClockTime, limit: TimeSpan) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
