//! `bluebell dump`: the state of one instance, or of all, as JSON.

use std::collections::BTreeMap;

use anyhow::bail;
use bluebell_core::ids::InstanceId;
use bpaf::{OptionParser, Parser, construct, positional};
use futures::future::join_all;

use crate::{
    commands,
    ops::{DONE, FAILED, fleet, session},
};

/// The arguments of `bluebell dump`.
#[derive(Clone, Debug)]
pub struct DumpArguments {
    platform: String,
    instance: Option<InstanceId>,
}

/// The parser of the subcommand.
pub fn arguments() -> impl Parser<DumpArguments> {
    let platform = commands::platform();
    let instance = positional::<InstanceId>("INSTANCE")
        .help("The instance; all if none is named")
        .optional();
    let parser: OptionParser<DumpArguments> = construct!(DumpArguments { platform, instance })
        .to_options()
        .descr("Prints the state of one instance, or of all, as JSON");
    parser.command("dump")
}

/// Prints an object of dumps by instance; one that does not answer has its reason.
pub async fn exec(arguments: DumpArguments) -> anyhow::Result<u8> {
    let client = session::client(&arguments.platform, "dump")?;
    let mut listings = client.instances().await?;
    if let Some(instance) = &arguments.instance {
        listings.retain(|listing| listing.instance == *instance);
        if listings.is_empty() {
            bail!("`{instance}` is not on the platform's list; see `bluebell status`");
        }
    }
    let answers = join_all(listings.iter().map(fleet::dump)).await;
    let mut code = DONE;
    let mut dumps = BTreeMap::new();
    for (listing, answer) in listings.iter().zip(answers) {
        let dump = answer.unwrap_or_else(|error| {
            code = FAILED;
            serde_json::json!({ "error": error })
        });
        dumps.insert(listing.instance.to_string(), dump);
    }
    println!("{}", serde_json::to_string_pretty(&dumps)?);
    Ok(code)
}
