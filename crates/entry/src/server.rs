//! Starting and stopping an entry.
//!
//! Stopping takes four steps, in this order, so that no answer is truncated: the
//! entry reports that it is not ready and refuses new requests; the running answers
//! complete; the metered usage is recorded; then the server stops. Rocket's own
//! shutdown would truncate streams after its grace period.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context as _;
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    membership::{InstanceProgram, InstanceState},
    roles::PoolDemand,
};
use bluebell_daemon::{
    journal::{self, DecisionJournal},
    logs::LogLine,
    ops::{self, OpsSource, ReadyState, RunningServer},
};
use bluebell_node::{NodeHandle, admin};
use prometheus::Registry;
use rocket::{
    Build, Request, Rocket, State, catch, catchers,
    fairing::AdHoc,
    get,
    http::{Header, Status},
    serde::json::Json,
};
use serde_json::json;
use tokio::task::JoinHandle;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    active_keys::ActiveKeys,
    caller::{CallerHeaders, request_id},
    chat,
    claims::ClaimBatcher,
    context::EntryContext,
    crash::CrashTracker,
    directory::EndpointDirectory,
    metering::UsageMeter,
    metrics::EntryMetrics,
    plain,
    refusal::{Refusal, RefusalCode},
    settings::EntrySettings,
    traffic::TrafficControl,
    traffic_feed,
};

/// How long a stopping entry waits for settlements, and for usage, to be recorded.
const FLUSH_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// A running entry.
#[derive(Debug)]
pub struct RunningEntry {
    /// The address of the HTTP server.
    pub http_address: SocketAddr,
    /// The address that accepts peer connections.
    pub peer_address: SocketAddr,
    /// Cancelling it stops the entry.
    token: CancellationToken,
    task: JoinHandle<()>,
}

impl RunningEntry {
    /// Stops the entry: refuses new requests and waits for the running answers.
    pub async fn stop(self) {
        self.token.cancel();
        let _ = self.task.await;
    }

    /// Waits until the entry has stopped after its token was cancelled.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}

/// Starts an entry that runs until `token` is cancelled.
///
/// # Errors
///
/// Fails when the HTTP server or the peer listener can't be started.
pub async fn start(
    settings: EntrySettings,
    clock: ClockSource,
    token: CancellationToken,
) -> anyhow::Result<RunningEntry> {
    // The node keeps running after `token` is cancelled: running answers still need it.
    let node_token = CancellationToken::new();
    let node = NodeHandle::start(settings.node.clone(), clock, &node_token);
    let registry = Registry::new();
    let metrics = EntryMetrics::new(&registry).context("failed to register metrics")?;
    let (claims, claim_queues) = ClaimBatcher::new();
    let in_doubt = metrics.usage_in_doubt.clone();
    let meter = UsageMeter::new(settings.metering.window, in_doubt);
    let traffic = TrafficControl::new(
        &settings.traffic,
        settings.node.failure_domain.clone(),
        node.clock().clone(),
        rand::random(),
    );
    let traffic = Arc::new(traffic);
    let crashes = Arc::new(CrashTracker::new(settings.node.instance.clone()));
    let context = Arc::new(EntryContext {
        claims,
        meter,
        directory: EndpointDirectory::new(),
        node,
        journal: DecisionJournal::new(),
        metrics,
        keys: ActiveKeys::new(),
        draining: CancellationToken::new(),
        work: TaskTracker::new(),
        traffic,
        crashes,
        settings,
    });
    claim_queues.spawn(&context.node, context.claims.clone(), &node_token);
    spawn_tasks(&context, &node_token);
    let address = context.settings.node.http_address;
    let rocket = build_server(&context, registry, address);
    let server = RunningServer::start(rocket, address).await?;
    let http_address = server.address;
    let joined = context
        .node
        .join(InstanceProgram::Entry, http_address, &node_token)
        .await;
    let peer_address = joined.context("failed to listen for peers")?;
    let task = tokio::spawn(run_until_stopped(
        context,
        server,
        token.clone(),
        node_token,
    ));
    Ok(RunningEntry {
        http_address,
        peer_address,
        token,
        task,
    })
}

fn spawn_tasks(context: &Arc<EntryContext>, token: &CancellationToken) {
    let interval = context.settings.requests.list_interval;
    let directory = context.directory.clone();
    let node = context.node.clone();
    tokio::spawn(directory.follow(node.clone(), interval, token.clone()));
    tokio::spawn(context.clone().follow_crash_notes(token.clone()));
    tokio::spawn(traffic_feed::run(context.clone(), token.clone()));
    tokio::spawn(traffic_feed::poll_engines(context.clone(), token.clone()));
    tokio::spawn(context.keys.clone().follow(node.clone(), token.clone()));
    let interval = context.settings.metering.flush_interval;
    tokio::spawn(context.meter.clone().run(node, interval, token.clone()));
}

fn build_server(
    context: &Arc<EntryContext>,
    registry: Registry,
    address: SocketAddr,
) -> Rocket<Build> {
    let ready_context = context.clone();
    let dump_context = context.clone();
    let source = OpsSource::new(
        registry,
        move || ready(&ready_context),
        move || dump(&dump_context),
    );
    let rocket = ops::server(address)
        .manage(context.clone())
        .mount("/", rocket::routes![chat::chat, demand])
        .mount("/", plain::routes())
        .register("/", catchers![default_catcher])
        .attach(AdHoc::on_response("request id", |request, response| {
            Box::pin(async move {
                let id = request_id(request).to_string();
                response.set_header(Header::new("X-Request-Id", id));
            })
        }));
    let rocket = ops::mount(rocket, source);
    let rocket = admin::mount(rocket, context.node.clone());
    journal::mount(rocket, context.journal.clone())
}

/// The demand at this entry, from which the controllers plan engine roles and the fleet.
#[get("/demand")]
fn demand(context: &State<Arc<EntryContext>>) -> Json<Vec<PoolDemand>> {
    Json(context.traffic.demands())
}

#[catch(default)]
fn default_catcher(status: Status, request: &Request<'_>) -> Refusal {
    let headers = CallerHeaders::of(request);
    match status.code {
        404 | 405 => {
            let message = "no such route: see `/v1/chat/completions` and `/v1/services/…`";
            headers.refuse(RefusalCode::NotFound, message)
        }
        500.. => headers.refuse(RefusalCode::Internal, "internal error in this instance"),
        _ => headers.refuse(
            RefusalCode::InvalidRequest,
            format!("the request was rejected with HTTP status {status}"),
        ),
    }
}

fn ready(context: &EntryContext) -> ReadyState {
    if context.draining.is_cancelled() {
        return ReadyState::NotReady("stopping".to_string());
    }
    if let Some(obstacle) = context.node.obstacle() {
        return ReadyState::NotReady(obstacle);
    }
    ReadyState::Ready
}

fn dump(context: &EntryContext) -> serde_json::Value {
    let view = context.node.with_view(|view| serde_json::to_value(view));
    json!({
        "settings": context.settings,
        "progress": context.node.progress(),
        "draining": context.draining.is_cancelled(),
        "in_progress": context.metrics.in_progress.get(),
        "routes": context.traffic.routes(),
        "pools": context.traffic.status(),
        "endpoints": context.directory.endpoints(),
        "view": view.unwrap_or_else(|error| json!({"error": error.to_string()})),
    })
}

async fn run_until_stopped(
    context: Arc<EntryContext>,
    server: RunningServer,
    token: CancellationToken,
    node_token: CancellationToken,
) {
    token.cancelled().await;
    context.draining.cancel();
    let mut local = context.node.local();
    local.state = InstanceState::Leaving;
    context.node.set_local(local);
    LogLine::new("draining")
        .with("in_progress", context.metrics.in_progress.get())
        .info();
    context.work.close();
    let limit = context.settings.requests.drain_limit;
    let drained = tokio::time::timeout(limit.as_duration(), context.work.wait()).await;
    if drained.is_err() {
        LogLine::new("drain_limit_reached")
            .with("limit", limit)
            .warn();
    }
    context.claims.flush(FLUSH_TIMEOUT).await;
    context.meter.flush_all(&context.node, FLUSH_TIMEOUT).await;
    server.stop().await;
    node_token.cancel();
    LogLine::new("stopped").info();
}
