//! Entry point of `bluebell-controller`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_controller::ControllerSettings;
use bluebell_core::clock::ClockSource;
use bluebell_daemon::{logs, shutdown};
use bpaf::Bpaf;
use log::LevelFilter;
use tokio_util::sync::CancellationToken;

/// Holds the duties that need authority: engine orders, fleet and usage.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct CommandLine {
    /// The settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// The exit code of settings that can't be used.
const SETTINGS_EXIT: u8 = 2;

fn main() -> ExitCode {
    let arguments = command_line().run();
    logs::install(LevelFilter::Info);
    let settings = match ControllerSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: ControllerSettings) -> anyhow::Result<()> {
    let token = CancellationToken::new();
    shutdown::cancel_on_signal(token.clone())?;
    let controller = bluebell_controller::start(settings, ClockSource::new(), token).await?;
    println!(
        "listening http={} peer={}",
        controller.http_address, controller.peer_address
    );
    controller.wait().await;
    Ok(())
}
