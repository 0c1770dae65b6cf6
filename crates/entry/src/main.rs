//! The program `bluebell-entry`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_core::clock::ClockSource;
use bluebell_daemon::{logs, shutdown};
use bluebell_entry::EntrySettings;
use bpaf::Bpaf;
use tokio_util::sync::CancellationToken;

/// The exit code for settings that can't be used.
const SETTINGS_EXIT: u8 = 2;

/// Serves callers: admits their requests, routes them to endpoints and
/// passes the answers back.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct EntryArguments {
    /// The settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = entry_arguments().run();
    logs::install(log::LevelFilter::Info);
    let settings = match EntrySettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let token = CancellationToken::new();
    shutdown::cancel_on_signal(token.clone())?;
    let entry = bluebell_entry::start(settings, ClockSource::new(), token).await?;
    println!(
        "listening http={} peer={}",
        entry.http_address, entry.peer_address
    );
    entry.wait().await;
    Ok(())
}
