//! Identifiers of the domain, one newtype each.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The longest text accepted as an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A text that is no identifier.
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
            /// Checks `text` and wraps it.
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
    /// One of our own processes.
    InstanceId, "instance id");
text_id!(
    /// A failure domain: instances and endpoints that can be lost together.
    FailureDomain, "failure domain");
text_id!(
    /// A region: failure domains with little latency between them.
    RegionId, "region");
text_id!(
    /// A back end that requests are routed to: an engine or a plain service replica.
    EndpointId, "endpoint id");
text_id!(
    /// A customer whose work is admitted, metered and billed together.
    OrganisationId, "organisation id");
text_id!(
    /// A service that callers name: a model service or a plain service.
    ServiceName, "service name");
text_id!(
    /// A model that engines load.
    ModelName, "model name");
text_id!(
    /// One request of one caller.
    RequestId, "request id");
text_id!(
    /// One order to an engine or to the platform; repeats carry the same id.
    OrderId, "order id");
text_id!(
    /// Who appended a record: an instance's incarnation or an operator's command.
    WriterId, "writer id");
text_id!(
    /// What a caller sends to mark repeats of one action.
    IdempotencyKey, "idempotency key");

/// A record's place in the platform's log; also a version and a fencing number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogOffset(u64);

impl LogOffset {
    /// The log's first offset.
    pub const START: LogOffset = LogOffset(0);

    /// The offset with this number.
    pub const fn new(number: u64) -> LogOffset {
        LogOffset(number)
    }

    /// The offset's number.
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

/// The SHA-256 of a caller's key, the only form of it that is kept or passed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(String);

/// A text that is no [`KeyDigest`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key digest is 64 hexadecimal digits in lower case")]
pub struct ParseDigestError;

impl KeyDigest {
    /// The digest of a caller's key.
    pub fn with_key(key: &str) -> KeyDigest {
        KeyDigest(hex(&Sha256::digest(key.as_bytes())))
    }

    /// The first digits, enough for operators to tell keys apart.
    pub fn short(&self) -> &str {
        &self.0[..12]
    }

    /// The whole digest as text.
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

/// A digest of a request's organisation and content, which tells repeats apart
/// from bystanders after a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(String);

impl RequestFingerprint {
    /// The fingerprint of `content` sent by `organisation`.
    pub fn with_content(organisation: &OrganisationId, content: &[u8]) -> RequestFingerprint {
        let mut digest = Sha256::new();
        digest.update(organisation.as_str().as_bytes());
        digest.update([0]);
        digest.update(content);
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
