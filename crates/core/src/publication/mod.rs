//! The configuration in force, computed from publish records in the order of the log.
//!
//! A publish names, for each unit, the version that it is based on. It is accepted only
//! if all of these are still current at its offset, so of two racing operators the first
//! in the log wins, and the second receives a refusal that names the winner. Versions
//! are offsets, and an older one is never applied.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound::{Included, Unbounded},
};

use crate::{
    config::{KeyUnit, OrganisationUnit, RuleUnit, ServiceUnit, UnitBody, UnitKind, UnitName},
    ids::{KeyDigest, LogOffset, OrganisationId, ServiceName},
    records::{CheckpointItem, PublishRecord, UnitChange},
};

/// The current version of a unit, or the version that removed it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct UnitVersion {
    /// The offset of the publish record.
    pub version: LogOffset,
    /// The publisher.
    pub publisher: String,
    /// The content; `None` if the unit was removed.
    pub body: Option<UnitBody>,
}

/// Why a publish record was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishRefusal {
    /// Another publish changed the unit since the version that this one is based on.
    #[error(
        "`{unit}` was changed by `{winner}` at version {current} since the publish was prepared"
    )]
    Stale {
        /// The unit.
        unit: UnitName,
        /// The publisher of that change.
        winner: String,
        /// The version in force.
        current: LogOffset,
    },
    /// The content is of another kind than the unit's name.
    #[error("the content of `{unit}` is of another kind than its name")]
    WrongKind {
        /// The unit.
        unit: UnitName,
    },
    /// The publish is based on a version that never was in the log.
    #[error("`{unit}` is changed based on version {base}, which was never in force")]
    UnknownBase {
        /// The unit.
        unit: UnitName,
        /// The version that the publish names.
        base: LogOffset,
    },
    /// The record changes the same unit twice.
    #[error("`{unit}` is changed twice by one publish")]
    DuplicateChange {
        /// The unit.
        unit: UnitName,
    },
    /// Two units would hold the same key, and the organisation that it admits would depend
    /// on their names.
    #[error("`{unit}` holds the same key as `{holder}`")]
    DigestTaken {
        /// The unit.
        unit: UnitName,
        /// The unit that holds the key.
        holder: UnitName,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ConfigurationState {
    units: BTreeMap<UnitName, UnitVersion>,
    #[serde(skip)]
    holders: BTreeMap<KeyDigest, UnitName>,
}

impl ConfigurationState {
    /// An empty configuration.
    pub fn new() -> ConfigurationState {
        ConfigurationState::default()
    }

    /// Applies the publish record at `offset`, either completely or not at all. Returns
    /// the keys that no longer admit the organisation that they admitted before.
    ///
    /// # Errors
    ///
    /// Returns why the record is refused; the configuration is unchanged.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &PublishRecord,
    ) -> Result<Vec<KeyDigest>, PublishRefusal> {
        let mut changed = BTreeSet::new();
        for change in &record.changes {
            self.check_change(change)?;
            if !changed.insert(&change.unit) {
                let unit = change.unit.clone();
                return Err(PublishRefusal::DuplicateChange { unit });
            }
        }
        self.check_digests(record, &changed)?;
        let before = record
            .changes
            .iter()
            .filter_map(|change| self.key_of(&change.unit));
        let before: Vec<KeyUnit> = before.cloned().collect();
        for change in &record.changes {
            let version = UnitVersion {
                version: offset,
                publisher: record.publisher.clone(),
                body: change.body.clone(),
            };
            self.release_digest(&change.unit);
            self.put(change.unit.clone(), version);
        }
        // If a key moves between units of this record, releasing the old unit's digest may
        // have removed the new unit's entry, so all digests are assigned again.
        for change in &record.changes {
            self.assign_digest(&change.unit, change.body.as_ref());
        }
        let lost = |key: &KeyUnit| self.organisation_of(&key.digest) != Some(&key.organisation);
        let lost = before.into_iter().filter(lost);
        Ok(lost.map(|key| key.digest).collect())
    }

    fn key_of(&self, name: &UnitName) -> Option<&KeyUnit> {
        match self.units.get(name)?.body.as_ref()? {
            UnitBody::Key(key) => Some(key),
            _ => None,
        }
    }

    /// The organisation that a key is granted to, whether or not the key was withdrawn.
    pub fn organisation_of(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        let key = self.key_of(self.holders.get(digest)?)?;
        Some(&key.organisation)
    }

    /// The digests of all granted keys.
    pub fn key_digests(&self) -> impl Iterator<Item = &KeyDigest> {
        self.holders.keys()
    }

    fn put(&mut self, name: UnitName, version: UnitVersion) {
        self.assign_digest(&name, version.body.as_ref());
        self.units.insert(name, version);
    }

    fn assign_digest(&mut self, name: &UnitName, body: Option<&UnitBody>) {
        if let Some(UnitBody::Key(key)) = body {
            self.holders.insert(key.digest.clone(), name.clone());
        }
    }

    fn release_digest(&mut self, name: &UnitName) {
        if let Some(digest) = self.key_of(name).map(|key| key.digest.clone()) {
            self.holders.remove(&digest);
        }
    }

    fn check_digests(
        &self,
        record: &PublishRecord,
        changed: &BTreeSet<&UnitName>,
    ) -> Result<(), PublishRefusal> {
        let mut taken: BTreeMap<&KeyDigest, &UnitName> = BTreeMap::new();
        for change in &record.changes {
            let Some(UnitBody::Key(key)) = &change.body else {
                continue;
            };
            let stays = |holder: &&UnitName| **holder != change.unit && !changed.contains(holder);
            let holder = self.holders.get(&key.digest).filter(stays);
            let holder = holder.or(taken.insert(&key.digest, &change.unit));
            if let Some(holder) = holder {
                return Err(PublishRefusal::DigestTaken {
                    unit: change.unit.clone(),
                    holder: holder.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_change(&self, change: &UnitChange) -> Result<(), PublishRefusal> {
        let unit = change.unit.clone();
        if change
            .body
            .as_ref()
            .is_some_and(|body| body.kind() != unit.kind())
        {
            return Err(PublishRefusal::WrongKind { unit });
        }
        let Some(current) = self.units.get(&change.unit) else {
            return match change.base {
                None => Ok(()),
                Some(base) => Err(PublishRefusal::UnknownBase { unit, base }),
            };
        };
        if change.base == Some(current.version) {
            return Ok(());
        }
        let winner = current.publisher.clone();
        Err(PublishRefusal::Stale {
            unit,
            winner,
            current: current.version,
        })
    }

    /// The configuration as checkpoint items, including removed units: a unit that is
    /// created again must not count as one that never existed.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |(unit, version): (&UnitName, &UnitVersion)| CheckpointItem::Unit {
            unit: unit.clone(),
            version: version.version,
            publisher: version.publisher.clone(),
            body: version.body.clone(),
        };
        self.units.iter().map(item).collect()
    }

    /// Restores a unit from a checkpoint item; other items are ignored.
    pub fn restore(&mut self, item: &CheckpointItem) {
        if let CheckpointItem::Unit {
            unit,
            version,
            publisher,
            body,
        } = item
        {
            let version = UnitVersion {
                version: *version,
                publisher: publisher.clone(),
                body: body.clone(),
            };
            self.put(unit.clone(), version);
        }
    }

    /// The current version of a unit, also if it was removed.
    pub fn unit(&self, name: &UnitName) -> Option<&UnitVersion> {
        self.units.get(name)
    }

    /// All units by name, including removed ones.
    pub fn units(&self) -> impl Iterator<Item = (&UnitName, &UnitVersion)> {
        self.units.iter()
    }

    fn body(&self, kind: UnitKind, name: &str) -> Option<&UnitBody> {
        let name = UnitName::new(kind, name).ok()?;
        self.units.get(&name)?.body.as_ref()
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceUnit> {
        match self.body(UnitKind::Service, name.as_str())? {
            UnitBody::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The organisation with this name.
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationUnit> {
        match self.body(UnitKind::Organisation, name.as_str())? {
            UnitBody::Organisation(organisation) => Some(organisation),
            _ => None,
        }
    }

    /// Whether the rules allow a call of `service` to be repeated. The rule with the longest
    /// matching path prefix decides; without a matching rule the call may not be repeated.
    pub fn is_repeatable(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        let first = Included(UnitName::first_of(UnitKind::Rule));
        let from_first_rule = self.units.range((first, Unbounded));
        let rules = from_first_rule.map_while(|(name, unit)| match &unit.body {
            Some(UnitBody::Rule(rule)) => Some(Some(rule)),
            _ => (name.kind() == UnitKind::Rule).then_some(None),
        });
        let rules = rules.flatten();
        rules
            .filter(|rule| rule_matches(rule, service, method, path))
            .max_by_key(|rule| {
                (
                    rule.path_prefix.len(),
                    rule.method.is_some(),
                    !rule.repeatable,
                )
            })
            .is_some_and(|rule| rule.repeatable)
    }
}

fn rule_matches(rule: &RuleUnit, service: &ServiceName, method: &str, path: &str) -> bool {
    let method_matches = rule
        .method
        .as_ref()
        .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
    rule.service == *service && method_matches && path.starts_with(&rule.path_prefix)
}
