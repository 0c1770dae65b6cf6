//! Which engine changes its role next, by what arrives.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, ModelName},
    records::{EngineRole, OrderBody},
    roles::{PlannedRoleChange, RoleEngine, RoleInputs, RolePlanner},
    routing::RoutePool,
};
use bluebell_endpoint::api::EngineStatus;
use bluebell_platform::api::{EndpointListing, EndpointState};

use crate::{context::DutyContext, plans::AskedEngine};

/// Since when engines are known to have their roles; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RoleMemory {
    since: Arc<Mutex<BTreeMap<EndpointId, (EngineRole, ClockTime)>>>,
}

impl RoleMemory {
    /// Nothing known yet.
    pub fn new() -> RoleMemory {
        RoleMemory::default()
    }

    /// Notes an engine's role and answers since when it is known to have it. A
    /// new holder of the duty thus lets every engine rest first.
    fn note(&self, now: ClockTime, endpoint: &EndpointId, role: EngineRole) -> ClockTime {
        let mut since = self.since.lock().expect("no holder panics");
        let known = since.entry(endpoint.clone()).or_insert((role, now));
        if known.0 != role {
            *known = (role, now);
        }
        known.1
    }
}

/// The next change of role in `domain`, if any pays for itself.
pub fn next_role(
    context: &DutyContext,
    domain: &FailureDomain,
    asked: &[AskedEngine],
) -> Option<(OrderBody, String)> {
    if !context.settings.roles.enabled {
        return None;
    }
    let demands = context.demand.total(context.now())?;
    for demand in demands {
        let RoutePool::Model(model) = &demand.pool else {
            continue;
        };
        let inputs = RoleInputs {
            engines: engines_of(context, model, asked)?,
            short: demand.short,
            long: demand.long,
            rates: context.settings.roles.rates,
        };
        let planner = RolePlanner::new(context.settings.roles.planner);
        let planned = planner.plan(context.now(), &inputs);
        let own = planned.into_iter().find(|planned| {
            let listing = context.directory.listing(&planned.endpoint);
            listing.is_some_and(|listing| listing.failure_domain == *domain)
        });
        if let Some(PlannedRoleChange {
            endpoint,
            to,
            reason,
            ..
        }) = own
        {
            return Some((OrderBody::SetRole { endpoint, role: to }, reason));
        }
    }
    None
}

/// The model's engines; none if one that the platform lists with it can't be
/// asked: a plan without it would take its share for lost.
fn engines_of(
    context: &DutyContext,
    model: &ModelName,
    asked: &[AskedEngine],
) -> Option<Vec<RoleEngine>> {
    let mut engines = Vec::new();
    for AskedEngine { listing, status } in asked {
        match status {
            Some(status) if status.model == *model => {
                engines.push(role_engine(context, listing, status));
            }
            Some(_) => {}
            None if listing.model.as_ref() == Some(model) => return None,
            None => {}
        }
    }
    Some(engines)
}

fn role_engine(
    context: &DutyContext,
    listing: &EndpointListing,
    status: &EngineStatus,
) -> RoleEngine {
    let endpoint = &listing.endpoint;
    let (ordered, leaving) = context.node.with_view(|view| {
        let open = view.orders.open_at(endpoint);
        let ordered = open.map(|(_, open)| open.body.clone());
        (ordered, view.drain_marks.is_draining(endpoint))
    });
    let role = match &ordered {
        Some(OrderBody::SetRole { role, .. }) => *role,
        _ => status.role,
    };
    let since = context.roles.note(context.now(), endpoint, role);
    let ready = listing.state == EndpointState::Ready;
    RoleEngine {
        endpoint: endpoint.clone(),
        failure_domain: listing.failure_domain.clone(),
        role,
        serving: ready && !status.changing && !leaving && ordered.is_none(),
        changing: status.changing || leaving || ordered.is_some(),
        changed_at: Some(since),
    }
}
