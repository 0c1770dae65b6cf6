//! The subcommands.

mod check;
mod publish;

use bpaf::{Parser, construct, long};

/// One subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum CliCommand {
    /// `bluebell check`
    Check(check::CheckArguments),
    /// `bluebell publish`
    Publish(publish::PublishArguments),
}

/// The parser of all subcommands.
pub fn command() -> impl Parser<CliCommand> {
    let check = check::arguments().map(CliCommand::Check);
    let publish = publish::arguments().map(CliCommand::Publish);
    construct!([check, publish])
}

/// Runs a subcommand; answers the exit code.
pub async fn exec(command: CliCommand) -> anyhow::Result<u8> {
    match command {
        CliCommand::Check(arguments) => check::exec(arguments).await,
        CliCommand::Publish(arguments) => publish::exec(arguments).await,
    }
}

fn platform() -> impl Parser<String> {
    long("platform")
        .env("BLUEBELL_PLATFORM")
        .help("Address of the platform, as ip:port")
        .argument::<String>("ADDR")
}

fn publisher() -> impl Parser<String> {
    long("publisher")
        .env("USER")
        .help("Who publishes, for others to read")
        .argument::<String>("NAME")
        .fallback("operator".to_string())
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}
