//! Counts the arrivals of one request at engines against the retry budget.
//!
//! The operators count as retries all arrivals of a request at engines but the first one,
//! including those that the engine rejects, and each prefill that an engine carries out
//! after the first. Only the first prefill that is carried out is no arrival: a request
//! whose prompt is prefilled twice has made a retry before it was sent to be run.
//!
//! Whether an engine rejects a prefill is known too late to take budget before sending it,
//! so the budget for a rejected arrival is taken before the next call of the request. A
//! request that gets no budget ends at this point, with a single arrival, which is within
//! the limit. If rejections were counted only afterwards, outdated knowledge of the stages
//! of the engines would let all entries together exceed the budget within a second.

/// A call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Prefills the prompt.
    Prefill,
    /// Runs the request.
    Run,
}

impl EngineCall {
    /// The name of the call in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            EngineCall::Prefill => "prefill",
            EngineCall::Run => "run",
        }
    }
}

/// How a call that reached an engine counts for the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineArrival {
    /// A prefill that the engine carried out.
    PrefillDone,
    /// A prefill that the engine rejected or whose answer was lost, or a run.
    Counted,
}

/// Arrivals of one request at engines and the retries granted for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestArrivals {
    counted: u32,
    repeated_prefills: u32,
    granted: u32,
    has_prefilled: bool,
    /// The call that is in progress. It counts as one that reached its engine, as the
    /// caller may disconnect before the outcome is known.
    in_progress: Option<EngineCall>,
}

impl RequestArrivals {
    /// A request without arrivals.
    pub fn new() -> RequestArrivals {
        RequestArrivals::default()
    }

    /// Whether an engine has carried out a prefill.
    pub fn has_prefilled(&self) -> bool {
        self.has_prefilled
    }

    /// Whether a retry has to be granted before the next call.
    pub fn needs_grant(&self, next: EngineCall) -> bool {
        self.retries() + u32::from(self.is_retry(next)) > self.granted
    }

    /// Records that a retry was granted by the budget.
    pub fn note_grant(&mut self) {
        self.granted += 1;
    }

    /// Records that a call is being sent.
    pub fn start_call(&mut self, call: EngineCall) {
        self.in_progress = Some(call);
    }

    /// The call that is in progress.
    pub fn call_in_progress(&self) -> Option<EngineCall> {
        self.in_progress
    }

    /// Records that the call was not sent.
    pub fn note_unsent(&mut self) {
        self.in_progress = None;
    }

    /// Records that the call reached its engine.
    pub fn note_arrival(&mut self, arrival: EngineArrival) {
        self.in_progress = None;
        match arrival {
            EngineArrival::Counted => self.counted += 1,
            EngineArrival::PrefillDone if self.has_prefilled => self.repeated_prefills += 1,
            EngineArrival::PrefillDone => self.has_prefilled = true,
        }
    }

    /// Number of granted retries that were not used. To be called when the request
    /// sends nothing more.
    pub fn unused_grants(&self) -> u32 {
        self.granted.saturating_sub(self.retries())
    }

    /// Whether the call counts as a retry if it reaches an engine.
    fn is_retry(&self, call: EngineCall) -> bool {
        let is_repeated_prefill = call == EngineCall::Prefill && self.has_prefilled;
        self.counted > 0 || is_repeated_prefill
    }

    /// The arrivals that the operators count as retries.
    fn retries(&self) -> u32 {
        let in_progress = self.in_progress.is_some_and(|call| self.is_retry(call));
        self.repeated_prefills + self.counted.saturating_sub(1) + u32::from(in_progress)
    }
}
