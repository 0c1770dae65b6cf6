//! `bluebell explain`: what the instances decided about a subject, and why.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::{
    commands,
    ops::{DONE, FAILED, fleet, session},
};

/// The arguments of `bluebell explain`.
#[derive(Clone, Debug)]
pub struct ExplainArguments {
    platform: String,
    json: bool,
    subject: String,
}

/// The parser of the subcommand.
pub fn arguments() -> impl Parser<ExplainArguments> {
    let platform = commands::platform();
    let json = commands::json();
    let subject = positional::<String>("SUBJECT")
        .help("A request id, an endpoint, a duty or an organisation");
    let parser: OptionParser<ExplainArguments> = construct!(ExplainArguments {
        platform,
        json,
        subject
    })
    .to_options()
    .descr("Tells what the instances decided about a subject, and why, by time");
    parser.command("explain")
}

/// Asks every instance and merges the answers by time.
pub async fn exec(arguments: ExplainArguments) -> anyhow::Result<u8> {
    let client = session::client(&arguments.platform, "explain")?;
    let listings = client.instances().await?;
    let explanation = fleet::explain(&listings, &arguments.subject).await;
    commands::print(&explanation, arguments.json)?;
    if explanation.decisions.is_empty() && !arguments.json {
        eprintln!(
            "no instance remembers a decision about `{}`; instances keep the last few thousand only",
            arguments.subject
        );
    }
    match explanation.decisions.is_empty() {
        true => Ok(FAILED),
        false => Ok(DONE),
    }
}
