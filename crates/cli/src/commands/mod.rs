//! The subcommands.

mod check;
mod dump;
mod explain;
mod key;
mod publish;
mod status;

use bluebell_core::clock::TimeSpan;
use bpaf::{Parser, construct, long};

/// One subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum CliCommand {
    /// `bluebell check`
    Check(check::CheckArguments),
    /// `bluebell publish`
    Publish(publish::PublishArguments),
    /// `bluebell key grant` and `bluebell key withdraw`
    Key(key::KeyCommand),
    /// `bluebell status`
    Status(status::StatusArguments),
    /// `bluebell dump`
    Dump(dump::DumpArguments),
    /// `bluebell explain`
    Explain(explain::ExplainArguments),
}

/// The parser of all subcommands.
pub fn command() -> impl Parser<CliCommand> {
    let check = check::arguments().map(CliCommand::Check);
    let publish = publish::arguments().map(CliCommand::Publish);
    let key = key::arguments().map(CliCommand::Key);
    let status = status::arguments().map(CliCommand::Status);
    let dump = dump::arguments().map(CliCommand::Dump);
    let explain = explain::arguments().map(CliCommand::Explain);
    construct!([check, publish, key, status, dump, explain])
}

/// Runs a subcommand; answers the exit code.
pub async fn exec(command: CliCommand) -> anyhow::Result<u8> {
    match command {
        CliCommand::Check(arguments) => check::exec(arguments).await,
        CliCommand::Publish(arguments) => publish::exec(arguments).await,
        CliCommand::Key(command) => key::exec(command).await,
        CliCommand::Status(arguments) => status::exec(arguments).await,
        CliCommand::Dump(arguments) => dump::exec(arguments).await,
        CliCommand::Explain(arguments) => explain::exec(arguments).await,
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

fn wait() -> impl Parser<TimeSpan> {
    long("wait")
        .help("How long to wait until every live instance has confirmed")
        .argument::<TimeSpan>("SPAN")
        .fallback(TimeSpan::from_secs(10))
        .display_fallback()
}

/// Prints `value` as JSON, or else as its text.
fn print<Value>(value: &Value, json: bool) -> anyhow::Result<()>
where
    Value: serde::Serialize + std::fmt::Display,
{
    match json {
        true => println!("{}", serde_json::to_string_pretty(value)?),
        false => print!("{value}"),
    }
    Ok(())
}
