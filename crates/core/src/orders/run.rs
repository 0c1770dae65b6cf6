//! One order, from its intent to its outcome.
//!
//! An order may be lost in transit, take effect while its answer is lost, or be
//! sent by a process that was frozen and has lost its lease meanwhile. The intent
//! is in the log before the first byte is sent, so the next holder of the duty
//! can tell that the order may have taken effect. It observes the receiver before
//! it sends the order again, and uses the same id, by which the receiver detects
//! the repeat.

use super::OrderState;
use crate::{
    authority::DutyGrant,
    clock::{ClockTime, TimeSpan},
    ids::{ModelName, OrderId},
    records::{EngineRole, IntentRecord, OrderBody, OrderOutcome, OutcomeRecord},
};

/// Timeouts and delays of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// How long one attempt to send the order may take.
    pub timeout: TimeSpan,
    /// The delay before the receiver is observed or sent the order again.
    pub retry_pause: TimeSpan,
    /// How long a new holder of a duty waits before it sends a new order to a
    /// receiver that ignores fencing numbers: lease duration, order timeout and
    /// margin.
    pub takeover_delay: TimeSpan,
}

/// The state that an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The current role.
    pub role: EngineRole,
    /// The loaded model.
    pub model: ModelName,
    /// Whether a change is in progress.
    pub changing: bool,
    /// The last order that the engine accepted.
    pub last_order: Option<OrderId>,
}

/// The effect of an order, as observed at its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservedEffect {
    /// The receiver is an engine, which reported its state.
    Engine(EngineView),
    /// The order has taken effect.
    Done,
    /// The order has not taken effect.
    Absent,
    /// A different effect is recorded in its place, which the order can't replace.
    Conflicting,
    /// The receiver no longer exists.
    Removed,
    /// The receiver could not be queried.
    Unreachable,
}

/// The result of one attempt to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// The receiver has accepted the order and is executing it.
    Accepted,
    /// The receiver has executed the order.
    Done,
    /// The receiver has seen a later fencing number; the order has no effect.
    Stale,
    /// The receiver refused the order, which has no effect.
    Refused,
    /// The receiver can't accept the order now; it has no effect.
    Unavailable,
    /// It is unknown whether the order reached the receiver.
    Unknown,
}

/// The next action for an order, to be taken by the holder of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Append the intent and wait until it has been read back.
    Intend(IntentRecord),
    /// Observe the receiver.
    Observe,
    /// Send the order, unless the lease has ended by the local clock.
    Send,
    /// Append the outcome.
    Settle {
        /// The outcome record.
        record: OutcomeRecord,
        /// The reason for the outcome, for the decision record.
        reason: &'static str,
    },
    /// Wait, for the reason given.
    Wait(&'static str),
    /// End the run in this process: the order has ended, or another process holds
    /// the duty.
    Stop(&'static str),
}

/// State machine of one order, run by the holder of its duty.
#[derive(Clone, Debug)]
pub struct OrderRun {
    order: OrderId,
    body: OrderBody,
    checks_fencing: bool,
    timing: OrderTiming,
    intent_appended: bool,
    outcome: Option<(OrderOutcome, &'static str)>,
    stop_reason: Option<&'static str>,
    observed: bool,
    incarnation: Option<u64>,
    sent: bool,
    resume_at: ClockTime,
}

impl OrderRun {
    /// Creates a run of `order`, which is new or already open in the log.
    /// `checks_fencing` states whether the receiver checks fencing numbers.
    pub fn new(
        order: OrderId,
        body: OrderBody,
        checks_fencing: bool,
        timing: OrderTiming,
    ) -> OrderRun {
        OrderRun {
            order,
            body,
            checks_fencing,
            timing,
            intent_appended: false,
            outcome: None,
            stop_reason: None,
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

    /// The content of the order.
    pub fn body(&self) -> &OrderBody {
        &self.body
    }

    /// Returns the next action for the current grant and the state of the log.
    pub fn next_step(
        &self,
        now: ClockTime,
        grant: Option<&DutyGrant>,
        orders: &OrderState,
    ) -> OrderStep {
        if let Some(reason) = self.stop_reason {
            return OrderStep::Stop(reason);
        }
        if orders.settled(&self.order).is_some() {
            return OrderStep::Stop("the order has been settled");
        }
        let Some(grant) = grant else {
            return OrderStep::Stop("the lease on the duty has ended");
        };
        let Some(open) = orders.open(&self.order) else {
            return self.first_step(now, grant);
        };
        if open.fence != grant.fence {
            return OrderStep::Intend(self.intent(grant));
        }
        if let Some((outcome, reason)) = self.outcome {
            return self.settle_step(grant, outcome, reason);
        }
        if now < self.resume_at {
            return OrderStep::Wait("the pause before the next attempt has not passed");
        }
        if !self.observed {
            return OrderStep::Observe;
        }
        if !grant.covers(now, self.timing.timeout) {
            return OrderStep::Wait("the lease would end before the order times out");
        }
        OrderStep::Send
    }

    fn first_step(&self, now: ClockTime, grant: &DutyGrant) -> OrderStep {
        if self.intent_appended {
            return OrderStep::Stop("the intent is not valid: another order is open");
        }
        // A predecessor that was frozen between its check of the clock and its send
        // may still send an order, and a receiver that ignores fencing numbers would
        // execute both. No new order is sent until such an order has timed out.
        if !self.checks_fencing && now < grant.claimed_at + self.timing.takeover_delay {
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

    /// Records that the intent has been appended and read back, whether it is valid
    /// or not.
    pub fn note_intent(&mut self) {
        self.intent_appended = true;
    }

    /// Records an observation of the receiver made at `now`.
    pub fn note_observation(&mut self, now: ClockTime, view: &ObservedEffect) {
        match view {
            ObservedEffect::Done => self.outcome = Some((OrderOutcome::Applied, "effect observed")),
            ObservedEffect::Conflicting => {
                let reason = "the receiver has a conflicting effect";
                self.outcome = Some((OrderOutcome::Refused, reason));
            }
            ObservedEffect::Removed => self.outcome = Some(self.removed_outcome()),
            ObservedEffect::Unreachable => self.resume_at = now + self.timing.retry_pause,
            ObservedEffect::Absent => self.observed = true,
            ObservedEffect::Engine(engine) => self.observed_engine(now, engine),
        }
    }

    fn removed_outcome(&self) -> (OrderOutcome, &'static str) {
        match self.body {
            OrderBody::StopEndpoint { .. } => {
                (OrderOutcome::Applied, "the endpoint no longer exists")
            }
            _ => (OrderOutcome::Abandoned, "the endpoint no longer exists"),
        }
    }

    fn observed_engine(&mut self, now: ClockTime, engine: &EngineView) {
        let restarted = self
            .incarnation
            .is_some_and(|incarnation| incarnation != engine.incarnation);
        self.incarnation = Some(engine.incarnation);
        if engine.changing {
            self.resume_at = now + self.timing.retry_pause;
            return;
        }
        if engine.last_order.as_ref() == Some(&self.order) {
            self.outcome = Some((OrderOutcome::Applied, "effect observed"));
            return;
        }
        // The incarnation that accepted the order has ended, and the new one never
        // received it. The next plan decides whether the change is ordered again.
        if restarted && self.sent {
            self.outcome = Some((OrderOutcome::Abandoned, "the engine was restarted"));
            return;
        }
        self.observed = true;
    }

    /// Records the result of an attempt to send the order, received at `now`.
    pub fn note_answer(&mut self, now: ClockTime, answer: SendAnswer) {
        self.sent = true;
        self.observed = false;
        self.resume_at = now + self.timing.retry_pause;
        match answer {
            SendAnswer::Accepted | SendAnswer::Unavailable | SendAnswer::Unknown => {}
            SendAnswer::Done => self.outcome = Some((OrderOutcome::Applied, "executed")),
            SendAnswer::Refused => self.outcome = Some((OrderOutcome::Refused, "refused")),
            SendAnswer::Stale => self.stop_reason = Some("a later fencing number was seen"),
        }
    }
}
