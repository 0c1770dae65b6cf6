//! Answers of our own: what a caller is told when its request is given up.

use std::fmt;

use bluebell_core::{
    attempts::{NotRun, RunOutcome},
    clock::TimeSpan,
};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use crate::frontend::body::{AnswerBody, full_body};

/// When a caller may come back if nothing better is known: a failed endpoint is
/// back, or another one known, within this time more often than not.
pub const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(400);

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The configuration in force has been replaced, and the newer one is not here.
    ConfigurationOutdated,
    /// Nothing has been heard of withdrawn keys for too long.
    KeysStale,
    /// No route takes the request.
    NoRoute,
    /// The key is not known.
    UnknownKey,
    /// The request is not proper.
    Malformed,
    /// The body is larger than the operator allows.
    TooLarge,
    /// The body did not come in time.
    BodyTooSlow,
    /// Too many bytes of requests are held already.
    OutOfMemory,
    /// No endpoint can take it.
    NoEndpoint,
    /// No endpoint could begin it in time.
    Overloaded,
    /// Every endpoint that was asked refused.
    EndpointsFull,
    /// Its endpoint failed; it may have run.
    EndpointFailed,
    /// The time is over; it may have run.
    TimedOut,
    /// The time is over; it has not run.
    TimedOutNotRun,
}

impl RefusalReason {
    /// The reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::ConfigurationOutdated => "configuration_outdated",
            RefusalReason::KeysStale => "keys_stale",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::Malformed => "malformed",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::BodyTooSlow => "body_too_slow",
            RefusalReason::OutOfMemory => "out_of_memory",
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::EndpointsFull => "endpoints_full",
            RefusalReason::EndpointFailed => "endpoint_failed",
            RefusalReason::TimedOut => "timed_out",
            RefusalReason::TimedOutNotRun => "timed_out_not_run",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An answer of our own.
#[derive(Clone, Debug)]
pub struct Refusal {
    request: String,
    status: StatusCode,
    reason: RefusalReason,
    retry_after: Option<TimeSpan>,
}

impl Refusal {
    /// The request is not one that is served: no status that says "not run" is
    /// needed, and coming back is no use.
    pub fn improper(reason: RefusalReason) -> Refusal {
        let status = match reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        Refusal::new(status, reason, None)
    }

    /// The request was never given to an endpoint; it may come back.
    pub fn before_sending(reason: RefusalReason, retry_after: TimeSpan) -> Refusal {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    /// The proof says that the request has not run; it may come back.
    pub fn not_run(_proof: NotRun, reason: RefusalReason, retry_after: TimeSpan) -> Refusal {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    /// The request is given up, whatever its outcome allows to say.
    pub fn with_outcome(outcome: RunOutcome, reason: RefusalReason) -> Refusal {
        match (outcome, reason) {
            (RunOutcome::NotRun(proof), RefusalReason::TimedOut) => {
                Refusal::not_run(proof, RefusalReason::TimedOutNotRun, DEFAULT_RETRY_AFTER)
            }
            (RunOutcome::NotRun(proof), _) => Refusal::not_run(proof, reason, DEFAULT_RETRY_AFTER),
            (RunOutcome::Unknown, RefusalReason::TimedOut) => {
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, reason, None)
            }
            (RunOutcome::Unknown, _) => Refusal::new(StatusCode::BAD_GATEWAY, reason, None),
        }
    }

    fn new(status: StatusCode, reason: RefusalReason, retry_after: Option<TimeSpan>) -> Refusal {
        Refusal {
            request: String::new(),
            status,
            reason,
            retry_after,
        }
    }

    /// Says when to come back, if that is said at all and something better than the
    /// default is known.
    pub fn with_retry_after(mut self, better: Option<TimeSpan>) -> Refusal {
        self.retry_after = self.retry_after.map(|default| better.unwrap_or(default));
        self
    }

    /// Names the request, for the log.
    pub fn with_request(mut self, request: &str) -> Refusal {
        self.request = request.chars().take(64).collect();
        self
    }

    /// The request's id as the caller wrote it.
    pub fn request_text(&self) -> &str {
        &self.request
    }

    /// The status.
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// Why.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When the caller may come back.
    pub fn retry_after(&self) -> Option<TimeSpan> {
        self.retry_after
    }

    /// The answer.
    pub fn into_response(self) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut response = Response::new(full_body(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_millis() as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
