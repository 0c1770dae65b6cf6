//! Starting everything in order, and stopping it in the reverse order.

use std::net::SocketAddr;

use anyhow::{Context, ensure};
use bluebell_cli::ops::{
    collect::{self, UnitCollection},
    publish::{self, PublishRequest},
    session::FleetSession,
};
use bluebell_controller::{ControllerSettings, RunningController};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{InstanceId, ServiceName},
    records::CapacityKind,
};
use bluebell_entry::{EntrySettings, RunningEntry};
use bluebell_node::NodeSettings;
use bluebell_platform::api::EndpointListing;
use futures::FutureExt;
use standin_platform::{PlatformSettings, PlatformStandin, RunningPlatform};
use tokio_util::sync::CancellationToken;

use crate::{endpoints::EndpointLauncher, layout::FleetLayout};

/// Who publishes the samples.
const PUBLISHER: &str = "embedded";

/// How long starting waits until the samples are in force everywhere.
const PUBLISH_PATIENCE: TimeSpan = TimeSpan::from_secs(30);

/// A running fleet.
pub struct EmbeddedFleet {
    /// Where the entries answer.
    pub entries: Vec<SocketAddr>,
    /// Where the controllers answer.
    pub controllers: Vec<SocketAddr>,
    /// Where the platform's stand-in answers.
    pub platform: SocketAddr,
    /// Whether all live instances confirmed the samples.
    pub in_force: bool,
    running_entries: Vec<RunningEntry>,
    running_controllers: Vec<RunningController>,
    running_platform: RunningPlatform,
    endpoints_token: CancellationToken,
}

impl EmbeddedFleet {
    /// Stops everything: callers' work ends first, the platform last.
    pub async fn stop(self) {
        for entry in self.running_entries {
            entry.stop().await;
        }
        for controller in self.running_controllers {
            controller.stop().await;
        }
        self.endpoints_token.cancel();
        self.running_platform.stop().await;
    }
}

/// Starts a fleet of this layout and publishes its samples.
pub async fn start(layout: &FleetLayout) -> anyhow::Result<EmbeddedFleet> {
    ensure!(
        layout.samples.is_dir(),
        "failed to find the sample configuration at `{}`; run this at the root of the source tree, or name a directory with `--samples`",
        layout.samples.display()
    );
    ensure!(
        layout.entries > 0,
        "`--entries` is `0`, expected at least `1`"
    );
    let clock = ClockSource::new();
    let collection = collect::collect(std::slice::from_ref(&layout.samples))?;
    let endpoints_token = CancellationToken::new();
    let launcher = EndpointLauncher::new(&collection, clock.clone(), endpoints_token.clone());
    let running_platform = start_platform(&launcher, clock.clone()).await?;
    let platform = running_platform.http_address;
    register_endpoints(layout, &launcher, platform).await?;
    let mut running_entries = Vec::new();
    for number in 0..layout.entries {
        let node = node_settings(layout, "entry", number, platform)?;
        let settings = EntrySettings::with_node(node);
        let entry = bluebell_entry::start(settings, clock.clone(), CancellationToken::new());
        running_entries.push(entry.await.context("failed to start an entry")?);
    }
    let mut running_controllers = Vec::new();
    for number in 0..layout.controllers {
        let node = node_settings(layout, "controller", number, platform)?;
        let settings = ControllerSettings::with_node(node);
        let started = bluebell_controller::start(settings, clock.clone(), CancellationToken::new());
        running_controllers.push(started.await.context("failed to start a controller")?);
    }
    let in_force = publish_samples(layout, &collection, platform).await?;
    Ok(EmbeddedFleet {
        entries: running_entries
            .iter()
            .map(|entry| entry.http_address)
            .collect(),
        controllers: running_controllers
            .iter()
            .map(|running| running.http_address)
            .collect(),
        platform,
        in_force,
        running_entries,
        running_controllers,
        running_platform,
        endpoints_token,
    })
}

async fn start_platform(
    launcher: &EndpointLauncher,
    clock: ClockSource,
) -> anyhow::Result<RunningPlatform> {
    let launcher = launcher.clone();
    let standin =
        PlatformStandin::new(PlatformSettings::default(), clock).with_starter(move |order| {
            let launcher = launcher.clone();
            async move {
                let launched =
                    launcher.launch(&order.service, &order.failure_domain, order.capacity);
                launched.await.ok()
            }
            .boxed()
        });
    let running = standin.start(CancellationToken::new()).await;
    running.context("failed to start the platform's stand-in")
}

async fn register_endpoints(
    layout: &FleetLayout,
    launcher: &EndpointLauncher,
    platform: SocketAddr,
) -> anyhow::Result<()> {
    let models = launcher.model_services();
    let mut wanted: Vec<(ServiceName, usize)> = Vec::new();
    for number in 0..layout.engines {
        if models.is_empty() {
            break;
        }
        wanted.push((models[number % models.len()].clone(), number));
    }
    for service in launcher.plain_services() {
        wanted.extend((0..layout.replicas).map(|number| (service.clone(), number)));
    }
    for (service, number) in wanted {
        let domain = layout.domain(number);
        let listing = launcher
            .launch(&service, &domain, CapacityKind::Reserved)
            .await?;
        register(platform, &listing).await?;
    }
    Ok(())
}

async fn register(platform: SocketAddr, listing: &EndpointListing) -> anyhow::Result<()> {
    let url = format!("http://{platform}/control/endpoints");
    let answer = reqwest::Client::new().post(url).json(listing).send().await;
    answer
        .and_then(reqwest::Response::error_for_status)
        .context("failed to list an endpoint")?;
    Ok(())
}

fn node_settings(
    layout: &FleetLayout,
    program: &str,
    number: usize,
    platform: SocketAddr,
) -> anyhow::Result<NodeSettings> {
    let failure_domain = layout.domain(number);
    let instance = InstanceId::new(format!("{program}-{failure_domain}-{number}"))?;
    let region = layout.user.region();
    Ok(NodeSettings::new(
        instance,
        failure_domain,
        region,
        platform.to_string(),
    ))
}

async fn publish_samples(
    layout: &FleetLayout,
    collection: &UnitCollection,
    platform: SocketAddr,
) -> anyhow::Result<bool> {
    ensure!(
        !collection.units.is_empty(),
        "`{}` holds no units",
        layout.samples.display()
    );
    let session = FleetSession::open(&platform.to_string(), PUBLISHER).await?;
    let request = PublishRequest {
        directories: vec![layout.samples.clone()],
        publisher: PUBLISHER.to_string(),
        prune: false,
    };
    let prepared = publish::prepare(&session, &request)?;
    let report = publish::send(&session, prepared, PUBLISH_PATIENCE).await?;
    Ok(report.confirmation.unconfirmed.is_empty())
}
