//! Orders to engines and to the platform: intent first, then the order, then
//! its outcome.
//!
//! An intent counts only under the fencing number in force, and only while no
//! other order to the same target is open. So whatever two processes believe,
//! the log never has two different open orders for one engine; a successor
//! finds its predecessor's open orders there and finishes them, under the same
//! ids, before it starts its own ([`run::OrderRun`]).

mod change;
mod run;

use std::collections::BTreeMap;

pub use self::{
    change::{ChangeRun, ChangeStep},
    run::{EngineView, ObservedEffect, OrderRun, OrderStep, OrderTiming, SendAnswer},
};
use crate::{
    authority::LeaseState,
    clock::ClockTime,
    ids::{EndpointId, LogOffset, OrderId},
    records::{
        CheckpointItem, DutyName, IntentRecord, OrderBody, OrderOutcome, OutcomeRecord, UsageWindow,
    },
};

/// How many settled orders are remembered.
const SETTLED_LIMIT: usize = 64;

/// What at most one open order may speak of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// An endpoint.
    Endpoint(EndpointId),
    /// An endpoint that does not exist yet; starts don't exclude each other.
    NewEndpoint,
    /// A usage window.
    Window(UsageWindow),
}

impl OrderTarget {
    /// What `body` speaks of.
    pub fn with_body(body: &OrderBody) -> OrderTarget {
        match body {
            OrderBody::SetRole { endpoint, .. }
            | OrderBody::LoadModel { endpoint, .. }
            | OrderBody::StopEndpoint { endpoint } => OrderTarget::Endpoint(endpoint.clone()),
            OrderBody::StartEndpoint { .. } => OrderTarget::NewEndpoint,
            OrderBody::ReportUsage { window } => OrderTarget::Window(*window),
        }
    }

    fn excludes(&self, other: &OrderTarget) -> bool {
        *self != OrderTarget::NewEndpoint && self == other
    }
}

/// An order that may be sent, or may have been.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct OpenOrder {
    /// The duty that it belongs to.
    pub duty: DutyName,
    /// The fencing number of whoever answers for it: its first sender's, or that
    /// of the successor who took it over.
    pub fence: LogOffset,
    /// What is ordered.
    pub body: OrderBody,
    /// Where its first intent stands.
    pub offset: LogOffset,
}

/// An order that has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettledOrder {
    /// The duty that it belonged to.
    pub duty: DutyName,
    /// What was ordered.
    pub body: OrderBody,
    /// How it ended.
    pub outcome: OrderOutcome,
    /// Where its outcome stands.
    pub offset: LogOffset,
}

/// The orders that the log knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct OrderState {
    open: BTreeMap<OrderId, OpenOrder>,
    settled: BTreeMap<OrderId, SettledOrder>,
}

impl OrderState {
    /// Nothing read yet.
    pub fn new() -> OrderState {
        OrderState::default()
    }

    /// The order, if it is open.
    pub fn open(&self, order: &OrderId) -> Option<&OpenOrder> {
        self.open.get(order)
    }

    /// All open orders, by id.
    pub fn open_orders(&self) -> impl Iterator<Item = (&OrderId, &OpenOrder)> {
        self.open.iter()
    }

    /// The open order that speaks of `endpoint`.
    pub fn open_at(&self, endpoint: &EndpointId) -> Option<(&OrderId, &OpenOrder)> {
        let target = OrderTarget::Endpoint(endpoint.clone());
        let speaks_of = |open: &OpenOrder| OrderTarget::with_body(&open.body) == target;
        self.open.iter().find(|(_, open)| speaks_of(open))
    }

    /// The order, if it has ended and is still remembered.
    pub fn settled(&self, order: &OrderId) -> Option<&SettledOrder> {
        self.settled.get(order)
    }

    /// Whether an order to stop `endpoint` has taken effect, as far back as is
    /// remembered.
    pub fn was_stopped(&self, endpoint: &EndpointId) -> bool {
        self.settled.values().any(|settled| {
            let stop =
                matches!(&settled.body, OrderBody::StopEndpoint { endpoint: e } if e == endpoint);
            stop && settled.outcome == OrderOutcome::Applied
        })
    }

    /// Applies an intent read at `offset`. A repeat of an open order under a
    /// later fencing number is its successor taking it over.
    pub fn intend(
        &mut self,
        _now: ClockTime,
        offset: LogOffset,
        record: &IntentRecord,
        leases: &LeaseState,
    ) {
        if !leases.is_current(&record.duty, record.fence) {
            return;
        }
        if self.settled.contains_key(&record.order) {
            return;
        }
        if let Some(open) = self.open.get_mut(&record.order) {
            if open.duty == record.duty && open.body == record.body {
                open.fence = record.fence;
            }
            return;
        }
        let target = OrderTarget::with_body(&record.body);
        let occupied = self
            .open
            .values()
            .any(|open| OrderTarget::with_body(&open.body).excludes(&target));
        if occupied {
            return;
        }
        let open = OpenOrder {
            duty: record.duty.clone(),
            fence: record.fence,
            body: record.body.clone(),
            offset,
        };
        self.open.insert(record.order.clone(), open);
    }

    /// Applies an outcome; answers what was ordered if the order ends with it.
    pub fn settle(
        &mut self,
        _now: ClockTime,
        offset: LogOffset,
        record: &OutcomeRecord,
        leases: &LeaseState,
    ) -> Option<OrderBody> {
        let open = self.open.get(&record.order)?;
        if open.duty != record.duty || !leases.is_current(&record.duty, record.fence) {
            return None;
        }
        let open = self.open.remove(&record.order)?;
        let settled = SettledOrder {
            duty: open.duty,
            body: open.body.clone(),
            outcome: record.outcome,
            offset,
        };
        self.remember(record.order.clone(), settled);
        Some(open.body)
    }

    fn remember(&mut self, order: OrderId, settled: SettledOrder) {
        self.settled.insert(order, settled);
        if self.settled.len() <= SETTLED_LIMIT {
            return;
        }
        let oldest = self
            .settled
            .iter()
            .min_by_key(|(_, settled)| settled.offset);
        if let Some(oldest) = oldest.map(|(order, _)| order.clone()) {
            self.settled.remove(&oldest);
        }
    }

    /// The orders as items of a checkpoint.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let open = self
            .open
            .iter()
            .map(|(order, open)| CheckpointItem::Intent {
                intent: IntentRecord {
                    duty: open.duty.clone(),
                    fence: open.fence,
                    order: order.clone(),
                    body: open.body.clone(),
                },
                offset: open.offset,
            });
        let settled = self
            .settled
            .iter()
            .map(|(order, settled)| CheckpointItem::Settled {
                duty: settled.duty.clone(),
                order: order.clone(),
                body: settled.body.clone(),
                outcome: settled.outcome,
                offset: settled.offset,
            });
        open.chain(settled).collect()
    }

    /// Takes over an item of a checkpoint.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        match item {
            CheckpointItem::Intent { intent, offset } => {
                if self.settled.contains_key(&intent.order) {
                    return;
                }
                let open = OpenOrder {
                    duty: intent.duty.clone(),
                    fence: intent.fence,
                    body: intent.body.clone(),
                    offset: *offset,
                };
                self.open.entry(intent.order.clone()).or_insert(open);
            }
            CheckpointItem::Settled {
                duty,
                order,
                body,
                outcome,
                offset,
            } => {
                let settled = SettledOrder {
                    duty: duty.clone(),
                    body: body.clone(),
                    outcome: *outcome,
                    offset: *offset,
                };
                self.open.remove(order);
                self.remember(order.clone(), settled);
            }
            _ => {}
        }
    }
}
