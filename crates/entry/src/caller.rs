//! The caller's request headers.
//!
//! The caller's API key is digested here; the key itself is not kept. Invalid
//! headers are refused in the handler, with the request's id and a stable code.

use bluebell_core::{
    attempts::{RequestAttempts, WorkKind},
    clock::TimeSpan,
    config::WorkPriority,
    ids::{IdempotencyKey, KeyDigest, RequestId},
};
use rocket::{
    Request,
    request::{FromRequest, Outcome},
};

use crate::refusal::{Refusal, RefusalCode};

/// The longest deadline that a caller may request.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(24 * 3_600);

/// Returns the id of `request`, generated on the first call and cached with the request.
pub fn request_id(request: &Request<'_>) -> RequestId {
    let new = || {
        let number: u128 = rand::random();
        RequestId::new(format!("r-{number:032x}")).expect("hexadecimal digits are allowed")
    };
    request.local_cache(new).clone()
}

/// The headers as received, except that the API key is digested.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// The id of the request.
    pub request: RequestId,
    key: Option<KeyDigest>,
    deadline: Option<String>,
    priority: Option<String>,
    idempotency_key: Option<String>,
    /// The content type, if the caller sent one.
    pub content_type: Option<String>,
}

/// The parsed and validated headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// The digest of the caller's API key.
    pub key: KeyDigest,
    /// How long the caller waits, if it set a deadline.
    pub deadline: Option<TimeSpan>,
    /// The requested priority, if the caller set one.
    pub priority: Option<WorkPriority>,
    /// The key that marks repeats of the same request.
    pub idempotency_key: Option<IdempotencyKey>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<CallerHeaders, Self::Error> {
        Outcome::Success(CallerHeaders::of(request))
    }
}

impl CallerHeaders {
    /// Extracts the headers of `request`.
    pub fn of(request: &Request<'_>) -> CallerHeaders {
        let header = |name| request.headers().get_one(name).map(String::from);
        let bearer_key = request
            .headers()
            .get_one("authorization")
            .and_then(bearer_key);
        CallerHeaders {
            request: request_id(request),
            key: bearer_key.map(KeyDigest::with_key),
            deadline: header("x-deadline-ms"),
            priority: header("x-priority"),
            idempotency_key: header("idempotency-key"),
            content_type: header("content-type"),
        }
    }

    /// The attempt state of the request before anything was sent to an endpoint.
    pub fn attempts(&self, kind: WorkKind) -> RequestAttempts {
        RequestAttempts::new(self.request.clone(), kind)
    }

    /// A refusal of the request before anything was sent to an endpoint.
    pub fn refuse<Message>(&self, code: RefusalCode, message: Message) -> Refusal
    where
        Message: Into<String>,
    {
        Refusal::new(code, message, &self.attempts(WorkKind::AtMostOnce))
    }

    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Refuses a missing API key and headers with invalid values.
    pub fn options(&self) -> Result<RequestOptions, Refusal> {
        let missing_key = "expected the header `Authorization: Bearer KEY`";
        let key = self.key.clone();
        let key = key.ok_or_else(|| self.refuse(RefusalCode::InvalidKey, missing_key))?;
        Ok(RequestOptions {
            key,
            deadline: self.parse_deadline()?,
            priority: self.parse_priority()?,
            idempotency_key: self.parse_idempotency_key()?,
        })
    }

    fn parse_deadline(&self) -> Result<Option<TimeSpan>, Refusal> {
        let Some(text) = &self.deadline else {
            return Ok(None);
        };
        let duration = text.trim().parse().map(TimeSpan::from_millis).ok();
        match duration.filter(|duration| *duration > TimeSpan::ZERO && *duration <= MAX_DEADLINE) {
            Some(duration) => Ok(Some(duration)),
            None => Err(self.bad_header("X-Deadline-Ms", "milliseconds from 1 to 86400000")),
        }
    }

    fn parse_priority(&self) -> Result<Option<WorkPriority>, Refusal> {
        match self.priority.as_deref().map(str::trim) {
            None => Ok(None),
            Some("interactive") => Ok(Some(WorkPriority::Interactive)),
            Some("deferrable") => Ok(Some(WorkPriority::Deferrable)),
            Some(_) => Err(self.bad_header("X-Priority", "`interactive` or `deferrable`")),
        }
    }

    fn parse_idempotency_key(&self) -> Result<Option<IdempotencyKey>, Refusal> {
        let Some(text) = &self.idempotency_key else {
            return Ok(None);
        };
        match IdempotencyKey::new(text.trim()) {
            Ok(key) => Ok(Some(key)),
            Err(_) => Err(self.bad_header(
                "Idempotency-Key",
                "1 to 128 letters, digits, `-`, `_`, `.` or `:`",
            )),
        }
    }

    fn bad_header(&self, name: &str, expected: &str) -> Refusal {
        let message = format!("the header `{name}` is invalid: expected {expected}");
        self.refuse(RefusalCode::InvalidRequest, message)
    }
}

fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
