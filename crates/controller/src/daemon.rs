//! Starting and stopping a controller.

use std::net::SocketAddr;

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    membership::{InstanceProgram, InstanceState, LocalStatus},
};
use bluebell_daemon::{
    journal::{self, DecisionJournal},
    ops::{self, OpsSource, ReadyState, RunningServer},
};
use bluebell_endpoint::orders::EngineOrderClient;
use bluebell_node::{NodeHandle, admin};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::{
    checkpoints,
    context::DutyContext,
    demand::{self, DemandBoard},
    directory::{self, EndpointDirectory},
    duties::DutyDesk,
    engines,
    error::ControllerError,
    fleet,
    members::InstanceList,
    metrics::ControllerMetrics,
    role_plan::RoleMemory,
    settings::ControllerSettings,
    usage,
};

/// How long a stopping controller tries to give up its leases. What it can't
/// release runs out by itself.
const RELEASE_PATIENCE: TimeSpan = TimeSpan::from_secs(4);

/// A running controller.
#[derive(Debug)]
pub struct RunningController {
    /// Where it answers HTTP.
    pub http_address: SocketAddr,
    /// Where it takes peer connections.
    pub peer_address: SocketAddr,
    token: CancellationToken,
    task: JoinHandle<()>,
}

impl RunningController {
    /// Stops it: work under way ends, the leases are released.
    pub async fn stop(self) {
        self.token.cancel();
        self.wait().await;
    }

    /// Waits until it has stopped after its token was cancelled.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}

/// Starts a controller that runs until `token` is cancelled.
pub async fn start(
    settings: ControllerSettings,
    clock: ClockSource,
    token: CancellationToken,
) -> Result<RunningController, ControllerError> {
    let metrics = ControllerMetrics::new()?;
    let journal = DecisionJournal::new();
    // The node outlives the duties, which need it to release their leases.
    let node_token = CancellationToken::new();
    let node = NodeHandle::start(settings.node.clone(), clock, &node_token);
    let list = InstanceList::new(node.clone());
    let desk = DutyDesk::new(
        node.clone(),
        list.clone(),
        journal.clone(),
        metrics.clone(),
        &settings.lease,
    );
    let source = ops_source(&node, &desk, &metrics);
    let rocket = ops::server(settings.node.http_address);
    let rocket = journal::mount(ops::mount(rocket, source), journal.clone());
    let rocket = admin::mount(rocket, node.clone());
    let server = RunningServer::start(rocket, settings.node.http_address).await?;
    let http_address = server.address;
    let program = InstanceProgram::Controller;
    let peer_address = node.join(program, http_address, &node_token).await?;
    let context = DutyContext {
        engines: engine_client(&settings),
        node,
        desk: desk.clone(),
        list,
        directory: EndpointDirectory::new(),
        demand: DemandBoard::new(),
        roles: RoleMemory::new(),
        journal,
        metrics,
        settings,
    };
    let workers = spawn_workers(&context, &token);
    let leaving_node = context.node.clone();
    let stopped = token.clone();
    let task = tokio::spawn(async move {
        stopped.cancelled().await;
        leaving_node.set_local(LocalStatus {
            state: InstanceState::Leaving,
            ..leaving_node.local()
        });
        // An order under way ends before its lease is released.
        futures::future::join_all(workers).await;
        let release = desk.release_all();
        let _ = tokio::time::timeout(RELEASE_PATIENCE.as_duration(), release).await;
        node_token.cancel();
        server.stop().await;
    });
    Ok(RunningController {
        http_address,
        peer_address,
        token,
        task,
    })
}

fn engine_client(settings: &ControllerSettings) -> EngineOrderClient {
    let node = &settings.node;
    let sender = format!("bluebell/{}@{}", node.instance, node.failure_domain);
    EngineOrderClient::new(&sender, settings.orders.timeout)
}

fn spawn_workers(context: &DutyContext, token: &CancellationToken) -> Vec<JoinHandle<()>> {
    let context = context.clone();
    let listings = directory::run(
        context.node.clone(),
        context.desk.clone(),
        context.directory.clone(),
        context.settings.orders.interval,
        token.child_token(),
    );
    vec![
        tokio::spawn(context.desk.clone().run(token.child_token())),
        tokio::spawn(listings),
        tokio::spawn(demand::run(context.clone(), token.child_token())),
        tokio::spawn(engines::run(context.clone(), token.child_token())),
        tokio::spawn(fleet::run(context.clone(), token.child_token())),
        tokio::spawn(checkpoints::run(context.clone(), token.child_token())),
        tokio::spawn(usage::run(context, token.child_token())),
    ]
}

fn ops_source(node: &NodeHandle, desk: &DutyDesk, metrics: &ControllerMetrics) -> OpsSource {
    let ready_node = node.clone();
    let dump_node = node.clone();
    let dump_desk = desk.clone();
    OpsSource::new(
        metrics.registry.clone(),
        move || match ready_node.progress().caught_up {
            true => ReadyState::Ready,
            false => ReadyState::NotReady("the log's end has not been reached".to_string()),
        },
        move || dump(&dump_node, &dump_desk),
    )
}

fn dump(node: &NodeHandle, desk: &DutyDesk) -> serde_json::Value {
    let view = node.with_view(|view| serde_json::to_value(view).unwrap_or_default());
    serde_json::json!({
        "instance": node.settings().instance,
        "failure_domain": node.settings().failure_domain,
        "progress": node.progress(),
        "grants": desk.grants(),
        "view": view,
    })
}
