//! Entry point of `standin-platform`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_daemon::{program, settings};
use bpaf::Bpaf;
use standin_platform::PlatformSettings;

/// A stand-in for the platform, in memory.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Settings in TOML; without them all defaults hold
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let command = command_line().run();
    let load = || match &command.settings {
        Some(path) => settings::load(path, PlatformSettings::problems),
        None => Ok(PlatformSettings::default()),
    };
    program::run(load, async |settings, clock, token| {
        let running = standin_platform::start(settings, clock, token).await?;
        println!("listening http={}", running.http_address);
        running.run().await;
        Ok(())
    })
}
