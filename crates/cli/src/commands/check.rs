//! `bluebell check`: checks all configuration files as a whole, sends nothing.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, positional};

use crate::{commands, ops};

/// The arguments of `bluebell check`.
#[derive(Clone, Debug)]
pub struct CheckArguments {
    platform: Option<String>,
    directories: Vec<PathBuf>,
}

/// The parser of the subcommand.
pub fn arguments() -> impl Parser<CheckArguments> {
    let platform = commands::platform().optional();
    let directories = positional::<PathBuf>("DIR")
        .help("Directories with `bluebell.toml` files, at any depth")
        .some("expected at least one directory");
    let parser: OptionParser<CheckArguments> = construct!(CheckArguments {
        platform,
        directories
    })
    .to_options()
    .descr("Checks all configuration files and sends nothing");
    parser.command("check")
}

/// Checks the files, against what is in force if a platform is named.
pub async fn exec(arguments: CheckArguments) -> anyhow::Result<u8> {
    let collection = ops::collect::collect(&arguments.directories)?;
    let session = match &arguments.platform {
        Some(platform) => Some(ops::session::FleetSession::open(platform, "check").await?),
        None => None,
    };
    let view = session.as_ref().map(|session| session.view());
    ops::check::check(&collection, view.as_ref())?;
    println!(
        "{} units in {} files can be published",
        collection.units.len(),
        collection.files.len()
    );
    Ok(ops::DONE)
}
