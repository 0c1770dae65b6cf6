//! Entry point of `standin-service`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_daemon::{program, settings};
use bpaf::Bpaf;
use standin_service::ServiceSettings;

/// A stand-in for a replica of a plain service.
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
        Some(path) => settings::load(path, ServiceSettings::problems),
        None => Ok(ServiceSettings::default()),
    };
    program::run(load, async |settings, clock, token| {
        let running = standin_service::start(settings, clock, token).await?;
        println!("listening http={}", running.http_address);
        running.run().await;
        Ok(())
    })
}
