//! One request's attempts: what was sent, and whether it may have run.
//!
//! A refusal that says "not run" lets its caller send a charge or an unlock
//! again. If that statement were wrong, the action would happen twice, and
//! nobody would notice before the dispute. So it is a type, [`NotRun`], that
//! only [`RequestAttempts`] makes, and only in a state in which no byte left
//! for an endpoint or every endpoint that got one refused before running.
//! The other half is [`SendPermit`]: the endpoint client sends nothing without
//! one, and getting one moves the request out of the states that are not run.
//!
//! [`answer`] puts a model's answer together from numbered tokens.

pub mod answer;

use serde::Serialize;

use crate::ids::{EndpointId, RequestId};

/// The proof that a request has not run anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    _private: (),
}

/// Whether a request ran, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did not, and won't.
    NotRun(NotRun),
    /// It may have.
    Unknown,
}

impl RunOutcome {
    /// The outcome as callers read it.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun(_) => "not_run",
            RunOutcome::Unknown => "unknown",
        }
    }
}

/// Whether work may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// It may be sent again elsewhere.
    Repeatable,
    /// It must run at most once.
    AtMostOnce,
}

/// Where the current attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum AttemptPhase {
    /// No attempt is under way.
    Queued,
    /// Bytes may have left for the endpoint.
    Sent {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint answers.
    Answering {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Nothing is sent any more.
    Done,
}

/// The right to send one attempt to one endpoint.
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

    /// The endpoint that it may go to.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Whether the work may run more than once.
    pub fn kind(&self) -> WorkKind {
        self.kind
    }
}

/// Why nothing may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// An attempt is under way.
    #[error("an attempt is under way")]
    InProgress,
    /// The request has ended, or ran perhaps and must not run twice.
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
    /// A request that has just arrived.
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

    /// Where the current attempt stands.
    pub fn phase(&self) -> &AttemptPhase {
        &self.phase
    }

    /// Asks to send the next attempt to `endpoint`.
    pub fn permit_send(&mut self, endpoint: &EndpointId) -> Result<SendPermit, SendRefusal> {
        match self.phase {
            AttemptPhase::Queued => {}
            AttemptPhase::Done => return Err(SendRefusal::Ended),
            AttemptPhase::Sent { .. } | AttemptPhase::Answering { .. } => {
                return Err(SendRefusal::InProgress);
            }
        }
        self.attempt += 1;
        let endpoint = endpoint.clone();
        self.phase = AttemptPhase::Sent {
            endpoint: endpoint.clone(),
        };
        Ok(SendPermit {
            request: self.request.clone(),
            attempt: self.attempt,
            endpoint,
            kind: self.kind,
        })
    }

    /// The permit was not used: no connection came about, so no byte left.
    pub fn not_sent(&mut self, permit: SendPermit) {
        self.take_back(permit);
    }

    /// The endpoint refused in a way that its interface documents as not run.
    pub fn refused_before_running(&mut self, permit: SendPermit) {
        self.take_back(permit);
    }

    fn take_back(&mut self, permit: SendPermit) {
        let current = permit.attempt == self.attempt && permit.request == self.request;
        if current && matches!(self.phase, AttemptPhase::Sent { .. }) {
            self.phase = AttemptPhase::Queued;
        }
        drop(permit);
    }

    /// The endpoint has begun to answer.
    pub fn answer_started(&mut self) {
        if let AttemptPhase::Sent { endpoint } = &self.phase {
            let endpoint = endpoint.clone();
            self.phase = AttemptPhase::Answering { endpoint };
        }
    }

    /// The connection was lost or given up. Repeatable work may be sent again;
    /// other work has ended, because it may have run.
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

    /// The answer is whole, or nobody waits for it any more.
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

    /// Whether the request may have run until now.
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run || self.is_in_progress() {
            return RunOutcome::Unknown;
        }
        RunOutcome::NotRun(NotRun { _private: () })
    }
}
