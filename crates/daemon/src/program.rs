//! The common `main` of all daemons: installs the logger, loads the settings, and
//! serves until SIGTERM or SIGINT.

use std::{future::Future, process::ExitCode};

use bluebell_core::clock::ClockSource;
use log::LevelFilter;
use tokio_util::sync::CancellationToken;

use crate::{logs, settings::SettingsError, shutdown};

/// The exit code for invalid settings.
pub const SETTINGS_EXIT: u8 = 2;

/// Loads settings with `load`, then runs `serve` with a token that SIGTERM and SIGINT
/// cancel, and returns the exit code of the process.
///
/// The logger is installed first: Rocket installs its own where there is none.
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
