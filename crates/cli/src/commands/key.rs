//! `bluebell key grant` and `bluebell key withdraw`.

use bluebell_core::{
    clock::TimeSpan,
    ids::{KeyDigest, OrganisationId},
};
use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::{
    commands,
    ops::{self, keys::KeyChoice, session::FleetSession},
};

/// One of the two subcommands with its arguments.
#[derive(Clone, Debug)]
pub enum KeyCommand {
    /// `bluebell key grant`
    Grant(GrantArguments),
    /// `bluebell key withdraw`
    Withdraw(WithdrawArguments),
}

/// The arguments of `bluebell key grant`.
#[derive(Clone, Debug)]
pub struct GrantArguments {
    platform: String,
    publisher: String,
    wait: TimeSpan,
    json: bool,
    organisation: OrganisationId,
    name: String,
}

/// The arguments of `bluebell key withdraw`.
#[derive(Clone, Debug)]
pub struct WithdrawArguments {
    platform: String,
    publisher: String,
    instance: Option<String>,
    wait: TimeSpan,
    json: bool,
    choice: KeyChoice,
}

/// The parser of both subcommands.
pub fn arguments() -> impl Parser<KeyCommand> {
    let grant = grant_arguments().map(KeyCommand::Grant);
    let withdraw = withdraw_arguments().map(KeyCommand::Withdraw);
    let parser: OptionParser<KeyCommand> = construct!([grant, withdraw])
        .to_options()
        .descr("Grants and withdraws callers' keys");
    parser.command("key")
}

fn grant_arguments() -> impl Parser<GrantArguments> {
    let platform = commands::platform();
    let publisher = commands::publisher();
    let wait = commands::wait();
    let json = commands::json();
    let organisation = positional::<OrganisationId>("ORGANISATION")
        .help("The organisation whose requests the key admits");
    let name = positional::<String>("NAME").help("The name of the new key unit");
    let parser: OptionParser<GrantArguments> = construct!(GrantArguments {
        platform,
        publisher,
        wait,
        json,
        organisation,
        name
    })
    .to_options()
    .descr("Makes a new key, prints it once, and publishes its digest");
    parser.command("grant")
}

fn withdraw_arguments() -> impl Parser<WithdrawArguments> {
    let platform = commands::platform();
    let publisher = commands::publisher();
    let instance = long("instance")
        .help("An instance's HTTP address, to tell if the platform can't be reached")
        .argument::<String>("ADDR")
        .optional();
    let wait = commands::wait();
    let json = commands::json();
    let name = positional::<String>("NAME")
        .help("The name of the key unit")
        .map(KeyChoice::Name);
    let digest = long("digest")
        .help("The digest of the key, if its unit can't be read")
        .argument::<KeyDigest>("DIGEST")
        .map(KeyChoice::Digest);
    let choice = construct!([digest, name]);
    let parser: OptionParser<WithdrawArguments> = construct!(WithdrawArguments {
        platform,
        publisher,
        instance,
        wait,
        json,
        choice
    })
    .to_options()
    .descr("Withdraws a key for good, on all instances, also while the log is down");
    parser.command("withdraw")
}

/// Runs one of the subcommands.
pub async fn exec(command: KeyCommand) -> anyhow::Result<u8> {
    match command {
        KeyCommand::Grant(arguments) => grant(arguments).await,
        KeyCommand::Withdraw(arguments) => withdraw(arguments).await,
    }
}

async fn grant(arguments: GrantArguments) -> anyhow::Result<u8> {
    let session = FleetSession::open(&arguments.platform, &arguments.publisher).await?;
    let organisation = &arguments.organisation;
    let report = ops::keys::grant(&session, organisation, &arguments.name, arguments.wait).await?;
    commands::print(&report, arguments.json)?;
    Ok(report.confirmation.exit_code())
}

async fn withdraw(arguments: WithdrawArguments) -> anyhow::Result<u8> {
    let report = ops::keys::withdraw(ops::keys::WithdrawRequest {
        platform: arguments.platform,
        publisher: arguments.publisher,
        instance: arguments.instance,
        choice: arguments.choice,
        patience: arguments.wait,
    })
    .await?;
    commands::print(&report, arguments.json)?;
    Ok(report.exit_code())
}
