//! Starting, crashing and stopping the stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::clock::ClockSource;
use bluebell_daemon::{
    logs::LogLine,
    ops::{ListenError, RunningServer, server},
};
use rocket::{Build, Rocket};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    control, generate, kv, power, reports, scheduler,
    settings::EngineSettings,
    state::{DownTime, EngineState, SharedState},
};

/// The pause before the port is tried again after a crash.
const LISTEN_PAUSE: Duration = Duration::from_millis(100);

/// How often a crashing engine looks whether its port is closed.
const REFUSAL_LOOKS: usize = 1_000;

/// The pause between two of these looks.
const REFUSAL_PAUSE: Duration = Duration::from_millis(2);

/// A running stand-in.
#[derive(Debug)]
pub struct RunningEngine {
    /// Where it answers.
    pub http_address: SocketAddr,
    token: CancellationToken,
    supervisor: JoinHandle<()>,
}

impl RunningEngine {
    /// Stops it.
    pub async fn stop(self) {
        self.token.cancel();
        let _ = self.supervisor.await;
    }

    /// Waits until its token is cancelled and it has stopped.
    pub async fn run(self) {
        let _ = self.supervisor.await;
    }
}

/// Starts a stand-in; it runs until `token` is cancelled.
pub async fn start(
    settings: EngineSettings,
    clock: ClockSource,
    token: CancellationToken,
) -> Result<RunningEngine, ListenError> {
    let (crashes, crashed) = mpsc::unbounded_channel();
    let wanted = settings.http_address;
    let state = Arc::new(EngineState::new(settings, clock, token.clone(), crashes));
    let server = listen(&state, wanted).await?;
    let http_address = server.address;
    let _ = state.address.set(http_address);
    tokio::spawn(scheduler::run(state.clone()));
    tokio::spawn(reports::sample(state.clone()));
    let supervisor = tokio::spawn(supervise(state, server, crashed));
    Ok(RunningEngine {
        http_address,
        token,
        supervisor,
    })
}

async fn listen(state: &SharedState, address: SocketAddr) -> Result<RunningServer, ListenError> {
    let rocket: Rocket<Build> = server(address)
        .mount("/", generate::routes())
        .mount("/", control::routes())
        .mount("/", reports::routes())
        .mount("/", kv::routes())
        .mount("/", power::routes())
        .manage(state.clone());
    RunningServer::start(rocket, address).await
}

/// Waits until new connections to `address` are refused, as they are as soon as
/// a real process has ended.
async fn wait_refused(address: SocketAddr) {
    for _ in 0..REFUSAL_LOOKS {
        if TcpStream::connect(address).await.is_err() {
            return;
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    LogLine::new("engine_port_stays_open").warn();
}

/// Takes the server down at a crash and up again, until the engine stops.
async fn supervise(
    state: SharedState,
    mut server: RunningServer,
    mut crashed: mpsc::UnboundedReceiver<DownTime>,
) {
    let address = server.address;
    loop {
        let down = tokio::select! {
            () = state.token.cancelled() => return server.stop().await,
            Some(down) = crashed.recv() => down,
        };
        let stopping = tokio::spawn(server.stop());
        wait_refused(address).await;
        state.lose_memory();
        let _ = stopping.await;
        match down {
            None => return state.token.cancelled().await,
            Some(down) => tokio::time::sleep(down.as_duration()).await,
        }
        state.lock().crashing = false;
        server = loop {
            match listen(&state, address).await {
                Ok(server) => break server,
                Err(error) => LogLine::new("engine_restart_failed")
                    .with("error", error)
                    .warn(),
            }
            if state.token.is_cancelled() {
                return;
            }
            tokio::time::sleep(LISTEN_PAUSE).await;
        };
    }
}
