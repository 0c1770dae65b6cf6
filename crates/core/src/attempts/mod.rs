//! Tracks the attempts of one request and whether it may have run.
//!
//! An answer that states "not run" allows its caller to send a charge or an unlock
//! again. If the statement were wrong, the action would happen twice, and this would go
//! unnoticed until the customer disputes it. The statement is therefore represented by a
//! type, [`NotRun`], that only [`RequestAttempts`] creates, and only in a state in
//! which no byte was sent to an endpoint or each endpoint that received the request
//! refused it before running it. Its counterpart is [`SendPermit`]: the endpoint client
//! sends a request only with a permit, and issuing a permit moves the request out of
//! the states that count as not run.
//!
//! [`answer`] assembles the answer of a model from numbered tokens.

pub mod answer;

use serde::Serialize;

use crate::{
    backups::BackupPlace,
    ids::{EndpointId, RequestId},
};

/// Proof that a request has not run anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    _private: (),
}

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown,
}

impl RunOutcome {
    /// The outcome as it is written in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun(_) => "not_run",
            RunOutcome::Unknown => "unknown",
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// The request may be sent again to another endpoint.
    Repeatable,
    /// The request must run at most once.
    AtMostOnce,
}

/// State of the current attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum AttemptPhase {
    /// No attempt is in progress.
    Queued,
    /// A permit was issued; bytes may have been sent to the endpoint.
    Sent {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint has started to answer.
    Answering {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The run was interrupted. It may go on at its copy, and nowhere else.
    Interrupted,
    /// The request has ended; no further attempt is allowed.
    Done,
}

/// Permission to send one attempt to one endpoint.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    request: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    kind: WorkKind,
}

impl SendPermit {
    /// The request.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// The number of the attempt, from 1.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// The endpoint that the attempt may be sent to.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Whether the request may run more than once.
    pub fn kind(&self) -> WorkKind {
        self.kind
    }
}

/// The reason why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// Another attempt is in progress.
    #[error("another attempt is in progress")]
    InProgress,
    /// The request has ended, or it may have run and must not run twice.
    #[error("the request has ended")]
    Ended,
}

/// The attempts of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestAttempts {
    request: RequestId,
    kind: WorkKind,
    attempt: u32,
    phase: AttemptPhase,
    may_have_run: bool,
}

impl RequestAttempts {
    /// Creates the state of a request that has just arrived.
    pub fn new(request: RequestId, kind: WorkKind) -> RequestAttempts {
        RequestAttempts {
            request,
            kind,
            attempt: 0,
            phase: AttemptPhase::Queued,
            may_have_run: false,
        }
    }

    /// The request.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// The number of the current or last attempt; 0 before the first.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// State of the current attempt.
    pub fn phase(&self) -> &AttemptPhase {
        &self.phase
    }

    /// Issues a permit to send the next attempt to `endpoint`.
    pub fn permit_send(&mut self, endpoint: &EndpointId) -> Result<SendPermit, SendRefusal> {
        match self.phase {
            AttemptPhase::Queued => {}
            AttemptPhase::Done | AttemptPhase::Interrupted => return Err(SendRefusal::Ended),
            AttemptPhase::Sent { .. } | AttemptPhase::Answering { .. } => {
                return Err(SendRefusal::InProgress);
            }
        }
        Ok(self.issue_permit(endpoint))
    }

    /// Records that the connection to the endpoint that runs a copied request broke.
    pub fn run_interrupted(&mut self) {
        if self.is_in_progress() {
            self.may_have_run = true;
            self.phase = AttemptPhase::Interrupted;
        }
    }

    /// Whether the run was interrupted and may go on at its copy.
    pub fn is_interrupted(&self) -> bool {
        self.phase == AttemptPhase::Interrupted
    }

    /// Issues a permit to send an interrupted run to the engine with its copy.
    pub fn permit_resume(&mut self, place: BackupPlace) -> Result<SendPermit, SendRefusal> {
        let (request, engine) = place.into_parts();
        if self.phase != AttemptPhase::Interrupted || request != self.request {
            return Err(SendRefusal::Ended);
        }
        Ok(self.issue_permit(&engine.id))
    }

    fn issue_permit(&mut self, endpoint: &EndpointId) -> SendPermit {
        self.attempt += 1;
        let endpoint = endpoint.clone();
        self.phase = AttemptPhase::Sent {
            endpoint: endpoint.clone(),
        };
        SendPermit {
            request: self.request.clone(),
            attempt: self.attempt,
            endpoint,
            kind: self.kind,
        }
    }

    /// Takes back a permit that was not used: no connection was established, so no byte
    /// was sent.
    pub fn not_sent(&mut self, permit: SendPermit) {
        self.revoke(permit);
    }

    /// Takes back a permit after the endpoint refused the request in a way that its
    /// interface documents as not run.
    pub fn refused_before_running(&mut self, permit: SendPermit) {
        self.revoke(permit);
    }

    fn revoke(&mut self, permit: SendPermit) {
        let current = permit.attempt == self.attempt && permit.request == self.request;
        if current && matches!(self.phase, AttemptPhase::Sent { .. }) {
            self.phase = match self.may_have_run && self.kind == WorkKind::AtMostOnce {
                true => AttemptPhase::Done,
                false => AttemptPhase::Queued,
            };
        }
        drop(permit);
    }

    /// Records that the endpoint has started to answer.
    pub fn answer_started(&mut self) {
        if let AttemptPhase::Sent { endpoint } = &self.phase {
            let endpoint = endpoint.clone();
            self.phase = AttemptPhase::Answering { endpoint };
        }
    }

    /// Records that the connection was lost or abandoned. A repeatable request may be
    /// sent again; any other request has ended, because it may have run.
    pub fn connection_lost(&mut self) {
        if !self.is_in_progress() {
            return;
        }
        self.may_have_run = true;
        self.phase = match self.kind {
            WorkKind::Repeatable => AttemptPhase::Queued,
            WorkKind::AtMostOnce => AttemptPhase::Done,
        };
    }

    /// Ends the request: the answer is complete, or the caller no longer waits for it.
    pub fn end(&mut self) {
        self.may_have_run |= self.is_in_progress();
        self.phase = AttemptPhase::Done;
    }

    fn is_in_progress(&self) -> bool {
        matches!(
            self.phase,
            AttemptPhase::Sent { .. } | AttemptPhase::Answering { .. }
        )
    }

    /// Whether the request may have run up to now.
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run || self.is_in_progress() {
            return RunOutcome::Unknown;
        }
        RunOutcome::NotRun(NotRun { _private: () })
    }
}
