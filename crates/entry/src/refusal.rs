//! Error responses to callers.
//!
//! Each has a stable code, a message, whether the request ran, and the request's
//! id. `ran` is taken from [`RunOutcome`], so "not run" can't be reported when a
//! byte may have reached an endpoint.

use std::io::Cursor;

use bluebell_core::{
    attempts::{RequestAttempts, RunOutcome},
    clock::TimeSpan,
    ids::RequestId,
};
use rocket::{
    Request, Response,
    http::{ContentType, Header, Status},
    response::Responder,
};
use serde::Serialize;

/// Why a request was refused. The JSON names are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body, the path or a header is invalid.
    InvalidRequest,
    /// No such route.
    NotFound,
    /// The API key is missing or belongs to no organisation.
    InvalidKey,
    /// The API key was withdrawn while the request was in progress.
    KeyWithdrawn,
    /// The organisation may not use the service.
    ServiceNotAllowed,
    /// No such service.
    UnknownService,
    /// The body is too long.
    BodyTooLarge,
    /// The organisation has too many requests in progress at this entry.
    OrganisationBusy,
    /// The deadline can't be met.
    Overloaded,
    /// No endpoint accepts the work now.
    NoEndpoint,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The connection to the endpoint was lost, and the work may not be sent again.
    EndpointLost,
    /// The request is quarantined: it crashed endpoints and is not run again.
    RequestQuarantined,
    /// The request may have crashed an endpoint, and no endpoint is free for its trial.
    SuspectWaiting,
    /// The idempotency key was used for another request.
    IdempotencyKeyReused,
    /// An earlier request with this idempotency key may have run.
    OutcomeUnknown,
    /// The log is unreachable, so the idempotency key can't be claimed.
    ClaimUnavailable,
    /// This instance has had no contact with the log for too long.
    ConfigurationStale,
    /// This instance has not read the configuration yet.
    NotReady,
    /// This instance is stopping.
    Draining,
    /// An internal error.
    Internal,
}

impl RefusalCode {
    /// The code's name in JSON and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalCode::InvalidRequest => "invalid_request",
            RefusalCode::NotFound => "not_found",
            RefusalCode::InvalidKey => "invalid_key",
            RefusalCode::KeyWithdrawn => "key_withdrawn",
            RefusalCode::ServiceNotAllowed => "service_not_allowed",
            RefusalCode::UnknownService => "unknown_service",
            RefusalCode::BodyTooLarge => "body_too_large",
            RefusalCode::OrganisationBusy => "organisation_busy",
            RefusalCode::Overloaded => "overloaded",
            RefusalCode::NoEndpoint => "no_endpoint",
            RefusalCode::DeadlineExceeded => "deadline_exceeded",
            RefusalCode::EndpointLost => "endpoint_lost",
            RefusalCode::RequestQuarantined => "request_quarantined",
            RefusalCode::SuspectWaiting => "suspect_waiting",
            RefusalCode::IdempotencyKeyReused => "idempotency_key_reused",
            RefusalCode::OutcomeUnknown => "outcome_unknown",
            RefusalCode::ClaimUnavailable => "claim_unavailable",
            RefusalCode::ConfigurationStale => "configuration_stale",
            RefusalCode::NotReady => "not_ready",
            RefusalCode::Draining => "draining",
            RefusalCode::Internal => "internal",
        }
    }

    /// The HTTP status that the code is sent with.
    pub const fn status(self) -> u16 {
        match self {
            RefusalCode::InvalidRequest => 400,
            RefusalCode::InvalidKey | RefusalCode::KeyWithdrawn => 401,
            RefusalCode::ServiceNotAllowed => 403,
            RefusalCode::NotFound | RefusalCode::UnknownService => 404,
            RefusalCode::OutcomeUnknown | RefusalCode::RequestQuarantined => 409,
            RefusalCode::BodyTooLarge => 413,
            RefusalCode::IdempotencyKeyReused => 422,
            RefusalCode::OrganisationBusy => 429,
            RefusalCode::Internal => 500,
            RefusalCode::EndpointLost => 502,
            RefusalCode::Overloaded
            | RefusalCode::NoEndpoint
            | RefusalCode::SuspectWaiting
            | RefusalCode::ClaimUnavailable
            | RefusalCode::ConfigurationStale
            | RefusalCode::NotReady
            | RefusalCode::Draining => 503,
            RefusalCode::DeadlineExceeded => 504,
        }
    }

    /// The delay after which a retry may succeed, if a retry can help.
    const fn retry_after(self) -> Option<TimeSpan> {
        match self.status() {
            429 | 503 => Some(TimeSpan::from_secs(1)),
            _ => None,
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The stable code.
    pub code: RefusalCode,
    /// The reason, as text.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunOutcome,
    /// The id of the request.
    pub request: RequestId,
    /// The delay sent in the `Retry-After` header, if any.
    pub retry_after: Option<TimeSpan>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: RefusalCode,
    message: &'a str,
    ran: &'static str,
    request: &'a RequestId,
}

impl Refusal {
    /// Creates a refusal of the request whose attempts are `attempts`.
    pub fn new<Message>(code: RefusalCode, message: Message, attempts: &RequestAttempts) -> Refusal
    where
        Message: Into<String>,
    {
        Refusal {
            code,
            message: message.into(),
            ran: attempts.outcome(),
            request: attempts.request().clone(),
            retry_after: code.retry_after(),
        }
    }

    /// Replaces the retry delay.
    pub fn with_retry_after(mut self, span: TimeSpan) -> Refusal {
        self.retry_after = Some(span);
        self
    }

    /// Sets the outcome to unknown, for an action that another request may have run.
    /// An outcome can only be weakened this way, never changed to "not run".
    pub fn with_outcome_unknown(mut self) -> Refusal {
        self.ran = RunOutcome::Unknown;
        self
    }

    /// The JSON body of the response.
    pub fn json(&self) -> String {
        let body = ErrorBody {
            error: ErrorFields {
                code: self.code,
                message: &self.message,
                ran: self.ran.as_str(),
                request: &self.request,
            },
        };
        serde_json::to_string(&body).expect("strings and codes always serialise")
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let json = self.json();
        let mut response = Response::build();
        response
            .status(Status::new(self.code.status()))
            .header(ContentType::JSON)
            .sized_body(json.len(), Cursor::new(json));
        if let Some(span) = self.retry_after {
            response.header(Header::new("Retry-After", span.as_secs_ceil().to_string()));
        }
        response.ok()
    }
}
