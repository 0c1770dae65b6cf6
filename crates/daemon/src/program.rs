//! What the `main` of every daemon does: log first, then settings, then serve
//! until a signal asks for the end.

use std::{future::Future, process::ExitCode};

use bluebell_core::clock::ClockSource;
use log::LevelFilter;
use tokio_util::sync::CancellationToken;

use crate::{logs, settings::SettingsError, shutdown};

/// The exit code for settings that can't be used.
pub const SETTINGS_EXIT: u8 = 2;

/// Loads settings with `load`, serves with `serve` until SIGTERM or SIGINT
/// cancels the token that it is given, and answers the process's exit code.
///
/// The logger comes first: Rocket installs one of its own where there is none.
pub fn run<Settings, Load, Serve, Served>(load: Load, serve: Serve) -> ExitCode
where
    Load: FnOnce() -> Result<Settings, SettingsError>,
    Serve: FnOnce(Settings, ClockSource, CancellationToken) -> Served,
    Served: Future<Output = anyhow::Result<()>>,
{
    logs::install(LevelFilter::Info);
    let settings = match load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    match serve_until_signal(settings, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve_until_signal<Settings, Serve, Served>(
    settings: Settings,
    serve: Serve,
) -> anyhow::Result<()>
where
    Serve: FnOnce(Settings, ClockSource, CancellationToken) -> Served,
    Served: Future<Output = anyhow::Result<()>>,
{
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let token = CancellationToken::new();
        shutdown::cancel_on_signal(token.clone())?;
        serve(settings, ClockSource::new(), token).await
    })
}
