//! Entry point of `bluebell-embedded`.

use std::{path::PathBuf, process::ExitCode};

use bluebell_daemon::{logs, shutdown};
use bluebell_embedded::{FleetLayout, SampleUser, greeting::FleetGreeting};
use bpaf::Bpaf;
use tokio_util::sync::CancellationToken;

/// Runs a small fleet with its stand-ins on loopback, in one process.
#[derive(Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Whose sample: `magnolia` or `formosa`
    #[bpaf(argument("NAME"), fallback(SampleUser::Magnolia), display_fallback)]
    user: SampleUser,
    /// Where the configuration files are, instead of the sample's own
    #[bpaf(argument("DIR"))]
    samples: Option<PathBuf>,
    /// How many entries run
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    entries: usize,
    /// How many controllers run
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    controllers: usize,
    /// How many engines run
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    engines: usize,
    /// How many replicas of each plain service run
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    replicas: usize,
    /// Log every event, not only what needs a look
    verbose: bool,
}

impl CommandLine {
    fn layout(self) -> FleetLayout {
        FleetLayout {
            user: self.user,
            samples: self.samples.unwrap_or_else(|| self.user.samples()),
            entries: self.entries,
            controllers: self.controllers,
            engines: self.engines,
            replicas: self.replicas,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = command_line().run();
    let level = if command.verbose {
        log::LevelFilter::Info
    } else {
        log::LevelFilter::Warn
    };
    logs::install(level);
    match run(&command.layout()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(layout: &FleetLayout) -> anyhow::Result<()> {
    let token = CancellationToken::new();
    shutdown::cancel_on_signal(token.clone())?;
    let fleet = bluebell_embedded::start(layout).await?;
    println!("{}", FleetGreeting::new(layout, &fleet));
    token.cancelled().await;
    fleet.stop().await;
    Ok(())
}
