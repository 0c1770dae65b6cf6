//! Starting and stopping the stand-in.

use std::net::SocketAddr;

use bluebell_core::clock::ClockSource;
use bluebell_daemon::ops::{ListenError, RunningServer, server};
use tokio_util::sync::CancellationToken;

use crate::{call, control, settings::ServiceSettings, state::ServiceState};

/// A running stand-in.
#[derive(Debug)]
pub struct RunningService {
    /// Where it answers.
    pub http_address: SocketAddr,
    server: RunningServer,
    token: CancellationToken,
}

impl RunningService {
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

/// Starts a stand-in; it runs until `token` is cancelled.
pub async fn start(
    settings: ServiceSettings,
    clock: ClockSource,
    token: CancellationToken,
) -> Result<RunningService, ListenError> {
    let address = settings.http_address;
    let state = ServiceState::new(settings, clock, token.clone());
    let rocket = server(address)
        .mount("/", control::routes())
        .mount("/", call::routes())
        .manage(state);
    let running = RunningServer::start(rocket, address).await?;
    Ok(RunningService {
        http_address: running.address,
        server: running,
        token,
    })
}
