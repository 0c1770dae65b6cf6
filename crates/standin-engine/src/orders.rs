//! Orders: a change of role or model takes a while, and no work is taken meanwhile.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{LogOffset, ModelName, OrderId},
    records::{EngineRole, OrderBody},
};
use bluebell_endpoint::api::{EngineOrder, OrderAnswer};

use crate::settings::EngineSettings;

/// What the engine is and what it is changing into.
#[derive(Clone, Debug)]
pub struct OrderDesk {
    settings: EngineSettings,
    role: EngineRole,
    model: ModelName,
    busy_until: ClockTime,
    fence: LogOffset,
    last: Option<OrderAnswer>,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It takes effect.
    Applied(OrderAnswer),
    /// It took effect before.
    Repeated(OrderAnswer),
    /// Its fencing number is old.
    Stale,
    /// Another order is under way.
    Busy {
        /// For how long.
        remaining: TimeSpan,
    },
    /// It is no order for an engine.
    Unknown,
}

impl OrderDesk {
    /// An engine as its settings say.
    pub fn new(settings: &EngineSettings) -> OrderDesk {
        OrderDesk {
            settings: settings.clone(),
            role: settings.role,
            model: settings.model.clone(),
            busy_until: ClockTime::default(),
            fence: LogOffset::START,
            last: None,
        }
    }

    /// Its role, or the one that it is changing to.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Its model, or the one that it is loading.
    pub fn model(&self) -> &ModelName {
        &self.model
    }

    /// The greatest fencing number seen.
    pub fn fence(&self) -> LogOffset {
        self.fence
    }

    /// The last order that took effect.
    pub fn last_order(&self) -> Option<&OrderId> {
        self.last.as_ref().map(|answer| &answer.order)
    }

    /// How long the change under way still takes.
    pub fn change_left(&self, now: ClockTime) -> Option<TimeSpan> {
        let left = self.busy_until.since(now);
        (left > TimeSpan::ZERO).then_some(left)
    }

    /// Takes an order.
    pub fn take(&mut self, now: ClockTime, order: &EngineOrder) -> OrderResult {
        if let Some(last) = &self.last
            && last.order == order.order
        {
            return OrderResult::Repeated(last.clone());
        }
        if self.settings.checks_fencing && order.fence < self.fence {
            return OrderResult::Stale;
        }
        // An engine that ignores fencing numbers obeys whoever comes last.
        if self.settings.checks_fencing
            && let Some(remaining) = self.change_left(now)
        {
            return OrderResult::Busy { remaining };
        }
        let takes = match &order.body {
            OrderBody::SetRole { role, .. } => {
                self.role = *role;
                self.settings.role_change
            }
            OrderBody::LoadModel { model, .. } => {
                self.model = model.clone();
                self.settings.model_load
            }
            _ => return OrderResult::Unknown,
        };
        self.fence = self.fence.max(order.fence);
        self.busy_until = now + takes;
        let answer = OrderAnswer {
            order: order.order.clone(),
            takes,
        };
        self.last = Some(answer.clone());
        OrderResult::Applied(answer)
    }
}
