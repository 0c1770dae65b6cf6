//! A planned change of one endpoint: the endpoint is drained before the order is
//! sent, and receives requests again afterwards.

use super::{OrderRun, OrderState, OrderStep};
use crate::{
    authority::DutyGrant,
    clock::ClockTime,
    draining::{DrainMarks, DrainProgress, DrainState, DrainTiming, EntryProgress},
    ids::EndpointId,
    records::{DrainMarkRecord, MarkState, OrderBody},
};

/// The next action for a change, to be taken by the holder of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Append the drain mark and wait until it has been read back.
    Mark(DrainMarkRecord),
    /// Query how far the entries have read the log, and how many requests the
    /// endpoint still runs.
    PollProgress,
    /// Take this step of the order.
    Order(OrderStep),
    /// Wait, for the reason given.
    Wait(&'static str),
    /// End the change in this process, for the reason given.
    Stop(&'static str),
}

/// State machine of a planned change, run by the holder of its duty.
#[derive(Clone, Debug)]
pub struct ChangeRun {
    endpoint: EndpointId,
    run: OrderRun,
    timing: DrainTiming,
    drain: Option<DrainProgress>,
}

impl ChangeRun {
    /// Creates a change of `endpoint` that is made by the order `run`.
    pub fn new(endpoint: EndpointId, run: OrderRun, timing: DrainTiming) -> ChangeRun {
        ChangeRun {
            endpoint,
            run,
            timing,
            drain: None,
        }
    }

    /// The endpoint that is changed.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// The order that makes the change.
    pub fn run(&self) -> &OrderRun {
        &self.run
    }

    /// The order, for recording observations and answers.
    pub fn run_mut(&mut self) -> &mut OrderRun {
        &mut self.run
    }

    /// The state of the drain; `None` until the mark has been read back.
    pub fn drain_state(&self) -> Option<DrainState> {
        self.drain.as_ref().map(DrainProgress::state)
    }

    /// Returns the next action. A new intent or a send is returned only after the
    /// endpoint has been observed empty under this duty's mark: a change that did
    /// not wait for this would abort running requests.
    pub fn next_step(
        &mut self,
        now: ClockTime,
        grant: Option<&DutyGrant>,
        marks: &DrainMarks,
        orders: &OrderState,
    ) -> ChangeStep {
        let step = self.run.next_step(now, grant, orders);
        let needs_drain = match &step {
            OrderStep::Send => true,
            OrderStep::Intend(_) => orders.open(self.run.order()).is_none(),
            _ => false,
        };
        let (true, Some(grant)) = (needs_drain, grant) else {
            return ChangeStep::Order(step);
        };
        let Some(mark) = marks.mark(&self.endpoint) else {
            self.drain = None;
            return ChangeStep::Mark(self.mark(grant, MarkState::Leaving));
        };
        if mark.duty != grant.duty {
            return ChangeStep::Stop("the endpoint is drained by another duty");
        }
        let watched_mark = self.drain.as_ref().map(DrainProgress::mark);
        if watched_mark != Some(mark.offset) {
            let drain = DrainProgress::new(self.endpoint.clone(), mark.offset, now);
            self.drain = Some(drain);
        }
        match self.drain_state() {
            Some(DrainState::Empty) => ChangeStep::Order(step),
            _ => ChangeStep::PollProgress,
        }
    }

    /// Records how far the entries have read the log.
    pub fn note_entries(&mut self, now: ClockTime, entries: &[EntryProgress]) {
        if let Some(drain) = &mut self.drain {
            drain.note_entries(now, entries, &self.timing);
        }
    }

    /// Records the endpoint's number of requests in flight, from a query sent at
    /// `asked_at`.
    pub fn note_endpoint(&mut self, asked_at: ClockTime, in_flight: u64) {
        if let Some(drain) = &mut self.drain {
            drain.note_endpoint(asked_at, in_flight);
        }
    }

    fn mark(&self, grant: &DutyGrant, state: MarkState) -> DrainMarkRecord {
        DrainMarkRecord {
            endpoint: self.endpoint.clone(),
            state,
            duty: grant.duty.clone(),
            fence: grant.fence,
        }
    }

    /// The mark that makes the endpoint available to requests again after a
    /// finished change; `None` after a stop, which removes the endpoint.
    pub fn staying_mark(&self, grant: &DutyGrant) -> Option<DrainMarkRecord> {
        let stopped = matches!(self.run.body(), OrderBody::StopEndpoint { .. });
        (!stopped).then(|| self.mark(grant, MarkState::Staying))
    }
}
