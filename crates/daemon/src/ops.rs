//! The HTTP routes that every daemon answers: `/live`, `/ready`, `/metrics`, `/dump`,
//! and a daemon's HTTP server.
//!
//! Rocket reads neither `Rocket.toml` nor `ROCKET_*` here, and handles no signals: on
//! SIGTERM a daemon first finishes its callers' requests and only then shuts Rocket
//! down, because Rocket's own grace period cuts streams.

use std::{net::SocketAddr, sync::Arc};

use prometheus::{Encoder, Registry, TextEncoder, proto::MetricType};
use rocket::{
    Build, Rocket, Shutdown, State,
    fairing::AdHoc,
    get,
    http::{ContentType, Status},
    routes,
};
use tokio::{sync::oneshot, task::JoinHandle};

/// Whether a daemon accepts work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// It accepts work.
    Ready,
    /// It accepts no work, for this reason.
    NotReady(String),
}

/// The data of the routes' answers.
#[derive(Clone)]
pub struct OpsSource {
    registry: Registry,
    ready: Arc<dyn Fn() -> ReadyState + Send + Sync>,
    dump: Arc<dyn Fn() -> serde_json::Value + Send + Sync>,
}

impl OpsSource {
    /// A source that calls `ready` and `dump` for each request to their routes. A dump must
    /// not contain callers' keys.
    pub fn new<Ready, Dump>(registry: Registry, ready: Ready, dump: Dump) -> OpsSource
    where
        Ready: Fn() -> ReadyState + Send + Sync + 'static,
        Dump: Fn() -> serde_json::Value + Send + Sync + 'static,
    {
        OpsSource {
            registry,
            ready: Arc::new(ready),
            dump: Arc::new(dump),
        }
    }
}

#[get("/live")]
fn live() -> Status {
    Status::NoContent
}

#[get("/ready")]
fn ready(source: &State<OpsSource>) -> (Status, String) {
    match (source.ready)() {
        ReadyState::Ready => (Status::Ok, "ready\n".to_string()),
        ReadyState::NotReady(reason) => (Status::ServiceUnavailable, format!("{reason}\n")),
    }
}

#[get("/metrics")]
fn metrics(source: &State<OpsSource>) -> (ContentType, Vec<u8>) {
    let mut text = Vec::new();
    let mut families = source.registry.gather();
    // Scrapers may keep only the start of a long page. Histograms have most of its lines.
    families.sort_by_key(|family| family.get_field_type() == MetricType::HISTOGRAM);
    if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
        log::warn!("event=metrics_failed error={error:?}");
    }
    (ContentType::Plain, text)
}

#[get("/dump")]
fn dump(source: &State<OpsSource>) -> (ContentType, String) {
    (ContentType::JSON, format!("{:#}\n", (source.dump)()))
}

/// Adds the routes to a daemon's server.
pub fn mount(rocket: Rocket<Build>, source: OpsSource) -> Rocket<Build> {
    rocket
        .mount("/", routes![live, ready, metrics, dump])
        .manage(source)
}

/// A Rocket server that listens on `address` and reads no other configuration.
pub fn server(address: SocketAddr) -> Rocket<Build> {
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..Default::default()
        },
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
}

/// A running HTTP server.
#[derive(Debug)]
pub struct RunningServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// A server could not listen on its address.
#[derive(Debug, thiserror::Error)]
#[error("failed to listen on `{address}`: {message}")]
pub struct ListenError {
    address: SocketAddr,
    message: String,
}

impl RunningServer {
    /// Starts `rocket` and waits until it listens.
    pub async fn start(
        rocket: Rocket<Build>,
        address: SocketAddr,
    ) -> Result<RunningServer, ListenError> {
        let fail = |message: String| ListenError { address, message };
        let (bound_sender, bound) = oneshot::channel();
        let bound_sender = std::sync::Mutex::new(Some(bound_sender));
        let rocket = rocket.attach(AdHoc::on_liftoff("bound address", move |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                let address = SocketAddr::new(config.address, config.port);
                let sender = bound_sender.lock().expect("nothing panics here").take();
                if let Some(sender) = sender {
                    let _ = sender.send(address);
                }
            })
        }));
        let rocket = rocket
            .ignite()
            .await
            .map_err(|error| fail(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let mut task = tokio::spawn(async move {
            rocket
                .launch()
                .await
                .map(drop)
                .map_err(|error| error.to_string())
        });
        tokio::select! {
            Ok(address) = bound => {
                let task = tokio::spawn(async move { drop(task.await) });
                Ok(RunningServer { address, shutdown, task })
            }
            ended = &mut task => match ended {
                Ok(Err(message)) => Err(fail(message)),
                _ => Err(fail("the server ended at once".to_string())),
            },
        }
    }

    /// Stops the server. The callers' requests must have been finished before.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}
