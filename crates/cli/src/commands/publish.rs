//! `bluebell publish`: puts configuration files into force.

use std::path::PathBuf;

use anyhow::Context;
use bluebell_core::clock::TimeSpan;
use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::{
    commands,
    ops::{self, publish::PublishRequest},
};

/// The arguments of `bluebell publish`.
#[derive(Clone, Debug)]
pub struct PublishArguments {
    platform: String,
    publisher: String,
    prune: bool,
    dry_run: bool,
    wait: TimeSpan,
    json: bool,
    directories: Vec<PathBuf>,
}

/// The parser of the subcommand.
pub fn arguments() -> impl Parser<PublishArguments> {
    let platform = commands::platform();
    let publisher = commands::publisher();
    let prune = long("prune")
        .help("Remove services, organisations and rules that no file names any more")
        .switch();
    let dry_run = long("dry-run")
        .help("Show the difference and send nothing")
        .switch();
    let wait = commands::wait();
    let json = commands::json();
    let directories = positional::<PathBuf>("DIR")
        .help("Directories with `bluebell.toml` files, at any depth")
        .some("expected at least one directory");
    let parser: OptionParser<PublishArguments> = construct!(PublishArguments {
        platform,
        publisher,
        prune,
        dry_run,
        wait,
        json,
        directories
    })
    .to_options()
    .descr("Checks all configuration files as a whole and puts them into force");
    parser.command("publish")
}

/// Publishes and waits until the configuration is in force.
pub async fn exec(arguments: PublishArguments) -> anyhow::Result<u8> {
    let request = PublishRequest {
        directories: arguments.directories,
        publisher: arguments.publisher,
        prune: arguments.prune,
    };
    let session = ops::session::FleetSession::open(&arguments.platform, &request.publisher).await?;
    let prepared = ops::publish::prepare(&session, &request)?;
    if !arguments.json {
        print!("{}", prepared.difference);
    }
    if arguments.dry_run || prepared.difference.is_empty() {
        if arguments.json {
            let text = serde_json::to_string_pretty(&prepared.difference);
            println!("{}", text.context("failed to print the difference")?);
        } else if prepared.difference.is_empty() {
            println!("nothing to publish: all of it is in force");
        }
        return Ok(ops::DONE);
    }
    let report = ops::publish::send(&session, prepared, arguments.wait).await?;
    if arguments.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.context("failed to print the report")?);
    } else {
        print!("{report}");
    }
    Ok(report.confirmation.exit_code())
}
