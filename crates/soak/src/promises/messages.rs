//! The promises, and what callers send and get.

use std::fmt;

use bluebell_core::ids::InstanceId;
use bluebell_platform_standin::operator::OperatorKind;
use serde::Serialize;

use crate::promises::TakenUpStream;

/// A promise that the system makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Promise {
    /// Nothing runs that no caller asked for.
    AskedFor,
    /// What may not be repeated runs once at most.
    RunOnce,
    /// A refusal that says "not run" is true, then and later.
    RefusalTrue,
    /// Work that goes on at another endpoint has ended at the one before.
    OneEndpointAtATime,
    /// Requests reach a service no more often than the budget of all instances allows.
    RepeatsLimited,
    /// A success is the whole signed answer to this very request.
    OwnAnswer,
    /// Events come once each and in order, and an end that looks whole is.
    WholeStream,
    /// A stream holds events of one software version of its endpoints.
    OneVersion,
    /// Streams that callers take up go on.
    StreamsGoOn,
    /// A withdrawn key stops working.
    WithdrawnKey,
    /// Endpoints see the right organisation and no key.
    RightOrganisation,
    /// A request runs where some configuration led it.
    RightService,
    /// A configuration comes into force in time and is never undone.
    NoOlderConfiguration,
    /// An endpoint that left gets no new work.
    DrainRespected,
    /// An endpoint that asks an instance for rest gets it.
    RestGranted,
    /// Requests with a part in their prompts that crashes endpoints stop running.
    CrashingPartStopped,
    /// What is allowed is not denied.
    NotDenied,
    /// A route or key that was added is not denied once that has to be in force.
    AddedServed,
    /// One report for a window.
    OneReport,
    /// One holder of a duty at a time.
    OneHolder,
    /// A request that was taken gets an answer.
    AnswerGiven,
    /// It gets it in time.
    AnswerInTime,
    /// Work ends when its caller has left.
    StopsWithCaller,
    /// Processes don't end by themselves, and stop when asked.
    NoOwnEnd,
    /// After the faults all failure domains are served again.
    ServesAgain,
    /// After the faults all instances are ready again.
    ReadyAgain,
}

impl Promise {
    /// Whether the verdict depends on how fast this machine is.
    pub fn is_timed(self) -> bool {
        matches!(
            self,
            Promise::AnswerInTime
                | Promise::OneEndpointAtATime
                | Promise::StopsWithCaller
                | Promise::NoOlderConfiguration
                | Promise::AddedServed
                | Promise::DrainRespected
                | Promise::RestGranted
                | Promise::CrashingPartStopped
        )
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BrokenPromise {
    /// Which.
    pub promise: Promise,
    /// When, in ms from the start of the soak's clock.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BrokenPromise {
            promise,
            at_ms,
            detail,
        } = self;
        write!(f, "broken={promise:?} at_ms={at_ms} {detail}")
    }
}

/// One process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessName {
    /// The instance.
    pub instance: InstanceId,
    /// Which of its processes, counted from its first start.
    pub start: u32,
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its id.
    pub attempt: String,
    /// Who got it.
    pub process: ProcessName,
    /// The start of its path.
    pub prefix: String,
    /// What may be repeated.
    pub kind: OperatorKind,
    /// Whose key it bears.
    pub organisation: String,
    /// Whether it is the first on its connection.
    pub is_first: bool,
    /// The stream that it takes up.
    pub takes_up: Option<TakenUpStream>,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// An answer with this status.
    Status(u16),
    /// A success in one piece.
    Whole {
        /// Whether it bore a signature.
        is_signed: bool,
        /// The body.
        body: String,
    },
    /// Events; `is_ended` if they came to a clean end.
    Stream {
        /// Whether it bore a signature.
        is_signed: bool,
        /// What came.
        body: String,
        /// Whether it looked whole.
        is_ended: bool,
    },
    /// The connection ended before any of the answer came.
    Cut,
    /// The connection ended in the middle of an answer.
    CutInside,
    /// Nothing came in time.
    Nothing,
}

impl CallerOutcome {
    /// Whether the answer says that the request has not run.
    pub fn is_refusal(&self) -> bool {
        matches!(self, CallerOutcome::Status(408 | 421 | 429 | 503))
    }

    /// Whether the caller was served.
    pub fn is_served(&self) -> bool {
        match self {
            CallerOutcome::Whole { .. } => true,
            CallerOutcome::Stream { is_ended, .. } => *is_ended,
            _ => false,
        }
    }
}
