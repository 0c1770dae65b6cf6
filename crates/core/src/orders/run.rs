//! One order, from its intent to its outcome.
//!
//! An order may be lost on its way, take effect while its answer is lost, or be
//! sent by a process that was frozen and has lost its authority meanwhile. The
//! intent stands in the log before the first byte leaves, so whoever comes next
//! knows that the order may have taken effect. It looks before it sends again,
//! and sends again only under the same id, which the receiver takes as a repeat.

use super::OrderState;
use crate::{
    authority::DutyGrant,
    clock::{ClockTime, TimeSpan},
    ids::{ModelName, OrderId},
    records::{EngineRole, IntentRecord, OrderBody, OrderOutcome, OutcomeRecord},
};

/// How long orders and leases take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// How long one sending may take before it is given up.
    pub timeout: TimeSpan,
    /// The pause before the receiver is looked at or sent to again.
    pub retry_pause: TimeSpan,
    /// How long a new holder of a duty waits before it orders anything new from a
    /// receiver that ignores fencing numbers: lease, order timeout and margin.
    pub takeover_delay: TimeSpan,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// A number that changes when the engine is started again.
    pub incarnation: u64,
    /// Its role.
    pub role: EngineRole,
    /// Its model.
    pub model: ModelName,
    /// Whether a change is under way.
    pub changing: bool,
    /// The last order that took effect.
    pub last_order: Option<OrderId>,
}

/// What can be seen of an order's effect at its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservedEffect {
    /// The engine answered.
    Engine(EngineView),
    /// The effect is there.
    Done,
    /// The effect is not there.
    Absent,
    /// Another effect stands in its place, which the order can't undo.
    Conflicting,
    /// The receiver does not exist any more.
    Removed,
    /// The receiver could not be asked.
    Unreachable,
}

/// What became of one sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// The receiver took the order and carries it out.
    Accepted,
    /// The receiver took the order and has carried it out.
    Done,
    /// The receiver knows of a later fencing number.
    Stale,
    /// The receiver refuses; the order has no effect.
    Refused,
    /// The receiver can't take it now; the order has no effect.
    Unavailable,
    /// Whether the receiver got it is unknown.
    Unknown,
}

/// What the holder of the duty has to do next for the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Append the intent and wait until it has been read back.
    Intend(IntentRecord),
    /// Look at the receiver.
    Observe,
    /// Send the order, unless the clock has passed the authority's end.
    Send,
    /// Append the outcome.
    Settle {
        /// The outcome.
        record: OutcomeRecord,
        /// Why.
        reason: &'static str,
    },
    /// Nothing yet.
    Wait(&'static str),
    /// Nothing more from this process: it has ended, or another is in charge.
    Stop(&'static str),
}

/// One order in the hands of the holder of its duty.
#[derive(Clone, Debug)]
pub struct OrderRun {
    order: OrderId,
    body: OrderBody,
    checks_fencing: bool,
    rule: OrderTiming,
    intended: bool,
    verdict: Option<(OrderOutcome, &'static str)>,
    stopped: Option<&'static str>,
    observed: bool,
    incarnation: Option<u64>,
    sent: bool,
    resume_at: ClockTime,
}

impl OrderRun {
    /// A run of the order `order`, new or found open in the log, to a receiver
    /// that checks fencing numbers or ignores them.
    pub fn new(
        order: OrderId,
        body: OrderBody,
        checks_fencing: bool,
        rule: OrderTiming,
    ) -> OrderRun {
        OrderRun {
            order,
            body,
            checks_fencing,
            rule,
            intended: false,
            verdict: None,
            stopped: None,
            observed: false,
            incarnation: None,
            sent: false,
            resume_at: ClockTime::default(),
        }
    }

    /// The order's id.
    pub fn order(&self) -> &OrderId {
        &self.order
    }

    /// What is ordered.
    pub fn body(&self) -> &OrderBody {
        &self.body
    }

    /// What to do next, by the authority and the log as they stand.
    pub fn next_step(
        &self,
        now: ClockTime,
        grant: Option<&DutyGrant>,
        orders: &OrderState,
    ) -> OrderStep {
        if let Some(reason) = self.stopped {
            return OrderStep::Stop(reason);
        }
        if orders.settled(&self.order).is_some() {
            return OrderStep::Stop("the order has been settled");
        }
        let Some(grant) = grant else {
            return OrderStep::Stop("the authority has ended");
        };
        let Some(open) = orders.open(&self.order) else {
            return self.first_step(now, grant);
        };
        if open.fence != grant.fence {
            return OrderStep::Intend(self.intent(grant));
        }
        if let Some((outcome, reason)) = self.verdict {
            return self.settle_step(grant, outcome, reason);
        }
        if now < self.resume_at {
            return OrderStep::Wait("the receiver is given time");
        }
        if !self.observed {
            return OrderStep::Observe;
        }
        if !grant.covers(now, self.rule.timeout) {
            return OrderStep::Wait("the lease ends too soon for the order");
        }
        OrderStep::Send
    }

    fn first_step(&self, now: ClockTime, grant: &DutyGrant) -> OrderStep {
        if self.intended {
            return OrderStep::Stop("the intent does not count: another order is open");
        }
        // A predecessor that was frozen between its look at the clock and its
        // sending may still send: a receiver that ignores fencing numbers would
        // obey both. Until such a sending has timed out nothing new is ordered.
        if !self.checks_fencing && now < grant.claimed_at + self.rule.takeover_delay {
            return OrderStep::Wait("a predecessor's order may still arrive");
        }
        OrderStep::Intend(self.intent(grant))
    }

    fn intent(&self, grant: &DutyGrant) -> IntentRecord {
        IntentRecord {
            duty: grant.duty.clone(),
            fence: grant.fence,
            order: self.order.clone(),
            body: self.body.clone(),
        }
    }

    fn settle_step(
        &self,
        grant: &DutyGrant,
        outcome: OrderOutcome,
        reason: &'static str,
    ) -> OrderStep {
        let record = OutcomeRecord {
            duty: grant.duty.clone(),
            fence: grant.fence,
            order: self.order.clone(),
            outcome,
        };
        OrderStep::Settle { record, reason }
    }

    /// Notes that the intent has been appended and read back, counted or not.
    pub fn note_intent(&mut self) {
        self.intended = true;
    }

    /// Takes what was seen at the receiver.
    pub fn note_observation(&mut self, now: ClockTime, view: &ObservedEffect) {
        match view {
            ObservedEffect::Done => self.verdict = Some((OrderOutcome::Applied, "seen in effect")),
            ObservedEffect::Conflicting => {
                let reason = "the receiver has something else in its place";
                self.verdict = Some((OrderOutcome::Refused, reason));
            }
            ObservedEffect::Removed => self.verdict = Some(self.gone_verdict()),
            ObservedEffect::Unreachable => self.resume_at = now + self.rule.retry_pause,
            ObservedEffect::Absent => self.observed = true,
            ObservedEffect::Engine(engine) => self.observed_engine(now, engine),
        }
    }

    fn gone_verdict(&self) -> (OrderOutcome, &'static str) {
        match self.body {
            OrderBody::StopEndpoint { .. } => (OrderOutcome::Applied, "the endpoint is gone"),
            _ => (OrderOutcome::Abandoned, "the endpoint is gone"),
        }
    }

    fn observed_engine(&mut self, now: ClockTime, engine: &EngineView) {
        let crashed = self
            .incarnation
            .is_some_and(|incarnation| incarnation != engine.incarnation);
        self.incarnation = Some(engine.incarnation);
        if engine.changing {
            self.resume_at = now + self.rule.retry_pause;
            return;
        }
        if engine.last_order.as_ref() == Some(&self.order) {
            self.verdict = Some((OrderOutcome::Applied, "seen in effect"));
            return;
        }
        // The engine that took the order is gone, and what runs in its place
        // never had it: whether to order again is for the next plan to decide.
        if crashed && self.sent {
            self.verdict = Some((OrderOutcome::Abandoned, "the engine was started again"));
            return;
        }
        self.observed = true;
    }

    /// Takes what became of a sending.
    pub fn note_answer(&mut self, now: ClockTime, answer: SendAnswer) {
        self.sent = true;
        self.observed = false;
        self.resume_at = now + self.rule.retry_pause;
        match answer {
            SendAnswer::Accepted | SendAnswer::Unavailable | SendAnswer::Unknown => {}
            SendAnswer::Done => self.verdict = Some((OrderOutcome::Applied, "carried out")),
            SendAnswer::Refused => self.verdict = Some((OrderOutcome::Refused, "refused")),
            SendAnswer::Stale => self.stopped = Some("the receiver knows of a successor"),
        }
    }
}
