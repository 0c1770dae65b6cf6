//! Entry point of `bluebell-entry`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_daemon::program;
use bluebell_entry::EntrySettings;
use bpaf::Bpaf;

/// Serves callers: admits their requests, routes them to endpoints and
/// passes the answers back.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// The settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let command = command_line().run();
    let load = || EntrySettings::load(&command.settings);
    program::run(load, async |settings, clock, token| {
        let entry = bluebell_entry::start(settings, clock, token).await?;
        println!(
            "listening http={} peer={}",
            entry.http_address, entry.peer_address
        );
        entry.wait().await;
        Ok(())
    })
}
