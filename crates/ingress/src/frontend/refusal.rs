//! Refusals: the responses to requests that no endpoint answers.

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

/// Default delay after which a caller may retry. Within this time a failed endpoint has
/// usually recovered, or another one has been discovered.
pub const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(400);

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The configuration in force has been superseded, and the newer version has not
    /// been read yet.
    ConfigurationOutdated,
    /// The configuration in force may have been superseded, and has not been confirmed for too
    /// long to decide the request by it.
    ConfigurationUnconfirmed,
    /// The API keys of the configuration have not been confirmed for too long.
    KeysStale,
    /// No route matches the request.
    NoRoute,
    /// The API key is unknown.
    UnknownKey,
    /// The request is malformed.
    Malformed,
    /// The body exceeds the configured size limit.
    TooLarge,
    /// The body did not arrive before the deadline.
    BodyTooSlow,
    /// The body exceeds the memory available per open request.
    OutOfMemory,
    /// The organisation sends more than its limit allows.
    RateLimited,
    /// No endpoint is available.
    NoEndpoint,
    /// The directory of endpoints has not been confirmed for too long to send the request by it.
    EndpointsUnconfirmed,
    /// No endpoint could start the request in time.
    Overloaded,
    /// Every attempted endpoint refused the request.
    EndpointsFull,
    /// It is not known at which version the stream began that the request takes up.
    VersionUnknown,
    /// Endpoints crashed while they ran the request.
    Quarantined,
    /// The endpoint failed; the request may have run.
    EndpointFailed,
    /// The deadline has passed; the request may have run.
    TimedOut,
    /// The deadline has passed; the request has not run.
    TimedOutNotRun,
    /// The process ends before the request is answered.
    Stopping,
}

impl RefusalReason {
    /// The label of the reason in logs, metrics and response bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::ConfigurationOutdated => "configuration_outdated",
            RefusalReason::ConfigurationUnconfirmed => "configuration_unconfirmed",
            RefusalReason::KeysStale => "keys_stale",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::Malformed => "malformed",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::BodyTooSlow => "body_too_slow",
            RefusalReason::OutOfMemory => "out_of_memory",
            RefusalReason::RateLimited => "rate_limited",
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::EndpointsUnconfirmed => "endpoints_unconfirmed",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::EndpointsFull => "endpoints_full",
            RefusalReason::VersionUnknown => "version_unknown",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::EndpointFailed => "endpoint_failed",
            RefusalReason::TimedOut => "timed_out",
            RefusalReason::TimedOutNotRun => "timed_out_not_run",
            RefusalReason::Stopping => "stopping",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of a request, with its status and its retry delay.
#[derive(Clone, Debug)]
pub struct Refusal {
    request: String,
    status: StatusCode,
    reason: RefusalReason,
    retry_after: Option<TimeSpan>,
}

impl Refusal {
    /// Creates a refusal of a request that can't be served. Its status need not state
    /// that the request did not run, and a retry is useless.
    pub fn invalid_request(reason: RefusalReason) -> Refusal {
        let status = match reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        Refusal::new(status, reason, None)
    }

    /// Creates a refusal of a request that was not sent to an endpoint; the caller may
    /// retry it after `retry_after`.
    pub fn before_sending(reason: RefusalReason, retry_after: TimeSpan) -> Refusal {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    /// Creates a refusal of a request of another instance, which may hand it to a further
    /// one. The request was not sent to an endpoint.
    pub fn not_taken() -> Refusal {
        let status = StatusCode::MISDIRECTED_REQUEST;
        Refusal::new(status, RefusalReason::NoEndpoint, None)
    }

    /// Creates a refusal of a request that exceeds the limit of its organisation and was
    /// not sent to an endpoint; the caller may retry it after `retry_after`.
    pub fn rate_limited(retry_after: TimeSpan) -> Refusal {
        let reason = RefusalReason::RateLimited;
        Refusal::new(StatusCode::TOO_MANY_REQUESTS, reason, Some(retry_after))
    }

    /// Creates a refusal of a request that has not run, as the proof states; the caller
    /// may retry it after `retry_after`.
    pub fn not_run(_proof: NotRun, reason: RefusalReason, retry_after: TimeSpan) -> Refusal {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
    }

    /// Creates a refusal whose status depends on whether the request may have run.
    pub fn with_outcome(outcome: RunOutcome, reason: RefusalReason) -> Refusal {
        match (outcome, reason) {
            (RunOutcome::NotRun(proof), RefusalReason::TimedOut) => {
                Refusal::not_run(proof, RefusalReason::TimedOutNotRun, DEFAULT_RETRY_AFTER)
            }
            (RunOutcome::NotRun(proof), _) => Refusal::not_run(proof, reason, DEFAULT_RETRY_AFTER),
            (RunOutcome::Unknown, RefusalReason::TimedOut | RefusalReason::Stopping) => {
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

    /// Replaces the default retry delay if `retry_after` has a value. A refusal without a
    /// retry delay stays without one.
    pub fn with_retry_after(mut self, retry_after: Option<TimeSpan>) -> Refusal {
        self.retry_after = self
            .retry_after
            .map(|default| retry_after.unwrap_or(default));
        self
    }

    /// Adds the request id for the log, limited to 64 characters.
    pub fn with_request(mut self, request: &str) -> Refusal {
        self.request = request.chars().take(64).collect();
        self
    }

    /// The request id as the caller sent it, limited to 64 characters.
    pub fn request_id_text(&self) -> &str {
        &self.request
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// Why the request was refused.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// The delay after which the caller may retry; `None` if a retry is useless or the
    /// request may have run.
    pub fn retry_after(&self) -> Option<TimeSpan> {
        self.retry_after
    }

    /// Converts the refusal into the response to the caller.
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
