//! Configuration in force, by the reader's rule over publish records.
//!
//! A publish names for each unit the version it was made from. It is accepted
//! only if all of those are still current at its offset, so of two operators
//! that race the first in the log wins and the second gets a refusal that
//! names the winner. Versions are offsets, and nothing applies an older one.

use std::collections::BTreeMap;

use crate::{
    config::{OrganisationUnit, RuleUnit, ServiceUnit, UnitBody, UnitName},
    ids::{LogOffset, OrganisationId, ServiceName},
    records::PublishRecord,
};

/// A unit in force, or the memory of a removed one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct UnitVersion {
    /// The offset of the publish that it came with.
    pub version: LogOffset,
    /// Who published it.
    pub publisher: String,
    /// The content; none if the unit was removed.
    pub body: Option<UnitBody>,
}

/// Why a publish record was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishRefusal {
    /// Another publish of the same unit came first.
    #[error(
        "`{unit}` was changed by `{winner}` at version {current} since the publish was prepared"
    )]
    Stale {
        /// The unit.
        unit: UnitName,
        /// Who changed it.
        winner: String,
        /// The version in force.
        current: LogOffset,
    },
    /// The content is not of the kind that the unit's name says.
    #[error("`{unit}` has content of another kind")]
    WrongKind {
        /// The unit.
        unit: UnitName,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ConfigurationState {
    units: BTreeMap<UnitName, UnitVersion>,
}

impl ConfigurationState {
    /// No configuration at all.
    pub fn new() -> ConfigurationState {
        ConfigurationState::default()
    }

    /// Applies a publish record read at `offset`, as a whole or not at all.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &PublishRecord,
    ) -> Result<(), PublishRefusal> {
        for change in &record.changes {
            self.check_change(change)?;
        }
        for change in &record.changes {
            let version = UnitVersion {
                version: offset,
                publisher: record.publisher.clone(),
                body: change.body.clone(),
            };
            self.units.insert(change.unit.clone(), version);
        }
        Ok(())
    }

    fn check_change(&self, change: &crate::records::UnitChange) -> Result<(), PublishRefusal> {
        let unit = change.unit.clone();
        if change
            .body
            .as_ref()
            .is_some_and(|body| body.kind() != unit.kind())
        {
            return Err(PublishRefusal::WrongKind { unit });
        }
        let Some(current) = self.units.get(&change.unit) else {
            return Ok(());
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

    /// The unit as it is in force, removed ones included.
    pub fn unit(&self, name: &UnitName) -> Option<&UnitVersion> {
        self.units.get(name)
    }

    /// All units, removed ones included, by name.
    pub fn units(&self) -> impl Iterator<Item = (&UnitName, &UnitVersion)> {
        self.units.iter()
    }

    fn body(&self, kind: crate::config::UnitKind, name: &str) -> Option<&UnitBody> {
        let name = UnitName::new(kind, name).ok()?;
        self.units.get(&name)?.body.as_ref()
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceUnit> {
        match self.body(crate::config::UnitKind::Service, name.as_str())? {
            UnitBody::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The organisation of this name.
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationUnit> {
        match self.body(crate::config::UnitKind::Organisation, name.as_str())? {
            UnitBody::Organisation(organisation) => Some(organisation),
            _ => None,
        }
    }

    /// Whether rules say that a call of `service` may be repeated: the longest
    /// matching prefix decides, and without any match it may not.
    pub fn repeatable(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        let rules = self.units.values().filter_map(|unit| match &unit.body {
            Some(UnitBody::Rule(rule)) => Some(rule),
            _ => None,
        });
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
