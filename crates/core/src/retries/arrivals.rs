//! Counts the arrivals of one request at engines against the retry budget.
//!
//! The operators count each arrival at an engine beyond the first of a request as a
//! retry, including those that the engine rejects. Only the first prefill that an
//! engine carries out is not counted. Whether an engine rejects a prefill is known too
//! late to take budget before sending it, so the budget for a rejected arrival is taken
//! before the next call of the request. A request that gets no budget ends at this
//! point, with a single arrival, which is within the limit. If rejections were counted
//! only afterwards, outdated knowledge of the stages of the engines would let all
//! entries together exceed the budget within a second.

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
    granted: u32,
    has_prefilled: bool,
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
    pub fn needs_grant(&self) -> bool {
        self.counted > self.granted
    }

    /// Records that a retry was granted by the budget.
    pub fn note_grant(&mut self) {
        self.granted += 1;
    }

    /// Records a call that reached an engine.
    pub fn note_arrival(&mut self, arrival: EngineArrival) {
        let is_uncounted = arrival == EngineArrival::PrefillDone && !self.has_prefilled;
        self.has_prefilled |= arrival == EngineArrival::PrefillDone;
        self.counted += u32::from(!is_uncounted);
    }

    /// Number of granted retries that were not used. To be called when the request
    /// sends nothing more.
    pub fn unused_grants(&self) -> u32 {
        self.granted.saturating_sub(self.counted.saturating_sub(1))
    }
}
