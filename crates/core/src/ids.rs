//! Identifiers, with one newtype for each kind.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// The error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a valid {kind}: expected 1 to {MAX_ID_BYTES} letters, digits, `-`, `_`, `.` or `:`"
)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
}

fn check_id(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.chars().all(allowed) {
        let text = text.chars().take(MAX_ID_BYTES).collect();
        return Err(ParseIdError { kind, text });
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier from `text`; fails if it is empty, longer than
            /// [`MAX_ID_BYTES`] or contains other characters than letters, digits, `-`, `_`,
            /// `.` and `:`.
            pub fn new<Text>(text: Text) -> Result<$name, ParseIdError>
            where
                Text: Into<String>,
            {
                let text = text.into();
                check_id($kind, &text)?;
                Ok($name(text))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<$name, ParseIdError> {
                $name::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<$name, ParseIdError> {
                $name::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

text_id!(
    /// An instance: one process of this system.
    InstanceId, "instance id");
text_id!(
    /// A failure domain: a set of instances and endpoints that may fail together.
    FailureDomain, "failure domain");
text_id!(
    /// A region: a set of failure domains with low latency between them.
    RegionId, "region");
text_id!(
    /// A back end that requests are routed to: an engine or a plain service replica.
    EndpointId, "endpoint id");
text_id!(
    /// A customer whose work is admitted, metered and billed together.
    OrganisationId, "organisation id");
text_id!(
    /// A service that callers request: a model service or a plain service.
    ServiceName, "service name");
text_id!(
    /// A model that engines load.
    ModelName, "model name");
text_id!(
    /// One request of one caller.
    RequestId, "request id");
text_id!(
    /// One order to an engine or to the platform; repeats have the same id.
    OrderId, "order id");
text_id!(
    /// The writer of a log record: one incarnation of an instance, or one command of an
    /// operator.
    WriterId, "writer id");
text_id!(
    /// The idempotency key by which a caller identifies repeats of one action.
    IdempotencyKey, "idempotency key");

/// The offset of a record in the platform's log; also used as configuration version and as
/// fencing number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogOffset(u64);

impl LogOffset {
    /// The first offset of the log.
    pub const START: LogOffset = LogOffset(0);

    /// Creates the offset with this number.
    pub const fn new(number: u64) -> LogOffset {
        LogOffset(number)
    }

    /// The number of the offset.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The offset after this one.
    pub const fn next(self) -> LogOffset {
        LogOffset(self.0 + 1)
    }
}

impl fmt::Display for LogOffset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LogOffset {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<LogOffset, std::num::ParseIntError> {
        text.parse().map(LogOffset)
    }
}

/// The SHA-256 digest of a caller's key, the only form in which the key is stored or sent
/// to other processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(String);

/// The error for a text that is not a valid [`KeyDigest`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key digest is 64 hexadecimal digits in lower case")]
pub struct ParseDigestError;

impl KeyDigest {
    /// Computes the digest of a caller's key.
    pub fn with_key(key: &str) -> KeyDigest {
        KeyDigest(hex(&Sha256::digest(key.as_bytes())))
    }

    /// The first 12 digits, which are enough for operators to distinguish keys.
    pub fn short(&self) -> &str {
        &self.0[..12]
    }

    /// The complete digest as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<KeyDigest, ParseDigestError> {
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != 64 || !text.chars().all(digit) {
            return Err(ParseDigestError);
        }
        Ok(KeyDigest(text.to_string()))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<KeyDigest, ParseDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.0
    }
}

/// A digest of a request's organisation and content. After the crash of an endpoint it
/// distinguishes repeats of the same request from other requests that were running.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(String);

impl RequestFingerprint {
    /// Computes the fingerprint of `content` sent by `organisation`.
    pub fn with_content(organisation: &OrganisationId, content: &[u8]) -> RequestFingerprint {
        let mut digest = Sha256::new();
        digest.update(organisation.as_str().as_bytes());
        digest.update([0]);
        digest.update(content);
        RequestFingerprint(hex(&digest.finalize()[..16]))
    }

    /// Computes the fingerprint of a request to `target` with `body`. Its `caller` is `None`
    /// without authentication.
    pub fn with_request(
        caller: Option<&OrganisationId>,
        target: &str,
        body: &[u8],
    ) -> RequestFingerprint {
        let mut digest = Sha256::new();
        digest.update(caller.map_or("", OrganisationId::as_str).as_bytes());
        digest.update([0]);
        digest.update(target.as_bytes());
        digest.update([0]);
        digest.update(body);
        RequestFingerprint(hex(&digest.finalize()[..16]))
    }

    /// The fingerprint as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<RequestFingerprint, std::convert::Infallible> {
        Ok(RequestFingerprint(text.to_string()))
    }
}
