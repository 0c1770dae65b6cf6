//! Starting, running and stopping an entry.

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
    frontend::FrontendServer,
    leader,
    logs::{self, LogBuffer},
    metrics::EntryMetrics,
    peers, ready, sync, time,
};

/// How long after SIGTERM callers are still accepted. The platform asks once a
/// second and needs two answers to send callers elsewhere; those with a kept
/// connection come back on it. What is taken later than 3 s after the signal may
/// not be done when the process is killed.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);

/// How long before the platform kills the process it ends by itself, to say so.
const END_MARGIN: Duration = Duration::from_millis(150);

/// Runs the entry that the settings file describes until it is asked to stop.
pub fn run() -> ExitCode {
    let path = match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) => PathBuf::from(path),
        None => {
            eprintln!("error: the variable `{SETTINGS_VARIABLE}` names no settings file");
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
    let served = logs::install(log::LevelFilter::Info).and_then(|buffer| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let served = runtime.block_on(serve(settings, buffer.clone()));
        if let Err(error) = &served {
            LogLine::new("failed")
                .with("error", format!("{error:#}"))
                .warn();
        }
        buffer.write_out();
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: settings::InstanceSettings, buffer: LogBuffer) -> anyhow::Result<()> {
    tokio::spawn(buffer.write_regularly());
    let client = PlatformClient::new()?;
    let store = StoreClient::new(client.clone(), settings.store.address);
    let engine_client = EngineClient::new(client.clone());
    let metrics = EntryMetrics::new()?;
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
        .with("callers", context.settings.callers_address)
        .info();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let ready_server = ready::serve(&context, context.settings.ready_address)
        .await
        .context("the ready address can't be served")?;
    let metrics_server = ready::serve_metrics(&context).await;
    let background = CancellationToken::new();
    sync::start(&context, &background);
    peers::start(&context, &background)
        .await
        .context("the address for other instances can't be used")?;
    leader::start(&context, &client, &background);
    let frontend = FrontendServer::bind(Arc::clone(&context))
        .context("the callers' address can't be served")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                // The addresses of a running process don't change; anything else
                // that matters is in the store.
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

/// Not ready at once, then no new callers, then the end of the last request.
///
/// A process that closed its address with the signal would cut the callers whom
/// the platform still sends for two seconds, and those who come back on a kept
/// connection; one that waited for all connections to close would be killed with
/// requests inside.
async fn stop(context: &EntryContext, frontend: &FrontendServer) {
    LogLine::new("stopping")
        .with("open", context.metrics.requests_open.get())
        .info();
    context.stopping.cancel();
    let grace = context.settings.bounds.grace.as_duration();
    let end = tokio::time::Instant::now() + grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(ACCEPT_AFTER_STOP.min(grace / 2)).await;
    frontend.close();
    let ended = tokio::time::timeout_at(end, frontend.wait_closed()).await;
    if ended.is_err() {
        LogLine::new("stopped_early")
            .with("open", context.metrics.requests_open.get())
            .warn();
    }
}
