//! `bluebell status`: instances, duties and endpoints at a glance.

use bluebell_core::clock::TimeSpan;
use bpaf::{OptionParser, Parser, construct};

use crate::{
    commands,
    ops::{
        fleet::{self, DutyStatus, FleetStatus},
        session::{self, FleetSession},
    },
};

/// How long the command tries to read the log.
const LOG_PATIENCE: TimeSpan = TimeSpan::from_secs(5);

/// The name under which the command reads.
const READER: &str = "status";

/// The arguments of `bluebell status`.
#[derive(Clone, Debug)]
pub struct StatusArguments {
    platform: String,
    json: bool,
}

/// The parser of the subcommand.
pub fn arguments() -> impl Parser<StatusArguments> {
    let platform = commands::platform();
    let json = commands::json();
    let parser: OptionParser<StatusArguments> = construct!(StatusArguments { platform, json })
        .to_options()
        .descr("Shows instances, duties and endpoints; fails if anything is not ready");
    parser.command("status")
}

/// Asks the platform and all instances, and prints what they say.
pub async fn exec(arguments: StatusArguments) -> anyhow::Result<u8> {
    let client = session::client(&arguments.platform, READER)?;
    let status = FleetStatus {
        instances: fleet::instances(&client).await?,
        duties: duties(&arguments.platform).await,
        endpoints: client.endpoints().await.ok(),
    };
    commands::print(&status, arguments.json)?;
    Ok(status.exit_code())
}

async fn duties(platform: &str) -> Option<Vec<DutyStatus>> {
    let session = FleetSession::open_within(platform, READER, LOG_PATIENCE).await;
    let view = session.ok()?.view();
    let duty = |(duty, lease): (
        &bluebell_core::records::DutyName,
        &bluebell_core::authority::HeldLease,
    )| DutyStatus {
        duty: duty.to_string(),
        holder: lease.holder.clone(),
        fence: lease.fence,
    };
    Some(view.leases.leases().map(duty).collect())
}
