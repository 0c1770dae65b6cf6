//! Start, operation and shutdown of an entry.

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use anyhow::Context as _;
use bluebell_adapter::{
    PlatformClient, SETTINGS_VARIABLE, engines::EngineClient, settings, store::StoreClient,
};
use bluebell_daemon::{logs::LogLine, program::SETTINGS_EXIT};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{
    context::EntryContext,
    crash_records, engine_loads, forward,
    frontend::FrontendServer,
    leader,
    logs::{self, LogBuffer},
    metrics::EntryMetrics,
    peers, ready, state_transfer, stream_origins, sync, time,
};

/// How long after SIGTERM connections and requests are still accepted. The platform probes
/// readiness once a second and needs two negative answers to route callers to other
/// instances; callers with a persistent connection continue to use it. Requests accepted
/// later than 3 s after the signal may be incomplete when the process is killed.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_600);

/// How long before the platform kills the process it exits by itself, so that it can log
/// the unfinished requests.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

/// Runs an entry with the settings file named by the environment until SIGTERM arrives.
/// Returns a separate exit code if the settings are missing or invalid.
pub fn run() -> ExitCode {
    let path = match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) => PathBuf::from(path),
        None => {
            eprintln!(
                "error: environment variable `{SETTINGS_VARIABLE}` (settings file) is not set"
            );
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    let result = logs::install(log::LevelFilter::Info).and_then(|buffer| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let result = runtime.block_on(serve(settings, buffer.clone()));
        if let Err(error) = &result {
            LogLine::new("failed")
                .with("error", format!("{error:#}"))
                .warn();
        }
        buffer.write_pending();
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: settings::InstanceSettings, buffer: LogBuffer) -> anyhow::Result<()> {
    tokio::spawn(buffer.write_periodically());
    let metrics = EntryMetrics::new()?;
    let calls = metrics.platform_calls.clone();
    let client = PlatformClient::new()?.with_observer(move |purpose, end| {
        let labels = [purpose.subject, purpose.action, end.as_str()];
        calls.with_label_values(&labels).inc();
    });
    let store = StoreClient::new(client.clone(), settings.store.address);
    let engine_client = EngineClient::new(client.clone());
    let context = Arc::new(EntryContext::new(
        settings,
        time::boot_clock(),
        store,
        engine_client,
        metrics,
    ));
    LogLine::new("start")
        .with("instance", &context.settings.instance)
        .with("failure_domain", &context.settings.domain)
        .with("start", context.writer.start)
        .with("callers", context.settings.frontend_address)
        .info();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let ready_server = ready::serve(&context, context.settings.ready_address)
        .await
        .context("failed to serve the readiness address")?;
    let metrics_server = ready::serve_metrics(&context).await;
    let background = CancellationToken::new();
    sync::start(&context, &background);
    peers::start(&context, &background)
        .await
        .context("failed to listen on the address for peer instances")?;
    stream_origins::start(&context, &background);
    crash_records::start(&context, &background);
    engine_loads::start(&context, &background);
    state_transfer::start(&context, &background)
        .await
        .context("failed to listen on the address for copies of the state")?;
    leader::start(&context, &client, &background);
    let frontend = FrontendServer::bind(Arc::clone(&context))
        .context("failed to listen on the address for callers")?;
    frontend
        .bind_for_instances()
        .context("failed to listen on the address for requests of other instances")?;
    forward::start(&context, &background);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                // The addresses of a running process can't change, and all other
                // configuration is in the store.
                LogLine::new("reload").with("outcome", "settings are kept until the next start").info();
            }
        }
    }
    stop(&context, &frontend).await;
    background.cancel();
    ready_server.stop().await;
    if let Some(server) = metrics_server {
        server.stop().await;
    }
    LogLine::new("stop").info();
    Ok(())
}

/// Stops the entry: reports not ready, then stops accepting connections, then waits for
/// the requests in progress.
///
/// If the process closed its listener on the signal, it would reject the callers that the
/// platform still routes here for two seconds, and those that reuse a persistent
/// connection. If it waited until all callers close their connections, it would be killed
/// with requests in progress.
async fn stop(context: &EntryContext, frontend: &FrontendServer) {
    LogLine::new("stopping")
        .with("open", context.metrics.requests_open.get())
        .info();
    context.stopping.cancel();
    let grace = context.settings.bounds.grace.as_duration();
    let end = tokio::time::Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
    tokio::time::sleep(ACCEPT_AFTER_SIGTERM.min(grace / 2)).await;
    frontend.close();
    let ended = tokio::time::timeout_at(end, frontend.wait_closed()).await;
    if ended.is_err() {
        LogLine::new("stopped_early")
            .with("open", context.metrics.requests_open.get())
            .warn();
        return;
    }
    let published = leader::publish_end(context);
    let _ = tokio::time::timeout_at(end, published).await;
}
