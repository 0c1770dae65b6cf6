//! The configuration in force on this instance and the age of its last confirmation.

use std::{fmt, sync::Arc};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
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

/// A version that another instance advertised before it was in force here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AdvertisedVersion {
    /// The version.
    pub version: u64,
    /// When its first advertisement arrived.
    pub advertised_at: ClockTime,
    /// The instance that sent this advertisement.
    pub source: InstanceId,
}

/// What is known of the configuration at some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationStatus {
    /// The version in force; `None` before the first one.
    pub version: Option<u64>,
    /// The age of the newest confirmation that it is the newest version.
    pub age: Option<TimeSpan>,
    /// The newest version that is known but not in force.
    pub newer: Option<AdvertisedVersion>,
    /// The time since that version was first advertised.
    pub newer_known_for: Option<TimeSpan>,
}

impl fmt::Display for ConfigurationStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => write!(f, "version {version}")?,
            None => write!(f, "no version")?,
        }
        match self.age {
            Some(age) => write!(f, " confirmed {age} ago")?,
            None => write!(f, " never confirmed")?,
        }
        let newer = self.newer.as_ref().zip(self.newer_known_for);
        match newer {
            Some((newer, known_for)) => {
                let (version, source) = (newer.version, &newer.source);
                write!(f, ", {version} advertised by {source} {known_for} ago")
            }
            None => write!(f, ", no newer one advertised"),
        }
    }
}

/// The configuration in force and its freshness.
///
/// Times are of a clock that keeps running while the process is suspended: an instance
/// that resumes after some seconds must not treat its old keys as fresh.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTracker {
    table: Option<Arc<RouteTable>>,
    confirmed_at: Option<ClockTime>,
    /// Newer versions that other instances advertised, in rising order.
    newer_versions: Vec<AdvertisedVersion>,
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
                    .retain(|newer| newer.version > configuration.version);
                self.table = Some(Arc::new(RouteTable::new(configuration)));
                OfferOutcome::Newer
            }
        }
    }

    /// Records that `source` advertises `version` as in force there.
    pub fn note_advertised(&mut self, now: ClockTime, version: u64, source: &InstanceId) {
        let newest = self.newer_versions.last().map(|newest| newest.version);
        if newest.max(self.version()) < Some(version) {
            self.newer_versions.push(AdvertisedVersion {
                version,
                advertised_at: now,
                source: source.clone(),
            });
        }
    }

    /// Whether a newer version has been known for `limit` or longer without being put
    /// in force here. The version in force may then still accept a key or use a service
    /// after the bound within which the operator's change has to take effect.
    pub fn is_outdated(&self, now: ClockTime, limit: TimeSpan) -> bool {
        !self.newer_versions.is_empty() && self.superseded_for(now) >= limit
    }

    /// The time since a newer version was first advertised; zero if none was.
    pub fn superseded_for(&self, now: ClockTime) -> TimeSpan {
        let first = self.newer_versions.first();
        first.map_or(TimeSpan::ZERO, |first| now.since(first.advertised_at))
    }

    /// Records that a read sent at `sent` returned completely and has been applied:
    /// everything that the store held at that time is known here.
    pub fn confirm(&mut self, sent: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// What is known of the configuration at `now`.
    pub fn status(&self, now: ClockTime) -> ConfigurationStatus {
        let newer = self.newer_versions.last().cloned();
        ConfigurationStatus {
            version: self.version(),
            age: self.age(now),
            newer_known_for: newer.as_ref().map(|newer| now.since(newer.advertised_at)),
            newer,
        }
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
