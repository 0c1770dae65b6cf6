//! Configuration changes and withdrawals of caller keys.

use serde::{Deserialize, Serialize};

use crate::{
    config::{UnitBody, UnitName},
    ids::{KeyDigest, LogOffset},
};

/// A change of one or more units, which takes effect completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRecord {
    /// The operator who publishes, shown to an operator whose concurrent change is
    /// refused.
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
    /// The version on which the change is based; `None` if the unit was new.
    pub base: Option<LogOffset>,
    /// The new content; `None` removes the unit.
    pub body: Option<UnitBody>,
}

/// The withdrawal of a caller's key. It is never undone: an organisation that is
/// granted access again gets a key with another digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// The operator who withdrew the key.
    pub publisher: String,
}
