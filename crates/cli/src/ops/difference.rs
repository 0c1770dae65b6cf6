//! The difference between the files and what is in force.

use std::{collections::BTreeSet, fmt};

use bluebell_core::{
    config::{UnitBody, UnitKind, UnitName},
    records::UnitChange,
    view::FleetView,
};
use serde::Serialize;

use crate::ops::collect::UnitCollection;

/// One field that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldDifference {
    /// The field.
    pub field: String,
    /// Its value in force; none if it is new.
    pub before: Option<serde_json::Value>,
    /// Its value in the files; none if it goes.
    pub after: Option<serde_json::Value>,
}

/// One unit that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnitDifference {
    /// The change, with the version it is made from.
    #[serde(flatten)]
    pub change: UnitChange,
    /// Its fields that change.
    pub fields: Vec<FieldDifference>,
}

/// All units that change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigurationDifference {
    /// The units, by name.
    pub units: Vec<UnitDifference>,
}

impl ConfigurationDifference {
    /// The difference between the collection and what `view` has in force. With
    /// `prune`, units that the files don't name are removed, keys excepted:
    /// those are granted and withdrawn without files too.
    pub fn new(
        collection: &UnitCollection,
        view: &FleetView,
        prune: bool,
    ) -> ConfigurationDifference {
        let mut units: Vec<UnitDifference> = collection
            .units
            .iter()
            .filter_map(|unit| difference(view, &unit.name, Some(&unit.body)))
            .collect();
        if prune {
            let gone = view.configuration.units().filter(|(name, _)| {
                name.kind() != UnitKind::Key && collection.unit(name).is_none()
            });
            units.extend(gone.filter_map(|(name, _)| difference(view, name, None)));
        }
        units.sort_by(|a, b| a.change.unit.cmp(&b.change.unit));
        ConfigurationDifference { units }
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.units.is_empty()
    }
}

fn difference(
    view: &FleetView,
    name: &UnitName,
    after: Option<&UnitBody>,
) -> Option<UnitDifference> {
    let current = view.configuration.unit(name);
    let before = current.and_then(|unit| unit.body.as_ref());
    if before == after {
        return None;
    }
    Some(UnitDifference {
        change: UnitChange {
            unit: name.clone(),
            base: current.map(|unit| unit.version),
            body: after.cloned(),
        },
        fields: fields(before, after),
    })
}

fn fields(before: Option<&UnitBody>, after: Option<&UnitBody>) -> Vec<FieldDifference> {
    let before = before.and_then(|body| serde_json::to_value(body).ok());
    let after = after.and_then(|body| serde_json::to_value(body).ok());
    let names: BTreeSet<String> = [&before, &after]
        .into_iter()
        .flatten()
        .filter_map(|value| value.as_object())
        .flat_map(|object| object.keys().cloned())
        .filter(|name| name != "kind")
        .collect();
    let get = |value: &Option<serde_json::Value>, name: &str| value.as_ref()?.get(name).cloned();
    names
        .into_iter()
        .map(|field| FieldDifference {
            before: get(&before, &field),
            after: get(&after, &field),
            field,
        })
        .filter(|field| field.before != field.after)
        .collect()
}

impl fmt::Display for ConfigurationDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for unit in &self.units {
            write!(f, "{unit}")?;
        }
        Ok(())
    }
}

impl fmt::Display for UnitDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let new = self.fields.iter().all(|field| field.before.is_none());
        let sign = match (&self.change.body, new) {
            (None, _) => '-',
            (Some(_), true) => '+',
            (Some(_), false) => '~',
        };
        writeln!(f, "{sign} {}", self.change.unit)?;
        if self.change.body.is_none() {
            return Ok(());
        }
        for field in &self.fields {
            let after = field
                .after
                .as_ref()
                .map_or("none".to_string(), |v| v.to_string());
            match &field.before {
                Some(before) => writeln!(f, "    {}: {before} -> {after}", field.field)?,
                None => writeln!(f, "    {}: {after}", field.field)?,
            }
        }
        Ok(())
    }
}
