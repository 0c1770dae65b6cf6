//! The `engines/<failure domain>` duties: roles and models of engines.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    draining::DrainTiming,
    ids::{EndpointId, LogOffset, OrderId},
    orders::{ChangeRun, OrderRun},
    records::{DutyName, OrderBody},
};
use bluebell_platform::api::{EndpointKind, EndpointListing, EndpointState};
use tokio_util::sync::CancellationToken;

use crate::{context::DutyContext, marks, plans, steps};

/// Plans are made once in so many looks: each asks every engine.
const PLAN_EVERY: u64 = 4;

/// The changes under way of one failure domain's engines.
#[derive(Debug)]
struct EngineDesk {
    fence: LogOffset,
    orders: u64,
    planned_at: Option<ClockTime>,
    changes: BTreeMap<EndpointId, ChangeRun>,
}

/// Changes engines while any failure domain's duty is held here.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let interval = context.settings.orders.interval.as_duration();
    let mut desks: BTreeMap<DutyName, EngineDesk> = BTreeMap::new();
    while !token.is_cancelled() {
        let held = context.desk.grants();
        let fence_of = |duty: &DutyName| held.iter().find(|g| g.duty == *duty).map(|g| g.fence);
        desks.retain(|duty, desk| {
            let kept = fence_of(duty) == Some(desk.fence);
            if !kept {
                context.desk.set_busy(duty, false);
            }
            kept
        });
        for grant in &held {
            if matches!(grant.duty, DutyName::Engines(_)) {
                let desk = EngineDesk {
                    fence: grant.fence,
                    orders: 0,
                    planned_at: None,
                    changes: BTreeMap::new(),
                };
                desks.entry(grant.duty.clone()).or_insert(desk);
            }
        }
        let passes = desks
            .iter_mut()
            .map(|(duty, desk)| pass(&context, duty, desk));
        futures::future::join_all(passes).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
    }
}

async fn pass(context: &DutyContext, duty: &DutyName, desk: &mut EngineDesk) {
    if context.directory.asked_at().is_none() {
        return;
    }
    drop_lost(context, desk);
    take_over(context, duty, desk);
    if desk.changes.is_empty() {
        plan(context, duty, desk).await;
    }
    context.desk.set_busy(duty, !desk.changes.is_empty());
    let driven = desk.changes.iter_mut().map(|(endpoint, change)| async {
        let ended = steps::drive_change(context, duty, change).await;
        ended.then(|| endpoint.clone())
    });
    let ended = futures::future::join_all(driven).await;
    for endpoint in ended.into_iter().flatten() {
        desk.changes.remove(&endpoint);
    }
    context.desk.set_busy(duty, !desk.changes.is_empty());
    let planned: Vec<&EndpointId> = desk.changes.keys().collect();
    marks::clear_orphans(context, duty, &planned).await;
}

/// Ends changes that have not come to an intent and whose engine no longer serves:
/// it would never be seen empty.
fn drop_lost(context: &DutyContext, desk: &mut EngineDesk) {
    desk.changes.retain(|endpoint, change| {
        let order = change.run().order();
        let open = context
            .node
            .with_view(|view| view.orders.open(order).is_some());
        let listing = context.directory.listing(endpoint);
        open || listing.is_some_and(|listing| is_ready_engine(&listing))
    });
}

/// Orders that a predecessor left open come before anything new.
fn take_over(context: &DutyContext, duty: &DutyName, desk: &mut EngineDesk) {
    let open: Vec<(OrderId, OrderBody)> = context.node.with_view(|view| {
        let orders = view.orders.open_orders();
        let own = orders.filter(|(_, open)| open.duty == *duty);
        own.map(|(order, open)| (order.clone(), open.body.clone()))
            .collect()
    });
    for (order, body) in open {
        let Some(endpoint) = endpoint_of(&body) else {
            continue;
        };
        desk.changes
            .entry(endpoint.clone())
            .or_insert_with(|| new_change(context, &endpoint, order, body));
    }
}

/// One change at a time in a failure domain, so that its capacity never falls by
/// more than one engine for a planned change.
async fn plan(context: &DutyContext, duty: &DutyName, desk: &mut EngineDesk) {
    let now = context.now();
    let every = context.settings.orders.interval.times(PLAN_EVERY);
    if desk.planned_at.is_some_and(|at| now < at + every) {
        return;
    }
    desk.planned_at = Some(now);
    let Some((body, reason)) = plans::next_engine_order(context, duty).await else {
        return;
    };
    let Some(endpoint) = endpoint_of(&body) else {
        return;
    };
    desk.orders += 1;
    let order = OrderId::new(format!("order:{}:{}", desk.fence, desk.orders));
    let order = order.expect("numbers make a valid id");
    let subjects = [order.to_string(), endpoint.to_string()];
    context.decide(duty, &subjects, &format!("planned {body:?}"), &reason);
    let change = new_change(context, &endpoint, order, body);
    desk.changes.insert(endpoint, change);
}

fn new_change(
    context: &DutyContext,
    endpoint: &EndpointId,
    order: OrderId,
    body: OrderBody,
) -> ChangeRun {
    let listing = context.directory.listing(endpoint);
    let checks = listing.is_some_and(|listing| listing.checks_fencing);
    let run = OrderRun::new(order, body, checks, context.order_rule());
    ChangeRun::new(endpoint.clone(), run, drain_rule(context))
}

/// How long draining waits.
pub fn drain_rule(context: &DutyContext) -> DrainTiming {
    DrainTiming {
        unreachable_timeout: context.settings.orders.drain_bound,
        transit_time: context.settings.orders.drain_settle,
    }
}

/// The endpoint that an order speaks of.
pub fn endpoint_of(body: &OrderBody) -> Option<EndpointId> {
    match body {
        OrderBody::SetRole { endpoint, .. }
        | OrderBody::LoadModel { endpoint, .. }
        | OrderBody::StopEndpoint { endpoint } => Some(endpoint.clone()),
        OrderBody::StartEndpoint { .. } | OrderBody::ReportUsage { .. } => None,
    }
}

/// Whether the endpoint is an engine that serves.
pub fn is_ready_engine(listing: &EndpointListing) -> bool {
    listing.kind == EndpointKind::Engine && listing.state == EndpointState::Ready
}
