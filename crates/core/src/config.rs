//! Configuration that operators publish: services, organisations, caller keys and rules.
//!
//! A [`UnitName`] names one unit of configuration; a [`UnitBody`] is its content. Both are
//! part of the publish records in the log.

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
    /// A service, see [`ServiceUnit`].
    Service,
    /// An organisation, see [`OrganisationUnit`].
    Organisation,
    /// A caller's key, see [`KeyUnit`].
    Key,
    /// A rule on repeatable calls, see [`RuleUnit`].
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

/// The error for a text that is not a valid [`UnitName`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseUnitError {
    /// There is no slash, or the part before it is not a kind of unit.
    #[error("`{0}` is not a unit: expected `service/…`, `organisation/…`, `key/…` or `rule/…`")]
    Kind(String),
    /// The part after the slash is not a valid identifier.
    #[error(transparent)]
    Name(#[from] ParseIdError),
}

impl UnitName {
    /// Creates the name of a unit; fails if `name` is not a valid identifier.
    pub fn new(kind: UnitKind, name: &str) -> Result<UnitName, ParseUnitError> {
        let name = ServiceName::new(name)?;
        Ok(UnitName {
            kind,
            name: name.into(),
        })
    }

    /// The lower bound of all units of `kind` in sort order, for range queries. It is not
    /// itself a valid unit name.
    pub fn first_of(kind: UnitKind) -> UnitName {
        UnitName {
            kind,
            name: String::new(),
        }
    }

    /// The kind of the unit.
    pub fn kind(&self) -> UnitKind {
        self.kind
    }

    /// The name of the unit within its kind.
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
    /// A customer organisation.
    Organisation(OrganisationUnit),
    /// A caller's key.
    Key(KeyUnit),
    /// A rule that states which calls of a plain service may be repeated.
    Rule(RuleUnit),
}

impl UnitBody {
    /// The kind of unit that this content belongs to.
    pub fn kind(&self) -> UnitKind {
        match self {
            UnitBody::Service(_) => UnitKind::Service,
            UnitBody::Organisation(_) => UnitKind::Organisation,
            UnitBody::Key(_) => UnitKind::Key,
            UnitBody::Rule(_) => UnitKind::Rule,
        }
    }
}

/// The priority of a request: whether a person waits for the answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkPriority {
    /// A person waits for the answer.
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

/// The kind of endpoints that serve a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTarget {
    /// Engines that have loaded this model.
    Model {
        /// The model.
        model: ModelName,
        /// Maximum number of output tokens of one answer.
        max_tokens: TokenCount,
    },
    /// Replicas of a plain service, which is not served by engines.
    Plain {},
}

/// A service and the limits for its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUnit {
    /// The kind of endpoints that serve the service.
    pub target: ServiceTarget,
    /// The priority of requests that specify none.
    #[serde(default)]
    pub priority: WorkPriority,
    /// The time limit for the first token, or for the complete answer of a plain service,
    /// if the request specifies no deadline.
    pub deadline: TimeSpan,
    /// Maximum time without a token before the endpoint is probed.
    pub progress_limit: TimeSpan,
    /// Whether the service may run on preemptible capacity.
    #[serde(default)]
    pub preemptible: bool,
}

/// An organisation and its share of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationUnit {
    /// The share of the organisation relative to the others.
    pub weight: ShareWeight,
    /// The services that its keys may use; empty means all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Maximum number of its requests in progress at one entry.
    pub max_in_flight: u32,
}

/// The digest of a caller's key, and the organisation that the key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyUnit {
    /// The organisation on whose behalf requests with this key run.
    pub organisation: OrganisationId,
    /// The digest of the key.
    pub digest: KeyDigest,
}

/// A rule that states which calls of a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleUnit {
    /// The service that the rule applies to.
    pub service: ServiceName,
    /// The HTTP method; `None` means every method.
    #[serde(default)]
    pub method: Option<String>,
    /// The prefix of the path below the service. The rule with the longest matching prefix
    /// applies.
    pub path_prefix: String,
    /// Whether a call may be sent again. Calls without a matching rule may not.
    pub repeatable: bool,
}
