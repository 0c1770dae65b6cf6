//! The `fleet` duty: starts and stops of endpoints, and marks of those that the
//! platform takes back.

use std::collections::BTreeMap;

use bluebell_core::{
    authority::DutyGrant,
    clock::ClockTime,
    ids::{EndpointId, LogOffset, OrderId},
    orders::{ChangeRun, OrderRun},
    records::{DutyName, OrderBody, OrderOutcome},
};
use bluebell_platform::api::EndpointState;
use tokio_util::sync::CancellationToken;

use crate::{
    context::DutyContext,
    engines,
    fleet_plan::{self, FleetMemory},
    marks, steps,
};

/// The orders under way.
#[derive(Debug, Default)]
pub struct FleetDesk {
    fence: LogOffset,
    orders: u64,
    planned_at: Option<ClockTime>,
    memory: FleetMemory,
    stops: BTreeMap<EndpointId, ChangeRun>,
    starts: BTreeMap<OrderId, OrderRun>,
}

impl FleetDesk {
    fn new(fence: LogOffset) -> FleetDesk {
        FleetDesk {
            fence,
            ..FleetDesk::default()
        }
    }

    fn is_idle(&self) -> bool {
        self.stops.is_empty() && self.starts.is_empty()
    }

    /// Adds an order, new or found open in the log.
    fn add(&mut self, context: &DutyContext, order: OrderId, body: &OrderBody) {
        let checks = context.settings.orders.platform_checks_fencing;
        let run = OrderRun::new(order.clone(), body.clone(), checks, context.order_rule());
        match engines::endpoint_of(body) {
            Some(endpoint) => {
                let rule = engines::drain_rule(context);
                let change = ChangeRun::new(endpoint.clone(), run, rule);
                self.stops.entry(endpoint).or_insert(change);
            }
            None => {
                self.starts.entry(order).or_insert(run);
            }
        }
    }
}

/// Runs the fleet while the duty is held here.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let interval = context.settings.orders.interval.as_duration();
    let mut desk = FleetDesk::default();
    while !token.is_cancelled() {
        match context.desk.grant(&DutyName::Fleet) {
            Some(grant) => pass(&context, &grant, &mut desk).await,
            None => {
                desk = FleetDesk::default();
                context.desk.set_busy(&DutyName::Fleet, false);
            }
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
    }
}

async fn pass(context: &DutyContext, grant: &DutyGrant, desk: &mut FleetDesk) {
    if desk.fence != grant.fence {
        *desk = FleetDesk::new(grant.fence);
    }
    if context.directory.asked_at().is_none() {
        return;
    }
    marks::mark_reclaimed(context, &grant.duty).await;
    take_over(context, desk);
    plan(context, &grant.duty, desk).await;
    context.desk.set_busy(&grant.duty, !desk.is_idle());
    drive(context, &grant.duty, desk).await;
    context.desk.set_busy(&grant.duty, !desk.is_idle());
    let planned: Vec<&EndpointId> = desk.stops.keys().collect();
    marks::clear_orphans(context, &grant.duty, &planned).await;
}

/// Orders that a predecessor left open come before anything new.
fn take_over(context: &DutyContext, desk: &mut FleetDesk) {
    let open: Vec<(OrderId, OrderBody)> = context.node.with_view(|view| {
        let orders = view.orders.open_orders();
        let own = orders.filter(|(_, open)| open.duty == DutyName::Fleet);
        own.map(|(order, open)| (order.clone(), open.body.clone()))
            .collect()
    });
    for (order, body) in open {
        desk.add(context, order, &body);
    }
}

/// Plans once no start is under way: one whose outcome is unknown may have brought
/// an endpoint that the list does not show yet, and would be ordered again.
async fn plan(context: &DutyContext, duty: &DutyName, desk: &mut FleetDesk) {
    let now = context.now();
    let every = context.settings.fleet.every;
    let rested = desk.planned_at.is_none_or(|at| now >= at + every);
    if !desk.starts.is_empty() || !rested {
        return;
    }
    context.directory.refresh(&context.node).await;
    if context
        .directory
        .asked_at()
        .is_none_or(|asked_at| asked_at < now)
    {
        return;
    }
    desk.planned_at = Some(now);
    let stopping = desk.stops.keys().cloned().collect();
    for (body, reason) in fleet_plan::next_changes(context, &mut desk.memory, &stopping) {
        if let Some(endpoint) = take_back(context, desk, &body) {
            let subjects = [endpoint.to_string()];
            context.decide(duty, &subjects, "planned stop taken back", &reason);
            continue;
        }
        desk.orders += 1;
        let order = OrderId::new(format!("order:{}:{}", desk.fence, desk.orders));
        let order = order.expect("numbers make a valid id");
        let mut subjects = vec![order.to_string()];
        subjects.extend(engines::endpoint_of(&body).map(|endpoint| endpoint.to_string()));
        context.decide(duty, &subjects, &format!("planned {body:?}"), &reason);
        desk.add(context, order, &body);
    }
}

/// Takes back the stop of an endpoint that would do what `body` starts one for, as
/// long as no intent to stop it stands in the log. Its mark is cleared as one
/// without a change.
fn take_back(context: &DutyContext, desk: &mut FleetDesk, body: &OrderBody) -> Option<EndpointId> {
    let OrderBody::StartEndpoint {
        failure_domain,
        capacity,
        service,
    } = body
    else {
        return None;
    };
    let endpoint = desk.stops.iter().find_map(|(endpoint, change)| {
        let listing = context.directory.listing(endpoint)?;
        let order = change.run().order();
        let open = context
            .node
            .with_view(|view| view.orders.open(order).is_some());
        let same = listing.failure_domain == *failure_domain
            && listing.capacity == *capacity
            && listing.service == *service
            && listing.state == EndpointState::Ready;
        (same && !open).then(|| endpoint.clone())
    })?;
    desk.stops.remove(&endpoint);
    Some(endpoint)
}

/// Remembers where the cheaper kind was refused.
fn note_refusal(context: &DutyContext, desk: &mut FleetDesk, order: &OrderId, body: &OrderBody) {
    let refused = context.node.with_view(|view| {
        let settled = view.orders.settled(order);
        settled.is_some_and(|settled| settled.outcome == OrderOutcome::Refused)
    });
    if let (true, Some(domain)) = (refused, fleet_plan::preemptible_domain(body)) {
        desk.memory.note_lost(context.now(), domain);
    }
}

async fn drive(context: &DutyContext, duty: &DutyName, desk: &mut FleetDesk) {
    let starts = desk.starts.iter_mut().map(|(order, run)| async {
        let ended = steps::drive_order(context, duty, run).await;
        ended.then(|| order.clone())
    });
    let ended = futures::future::join_all(starts).await;
    for order in ended.into_iter().flatten() {
        if let Some(run) = desk.starts.remove(&order) {
            note_refusal(context, desk, &order, run.body());
        }
    }
    let stops = desk.stops.iter_mut().map(|(endpoint, change)| async {
        let ended = steps::drive_change(context, duty, change).await;
        ended.then(|| endpoint.clone())
    });
    let ended = futures::future::join_all(stops).await;
    for endpoint in ended.into_iter().flatten() {
        desk.stops.remove(&endpoint);
    }
}
