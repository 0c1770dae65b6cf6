//! `bluebell-load compare`: what an entry adds to a direct call.

use std::{fs, path::PathBuf};

use anyhow::Context;
use bpaf::{Parser, construct, long};

use crate::compare::{CompareTask, compare};

/// What the command line names.
#[derive(Clone, Debug)]
pub struct CompareArguments {
    task: CompareTask,
    json: Option<PathBuf>,
}

fn text(name: &'static str, help: &'static str) -> impl Parser<String> {
    long(name).help(help).argument::<String>("TEXT")
}

fn number(name: &'static str, help: &'static str, default: u64) -> impl Parser<u64> {
    long(name)
        .help(help)
        .argument::<u64>("NUMBER")
        .fallback(default)
        .display_fallback()
}

/// The arguments of `bluebell-load compare`.
pub fn arguments() -> impl Parser<CompareArguments> {
    let entry = text("entry", "The entry, as IP:PORT");
    let engine = text("engine", "An engine behind it, as IP:PORT");
    let model = text("model", "The model that the engine has loaded");
    let service = text("service", "The service");
    let key = text("key", "A caller's key");
    let pairs = number("pairs", "How many pairs of calls", 300);
    let tokens = number("tokens", "Tokens of each answer", 20);
    let entry_pid = long("entry-pid")
        .help("The entry's process id, to count its processor time")
        .argument::<u32>("PID")
        .optional();
    let callers = number("callers", "How many ask at once", 16).map(|count| count as usize);
    let requests = number("requests", "How many requests these send", 2_000);
    let task = construct!(CompareTask {
        entry,
        engine,
        model,
        service,
        key,
        pairs,
        tokens,
        entry_pid,
        callers,
        requests
    });
    let json = long("json")
        .help("Write the figures there as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(CompareArguments { task, json })
        .to_options()
        .descr("Measures what an entry adds to a direct call")
        .command("compare")
}

/// Runs it.
pub async fn exec(arguments: CompareArguments) -> anyhow::Result<u8> {
    let report = compare(&arguments.task).await?;
    print!("{report}");
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| format!("failed to write `{}`", path.display()))?;
    }
    Ok(0)
}
