//! What one request's calls to engines cost of the budget of repeats.
//!
//! The operators count every arrival at an engine beyond the first of a request,
//! also those that the engine rejects. Only the first prefill that an engine carries
//! out is free. Whether a prefill will be rejected is known too late to ask for budget
//! first; so what a rejection costs is paid before the request goes on. A request
//! that can't pay ends where it stands, with one arrival, which is none too many.
//! Were rejections counted only afterwards, a wrong picture of the engines' stages
//! would let all entries together overdraw the budget within a second.

/// A call that was sent to an engine, by what the operators make of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineArrival {
    /// A prefill that the engine carried out.
    PrefillDone,
    /// A prefill that it rejected, or whose answer was lost, or a run.
    Counted,
}

/// The arrivals of one request and what was paid for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestArrivals {
    counted: u32,
    paid: u32,
    has_prefilled: bool,
}

impl RequestArrivals {
    /// Nothing sent.
    pub fn new() -> RequestArrivals {
        RequestArrivals::default()
    }

    /// Whether one repeat has to be paid for before the next call.
    pub fn needs_grant(&self) -> bool {
        self.counted > self.paid
    }

    /// One repeat was paid for.
    pub fn note_grant(&mut self) {
        self.paid += 1;
    }

    /// A call reached an engine.
    pub fn note_arrival(&mut self, arrival: EngineArrival) {
        let is_free = arrival == EngineArrival::PrefillDone && !self.has_prefilled;
        self.has_prefilled |= arrival == EngineArrival::PrefillDone;
        self.counted += u32::from(!is_free);
    }

    /// How many repeats were paid for and not used, now that the request sends
    /// nothing more.
    pub fn unused_grants(&self) -> u32 {
        self.paid.saturating_sub(self.counted.saturating_sub(1))
    }
}
