//! What a request's headers say of its caller.
//!
//! The caller's key is digested here and goes no further. Headers that can't be
//! used are refused in the handler, with the request's id and a stable code.

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

/// The longest deadline that a caller may name.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(24 * 3_600);

/// A request's id, the same for all who ask while it is handled.
pub fn request_id(request: &Request<'_>) -> RequestId {
    let new = || {
        let number: u128 = rand::random();
        RequestId::new(format!("r-{number:032x}")).expect("hexadecimal digits are allowed")
    };
    request.local_cache(new).clone()
}

/// The headers as they came, with the key digested.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// The request.
    pub request: RequestId,
    key: Option<KeyDigest>,
    deadline: Option<String>,
    priority: Option<String>,
    idempotency_key: Option<String>,
    /// The content type, if the caller named one.
    pub content_type: Option<String>,
}

/// What the headers ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// The digest of the caller's key.
    pub key: KeyDigest,
    /// How long the caller waits.
    pub deadline: Option<TimeSpan>,
    /// Whether a person waits.
    pub priority: Option<WorkPriority>,
    /// The mark of repeats.
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
    /// The head of `request`.
    pub fn of(request: &Request<'_>) -> CallerHeaders {
        let header = |name| request.headers().get_one(name).map(String::from);
        let bearer = request.headers().get_one("authorization").and_then(bearer);
        CallerHeaders {
            request: request_id(request),
            key: bearer.map(KeyDigest::with_key),
            deadline: header("x-deadline-ms"),
            priority: header("x-priority"),
            idempotency_key: header("idempotency-key"),
            content_type: header("content-type"),
        }
    }

    /// The request before anything of it was sent.
    pub fn attempts(&self, kind: WorkKind) -> RequestAttempts {
        RequestAttempts::new(self.request.clone(), kind)
    }

    /// The refusal of the request before anything of it was sent.
    pub fn refuse<Message>(&self, code: RefusalCode, message: Message) -> Refusal
    where
        Message: Into<String>,
    {
        Refusal::new(code, message, &self.attempts(WorkKind::AtMostOnce))
    }

    /// What the headers ask for, or why they can't be used.
    pub fn options(&self) -> Result<RequestOptions, Refusal> {
        let no_key = "expected the header `Authorization: Bearer KEY`";
        let key = self.key.clone();
        let key = key.ok_or_else(|| self.refuse(RefusalCode::InvalidKey, no_key))?;
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
        let span = text.trim().parse().map(TimeSpan::from_millis).ok();
        match span.filter(|span| *span > TimeSpan::ZERO && *span <= MAX_DEADLINE) {
            Some(span) => Ok(Some(span)),
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
        let message = format!("the header `{name}` can't be used: expected {expected}");
        self.refuse(RefusalCode::InvalidRequest, message)
    }
}

fn bearer(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
