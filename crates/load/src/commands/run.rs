//! `bluebell-load run`: sends a plan's requests and reports.

use std::{fs, path::PathBuf};

use anyhow::{Context, ensure};
use bluebell_daemon::settings;
use bpaf::{Parser, construct, long, positional};

use crate::{plan::LoadPlan, run};

/// The exit code if some answer was wrong, truncated or crossed.
const FALSE_ANSWERS_EXIT: u8 = 3;

/// What the command line names.
#[derive(Clone, Debug)]
pub struct RunArguments {
    json: Option<PathBuf>,
    entries: Vec<String>,
    plan: PathBuf,
}

/// The arguments of `bluebell-load run`.
pub fn arguments() -> impl Parser<RunArguments> {
    let json = long("json")
        .help("Write the figures there as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let entries = long("entry")
        .help("An entry to send to, as IP:PORT, in place of the plan's")
        .argument::<String>("ADDRESS")
        .many();
    let plan = positional::<PathBuf>("PLAN").help("What to send, in TOML");
    construct!(RunArguments {
        json,
        entries,
        plan
    })
    .to_options()
    .descr("Sends a plan's requests and reports")
    .command("run")
}

/// Runs it.
pub async fn exec(arguments: RunArguments) -> anyhow::Result<u8> {
    let mut plan: LoadPlan = settings::load(&arguments.plan, LoadPlan::problems)?;
    if !arguments.entries.is_empty() {
        plan.entries = arguments.entries;
    }
    ensure!(
        !plan.entries.is_empty(),
        "no entry to send to: name one with `--entry` or in the plan's `entries`"
    );
    let report = run::run(&plan).await;
    print!("{report}");
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| format!("failed to write `{}`", path.display()))?;
    }
    Ok(match report.false_answers() {
        0 => 0,
        _ => FALSE_ANSWERS_EXIT,
    })
}
