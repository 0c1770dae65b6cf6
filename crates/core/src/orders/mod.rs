//! Orders to engines and to the platform. The intent is appended to the log
//! before the order is sent, and the outcome after it has ended.
//!
//! An intent is valid only under the current fencing number, and only while no
//! other order to the same target is open. So the log never holds two different
//! open orders for one engine, even if two processes assume that they hold the
//! duty. The next holder of the duty finds its predecessor's open orders in the
//! log and finishes them under the same ids before it starts its own ([`run::OrderRun`]).

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

/// Maximum number of settled orders that are kept.
const MAX_SETTLED_ORDERS: usize = 64;

/// The target of an order. A target has at most one open order at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// An existing endpoint.
    Endpoint(EndpointId),
    /// An endpoint that does not exist yet. Any number of starts may be open.
    NewEndpoint,
    /// A usage window.
    Window(UsageWindow),
}

impl OrderTarget {
    /// The target of `body`.
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

/// An order with a valid intent and no outcome: it may have been sent already.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct OpenOrder {
    /// The duty that the order belongs to.
    pub duty: DutyName,
    /// The fencing number of the holder in charge of the order: that of its first
    /// sender, or that of the successor that took it over.
    pub fence: LogOffset,
    /// The content of the order.
    pub body: OrderBody,
    /// The offset of its first intent.
    pub offset: LogOffset,
}

/// An order that has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettledOrder {
    /// The duty that the order belonged to.
    pub duty: DutyName,
    /// The content of the order.
    pub body: OrderBody,
    /// How it ended.
    pub outcome: OrderOutcome,
    /// The offset of its outcome.
    pub offset: LogOffset,
}

/// The open and settled orders, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct OrderState {
    open: BTreeMap<OrderId, OpenOrder>,
    settled: BTreeMap<OrderId, SettledOrder>,
}

impl OrderState {
    /// Creates the state before the first record of the log.
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

    /// The open order whose target is `endpoint`.
    pub fn open_at(&self, endpoint: &EndpointId) -> Option<(&OrderId, &OpenOrder)> {
        let target = OrderTarget::Endpoint(endpoint.clone());
        let targets_endpoint = |open: &OpenOrder| OrderTarget::with_body(&open.body) == target;
        self.open.iter().find(|(_, open)| targets_endpoint(open))
    }

    /// The order, if it has ended and is still kept.
    pub fn settled(&self, order: &OrderId) -> Option<&SettledOrder> {
        self.settled.get(order)
    }

    /// Whether one of the kept settled orders stopped `endpoint`.
    pub fn was_stopped(&self, endpoint: &EndpointId) -> bool {
        self.settled.values().any(|settled| {
            let stop =
                matches!(&settled.body, OrderBody::StopEndpoint { endpoint: e } if e == endpoint);
            stop && settled.outcome == OrderOutcome::Applied
        })
    }

    /// Applies an intent read at `offset`. If the order is open already, the intent
    /// moves it to a later fencing number: a new holder takes it over.
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

    /// Applies an outcome. Returns the content of the order if the outcome ends it.
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
        self.insert_settled(record.order.clone(), settled);
        Some(open.body)
    }

    fn insert_settled(&mut self, order: OrderId, settled: SettledOrder) {
        self.settled.insert(order, settled);
        if self.settled.len() <= MAX_SETTLED_ORDERS {
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

    /// Returns the orders as checkpoint items.
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

    /// Restores an order from a checkpoint item; ignores items of other kinds.
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
                self.insert_settled(order.clone(), settled);
            }
            _ => {}
        }
    }
}
