//! Start, operation and shutdown of an entry.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

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
    peers, ready, shutdown, state_transfer, stream_origins, sync, time,
};

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
    shutdown::run(&context, &frontend).await;
    background.cancel();
    ready_server.stop().await;
    if let Some(server) = metrics_server {
        server.stop().await;
    }
    LogLine::new("stop").info();
    Ok(())
}
