//! A planned change of one endpoint: no new work, empty, then the order, then
//! work again.

use super::{OrderRun, OrderState, OrderStep};
use crate::{
    authority::DutyGrant,
    clock::ClockTime,
    draining::{DrainMarks, DrainProgress, DrainState, DrainTiming, EntryProgress},
    ids::EndpointId,
    records::{DrainMarkRecord, MarkState, OrderBody},
};

/// What the holder of the duty has to do next for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Append the mark and wait until it has been read back.
    Mark(DrainMarkRecord),
    /// Ask how far the entries have read, and the endpoint what it still runs.
    PollProgress,
    /// Do this for the order.
    Order(OrderStep),
    /// Nothing yet.
    Wait(&'static str),
    /// Nothing more from this process.
    Stop(&'static str),
}

/// A planned change in the hands of the holder of its duty.
#[derive(Clone, Debug)]
pub struct ChangeRun {
    endpoint: EndpointId,
    run: OrderRun,
    rule: DrainTiming,
    drain: Option<DrainProgress>,
}

impl ChangeRun {
    /// A change of `endpoint` by the order `run`.
    pub fn new(endpoint: EndpointId, run: OrderRun, rule: DrainTiming) -> ChangeRun {
        ChangeRun {
            endpoint,
            run,
            rule,
            drain: None,
        }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// The order.
    pub fn run(&self) -> &OrderRun {
        &self.run
    }

    /// The order, to be told what happened.
    pub fn run_mut(&mut self) -> &mut OrderRun {
        &mut self.run
    }

    /// Where draining stands, once the mark has been read back.
    pub fn drain_state(&self) -> Option<DrainState> {
        self.drain.as_ref().map(DrainProgress::state)
    }

    /// What to do next. Neither a new intent nor a sending is next before the
    /// endpoint has been seen empty under this duty's mark: a planned change that
    /// did not wait for this would cut requests.
    pub fn next_step(
        &mut self,
        now: ClockTime,
        grant: Option<&DutyGrant>,
        marks: &DrainMarks,
        orders: &OrderState,
    ) -> ChangeStep {
        let step = self.run.next_step(now, grant, orders);
        let takes_away = match &step {
            OrderStep::Send => true,
            OrderStep::Intend(_) => orders.open(self.run.order()).is_none(),
            _ => false,
        };
        let (true, Some(grant)) = (takes_away, grant) else {
            return ChangeStep::Order(step);
        };
        let Some(mark) = marks.mark(&self.endpoint) else {
            self.drain = None;
            return ChangeStep::Mark(self.mark(grant, MarkState::Leaving));
        };
        if mark.duty != grant.duty {
            return ChangeStep::Stop("another duty is changing the endpoint");
        }
        let watched = self.drain.as_ref().map(DrainProgress::mark);
        if watched != Some(mark.offset) {
            let drain = DrainProgress::new(self.endpoint.clone(), mark.offset, now);
            self.drain = Some(drain);
        }
        match self.drain_state() {
            Some(DrainState::Empty) => ChangeStep::Order(step),
            _ => ChangeStep::PollProgress,
        }
    }

    /// Takes what is known of the entries.
    pub fn note_entries(&mut self, now: ClockTime, entries: &[EntryProgress]) {
        if let Some(drain) = &mut self.drain {
            drain.note_entries(now, entries, &self.rule);
        }
    }

    /// Takes what the endpoint said of its work in flight to a question asked at
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

    /// The mark that gives the endpoint work again, for a change that has ended
    /// here; none after a stop, which leaves nothing to give work to.
    pub fn staying_mark(&self, grant: &DutyGrant) -> Option<DrainMarkRecord> {
        let stopped = matches!(self.run.body(), OrderBody::StopEndpoint { .. });
        (!stopped).then(|| self.mark(grant, MarkState::Staying))
    }
}
