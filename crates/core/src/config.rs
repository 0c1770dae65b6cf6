//! What operators publish: services, organisations, caller keys and rules.
//!
//! A [`UnitName`] names one unit of configuration; a [`UnitBody`] is its
//! content. Both travel in the log's publish records.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{KeyDigest, ModelName, OrganisationId, ParseIdError, ServiceName},
    units::{ShareWeight, TokenCount},
};

/// The kinds of configuration units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnitKind {
    /// A [`ServiceUnit`].
    Service,
    /// An [`OrganisationUnit`].
    Organisation,
    /// A [`KeyUnit`].
    Key,
    /// A [`RuleUnit`].
    Rule,
}

impl fmt::Display for UnitKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnitKind::Service => "service",
            UnitKind::Organisation => "organisation",
            UnitKind::Key => "key",
            UnitKind::Rule => "rule",
        })
    }
}

/// The name of a unit, written `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct UnitName {
    kind: UnitKind,
    name: String,
}

/// A text that is no [`UnitName`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseUnitError {
    /// The part before the slash names no kind.
    #[error("`{0}` is not a unit: expected `service/…`, `organisation/…`, `key/…` or `rule/…`")]
    Kind(String),
    /// The part after the slash is no identifier.
    #[error(transparent)]
    Name(#[from] ParseIdError),
}

impl UnitName {
    /// The unit of this kind and name.
    pub fn new(kind: UnitKind, name: &str) -> Result<UnitName, ParseUnitError> {
        let name = ServiceName::new(name)?;
        Ok(UnitName {
            kind,
            name: name.into(),
        })
    }

    /// What sorts before all units of this kind and after those of the kinds before.
    pub fn first_of(kind: UnitKind) -> UnitName {
        UnitName {
            kind,
            name: String::new(),
        }
    }

    /// The unit's kind.
    pub fn kind(&self) -> UnitKind {
        self.kind
    }

    /// The unit's name within its kind.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl fmt::Display for UnitName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for UnitName {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<UnitName, ParseUnitError> {
        let error = || ParseUnitError::Kind(text.to_string());
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = match kind {
            "service" => UnitKind::Service,
            "organisation" => UnitKind::Organisation,
            "key" => UnitKind::Key,
            "rule" => UnitKind::Rule,
            _ => return Err(error()),
        };
        UnitName::new(kind, name)
    }
}

impl TryFrom<String> for UnitName {
    type Error = ParseUnitError;

    fn try_from(text: String) -> Result<UnitName, ParseUnitError> {
        text.parse()
    }
}

impl From<UnitName> for String {
    fn from(name: UnitName) -> String {
        name.to_string()
    }
}

/// The content of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum UnitBody {
    /// A service that callers name.
    Service(ServiceUnit),
    /// A customer.
    Organisation(OrganisationUnit),
    /// A caller's key.
    Key(KeyUnit),
    /// Which calls of a plain service may be repeated.
    Rule(RuleUnit),
}

impl UnitBody {
    /// The kind of unit that this is the content of.
    pub fn kind(&self) -> UnitKind {
        match self {
            UnitBody::Service(_) => UnitKind::Service,
            UnitBody::Organisation(_) => UnitKind::Organisation,
            UnitBody::Key(_) => UnitKind::Key,
            UnitBody::Rule(_) => UnitKind::Rule,
        }
    }
}

/// Whether a person waits for the answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkPriority {
    /// A person stands at the screen.
    #[default]
    Interactive,
    /// The answer can wait.
    Deferrable,
}

impl fmt::Display for WorkPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WorkPriority::Interactive => "interactive",
            WorkPriority::Deferrable => "deferrable",
        })
    }
}

/// What stands behind a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTarget {
    /// Engines that have loaded this model.
    Model {
        /// The model.
        model: ModelName,
        /// The most output tokens of one answer.
        max_tokens: TokenCount,
    },
    /// Replicas of a plain service.
    Plain {},
}

/// A service and what its answers must keep to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUnit {
    /// What stands behind the service.
    pub target: ServiceTarget,
    /// The priority of requests that name none.
    #[serde(default)]
    pub priority: WorkPriority,
    /// How long a caller waits for the first token or for the whole answer of a
    /// plain service, where the request names no deadline.
    pub deadline: TimeSpan,
    /// The longest silence between tokens before the endpoint is probed.
    pub progress_limit: TimeSpan,
    /// Whether the service may run on capacity that can be reclaimed.
    #[serde(default)]
    pub preemptible: bool,
}

/// An organisation and its share of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationUnit {
    /// The organisation's share against the others'.
    pub weight: ShareWeight,
    /// The services that its keys may name; empty means all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The most requests it may have in progress at one entry.
    pub max_in_flight: u32,
}

/// A caller's key, as its digest, and whose requests it admits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyUnit {
    /// The organisation that requests with this key run for.
    pub organisation: OrganisationId,
    /// The digest of the key.
    pub digest: KeyDigest,
}

/// Which calls of a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleUnit {
    /// The service that the rule speaks of.
    pub service: ServiceName,
    /// The HTTP method; none means every method.
    #[serde(default)]
    pub method: Option<String>,
    /// What a call's path below the service starts with. The longest match decides.
    pub path_prefix: String,
    /// Whether a call may be sent again. Calls that no rule speaks of may not.
    pub repeatable: bool,
}
