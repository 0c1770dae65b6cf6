//! Entry point of `standin-service`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_core::clock::ClockSource;
use bluebell_daemon::{logs, settings, shutdown};
use bpaf::Bpaf;
use standin_service::ServiceSettings;
use tokio_util::sync::CancellationToken;

/// The exit code for settings that can't be used.
const SETTINGS_EXIT: u8 = 2;

/// A stand-in for a replica of a plain service.
#[derive(Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Settings in TOML; without them all defaults hold.
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = command_line().run();
    logs::install(log::LevelFilter::Info);
    let loaded = match &command.settings {
        Some(path) => settings::load(path, ServiceSettings::problems),
        None => Ok(ServiceSettings::default()),
    };
    let settings = match loaded {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: ServiceSettings) -> anyhow::Result<()> {
    let token = CancellationToken::new();
    shutdown::cancel_on_signal(token.clone())?;
    let running = standin_service::start(settings, ClockSource::new(), token).await?;
    println!("listening http={}", running.http_address);
    running.run().await;
    Ok(())
}
