//! Changes of configuration and withdrawals of keys.

use serde::{Deserialize, Serialize};

use crate::{
    config::{UnitBody, UnitName},
    ids::{KeyDigest, LogOffset},
};

/// A change of several units that takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRecord {
    /// Who publishes, for the loser of a race to read.
    pub publisher: String,
    /// The changes.
    pub changes: Vec<UnitChange>,
}

/// A change of one unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnitChange {
    /// The unit.
    pub unit: UnitName,
    /// The version that the change was made from; none if the unit was new.
    pub base: Option<LogOffset>,
    /// The new content; none removes the unit.
    pub body: Option<UnitBody>,
}

/// The withdrawal of a key. It is never undone: a key that is granted again has
/// another digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// Who withdrew it.
    pub publisher: String,
}
