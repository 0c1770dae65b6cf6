//! Starting and stopping the stand-in.

use std::{net::SocketAddr, sync::Arc};

use bluebell_core::clock::ClockSource;
use bluebell_daemon::ops::{ListenError, RunningServer, server};
use bluebell_platform::api::{EndpointListing, StartEndpoint};
use futures::future::BoxFuture;
use rocket::{Build, Rocket};
use tokio_util::sync::CancellationToken;

use crate::{
    book::{EndpointBook, EndpointStarter},
    endpoints, faults, history, instances, log,
    settings::PlatformSettings,
    state::PlatformState,
    usage, weights,
};

/// A stand-in that has not been started yet.
pub struct PlatformStandin {
    settings: PlatformSettings,
    clock: ClockSource,
    starter: Option<EndpointStarter>,
}

impl PlatformStandin {
    /// A stand-in that serves start orders from its pool of spares.
    pub fn new(settings: PlatformSettings, clock: ClockSource) -> PlatformStandin {
        PlatformStandin {
            settings,
            clock,
            starter: None,
        }
    }

    /// Serves start orders by calling `starter` instead.
    pub fn with_starter<Starter>(mut self, starter: Starter) -> PlatformStandin
    where
        Starter: Fn(StartEndpoint) -> BoxFuture<'static, Option<EndpointListing>>
            + Send
            + Sync
            + 'static,
    {
        self.starter = Some(Arc::new(starter));
        self
    }

    /// Starts it; it runs until `token` is cancelled.
    pub async fn start(self, token: CancellationToken) -> Result<RunningPlatform, ListenError> {
        let book = EndpointBook::new(&self.settings, self.starter);
        let state = PlatformState::new(&self.settings, self.clock, book, token.clone());
        let rocket = mount(server(self.settings.http_address)).manage(state);
        let running = RunningServer::start(rocket, self.settings.http_address).await?;
        Ok(RunningPlatform {
            http_address: running.address,
            server: running,
            token,
        })
    }
}

fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket
        .mount("/", log::routes())
        .mount("/", instances::routes())
        .mount("/", endpoints::routes())
        .mount("/", weights::routes())
        .mount("/", usage::routes())
        .mount("/", faults::routes())
        .mount("/", history::routes())
        .mount("/", rocket::routes![health])
}

#[rocket::get("/health")]
fn health() -> rocket::http::Status {
    rocket::http::Status::NoContent
}

/// A running stand-in.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Where it answers.
    pub http_address: SocketAddr,
    server: RunningServer,
    token: CancellationToken,
}

impl RunningPlatform {
    /// Stops it.
    pub async fn stop(self) {
        self.token.cancel();
        self.server.stop().await;
    }

    /// Waits until its token is cancelled, and stops it.
    pub async fn run(self) {
        self.token.cancelled().await;
        self.server.stop().await;
    }
}

/// Starts a stand-in that serves start orders from its pool of spares.
pub async fn start(
    settings: PlatformSettings,
    clock: ClockSource,
    token: CancellationToken,
) -> Result<RunningPlatform, ListenError> {
    PlatformStandin::new(settings, clock).start(token).await
}
