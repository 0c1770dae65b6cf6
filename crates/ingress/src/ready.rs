//! Readiness of the instance, and its operational pages.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bluebell_adapter::READY_PATH;
use bluebell_core::{
    clock::ClockTime, ids::OrganisationId, quota::QuotaStatus, relay::StateValidity,
};
use bluebell_daemon::{
    logs::LogLine,
    ops::{self, OpsSource, ReadyState, RunningServer},
};
use rocket::{
    Data, Request, Route,
    http::{Method, Status},
    route::{Handler, Outcome},
};
use serde_json::json;

use crate::context::EntryContext;

/// Additional port for metrics and the state dump. It is the same on all instances and
/// after every restart, because the deploy file has to name it.
pub const METRICS_PORT: u16 = 9_464;

/// Answers the readiness probe of the platform.
#[derive(Clone)]
struct ReadinessHandler {
    context: Arc<EntryContext>,
}

#[rocket::async_trait]
impl Handler for ReadinessHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let status = match ready_state(&self.context) {
            ReadyState::Ready => Status::Ok,
            ReadyState::NotReady(_) => Status::ServiceUnavailable,
        };
        Outcome::from(request, (status, "{}"))
    }
}

/// Whether the instance can serve requests, or the reason why not.
pub fn ready_state(context: &EntryContext) -> ReadyState {
    if context.stopping.is_cancelled() {
        return ReadyState::NotReady("stopping".to_string());
    }
    let validity = context.configuration_validity(context.now());
    if !validity.serves_known_routes() {
        return ReadyState::NotReady(validity.to_string());
    }
    if context.directory_validity(context.now()) == StateValidity::Unconfirmed {
        return ReadyState::NotReady("the endpoints are not confirmed".to_string());
    }
    if !context.keys_are_fresh(context.now()) {
        return ReadyState::NotReady("nothing has been heard of withdrawn keys".to_string());
    }
    ReadyState::Ready
}

/// Returns the state of the process as JSON. It contains no API keys.
pub fn dump(context: &EntryContext) -> serde_json::Value {
    let now = context.now();
    let configuration = context.configuration.lock().status(now);
    let limits = limits(context, now);
    let endpoints: Vec<_> = context.directory.lock().iter().cloned().collect();
    json!({
        "instance": context.settings.instance,
        "failure_domain": context.settings.domain,
        "start": context.writer.start,
        "configuration": configuration,
        "configuration_validity": context.configuration_validity(now),
        "limits": limits,
        "retries": context.budget.lock().status(now),
        "quarantine": &*context.quarantine.lock(),
        "prompt_parts": &*context.prompt_parts.lock(),
        "broken_runs": &*context.broken_runs.lock(),
        "endpoint_limits": &*context.endpoint_limits.lock(),
        "engine_loads": context.engine_loads.status(),
        "engine_speeds": context.engines.lock().speed_status(now),
        "endpoint_notices": &*context.endpoint_notices.lock(),
        "memory": context.memory.status(),
        "endpoints": endpoints,
        "endpoints_status": context.directory_status(now),
        "endpoints_validity": context.directory_validity(now),
        "ready": match ready_state(context) {
            ReadyState::Ready => "ready".to_string(),
            ReadyState::NotReady(reason) => reason,
        },
    })
}

/// What is known here of the usage of each organisation with a limit.
fn limits(context: &EntryContext, now: ClockTime) -> BTreeMap<OrganisationId, QuotaStatus> {
    let table = context.configuration.lock().table().cloned();
    let Some(table) = table else {
        return BTreeMap::new();
    };
    let limiter = context.limiter.lock();
    let limits = table.configuration().rate_limits();
    let known = limits.filter_map(|(name, _)| {
        let status = limiter.status(now, &name)?;
        Some((name, status))
    });
    known.collect()
}

fn ops_source(context: &Arc<EntryContext>) -> OpsSource {
    let (ready_context, dump_context) = (Arc::clone(context), Arc::clone(context));
    OpsSource::new(
        context.metrics.registry.clone(),
        move || ready_state(&ready_context),
        move || dump(&dump_context),
    )
}

/// Serves the readiness probe and the operational pages at `address`. Fails if the address
/// can't be bound.
pub async fn serve(
    context: &Arc<EntryContext>,
    address: SocketAddr,
) -> Result<RunningServer, ops::ListenError> {
    let page = ReadinessHandler {
        context: Arc::clone(context),
    };
    let rocket = ops::mount(ops::server(address), ops_source(context))
        .mount("/", vec![Route::new(Method::Get, READY_PATH, page)]);
    RunningServer::start(rocket, address).await
}

/// Serves the operational pages at [`METRICS_PORT`]. Returns `None` if the port is in use,
/// which must not keep the instance from serving callers.
pub async fn serve_metrics(context: &Arc<EntryContext>) -> Option<RunningServer> {
    let address = SocketAddr::new(context.settings.ready_address.ip(), METRICS_PORT);
    let rocket = ops::mount(ops::server(address), ops_source(context));
    match RunningServer::start(rocket, address).await {
        Ok(server) => Some(server),
        Err(error) => {
            LogLine::new("metrics_not_served")
                .with("error", error)
                .warn();
            None
        }
    }
}
