//! The command line.

use std::{fmt::Display, path::PathBuf, str::FromStr};

use anyhow::bail;
use bpaf::{OptionParser, Parser, construct, long};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    fleet::FleetSize,
    process,
    run::{self, SoakPlan, SoakReport},
};

/// How long faults come unless told otherwise, in s.
const FAULT_SECONDS: u64 = 20;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    seed: u64,
    count: u64,
    seconds: u64,
    instances: usize,
    callers: usize,
    is_growing: bool,
    has_versions: bool,
    is_changing: bool,
    is_leaving: bool,
    is_crashing: bool,
    is_refusing: bool,
    is_unnamed: bool,
    is_unframed: bool,
    folder: Option<PathBuf>,
    program: Option<PathBuf>,
    is_untimed: bool,
}

/// The options.
pub fn command() -> OptionParser<SoakOptions> {
    let seed = number("seed", "the first seed", 1);
    let count = number("seeds", "how many seeds, one after the other", 1);
    let seconds = number(
        "seconds",
        "how long faults come with each seed",
        FAULT_SECONDS,
    );
    let instances = number("instances", "entry instances, in three failure domains", 6);
    let callers = number("callers", "callers in each failure domain", 6);
    let is_growing = long("growing")
        .help("the configuration grows over narrow paths; endpoints are withdrawn unannounced")
        .switch();
    let has_versions = long("versions")
        .help("endpoints are replaced by other software versions; callers take streams up")
        .switch();
    let is_changing = long("changing")
        .help("routes and keys are added, changed and dropped while callers use them")
        .switch();
    let is_leaving = long("leaving")
        .help("endpoints leave and are withdrawn in series while readers of the store fail")
        .switch();
    let is_crashing = long("crashing")
        .help("a part of prompts crashes endpoints, and endpoints ask for rest in series")
        .switch();
    let is_refusing = long("refusing")
        .help("endpoints are full in series, answer twice, and refuse what has run")
        .switch();
    let is_unnamed = long("unnamed")
        .help("callers take streams up without naming them; some send the same requests")
        .switch();
    let is_unframed = long("unframed")
        .help("streams end with their connections; engines end during some of them")
        .switch();
    let folder = long("folder")
        .help("where settings, logs and reports are kept; a temporary folder otherwise")
        .argument("DIR")
        .optional();
    let program = long("program")
        .help("the entry program; the one beside this program otherwise")
        .argument("FILE")
        .optional();
    let is_untimed = long("untimed")
        .help("verdicts that depend on this machine's speed are shown and don't count")
        .switch();
    construct!(SoakOptions {
        seed,
        count,
        seconds,
        instances,
        callers,
        is_growing,
        has_versions,
        is_changing,
        is_leaving,
        is_crashing,
        is_refusing,
        is_unnamed,
        is_unframed,
        folder,
        program,
        is_untimed
    })
    .to_options()
    .descr("Soaks the entry program under faults from outside, against its promises.")
}

/// An option that takes a number.
fn number<Number>(name: &'static str, help: &'static str, fallback: Number) -> impl Parser<Number>
where
    Number: FromStr<Err: Display> + Clone + 'static,
{
    long(name).help(help).argument("N").fallback(fallback)
}

/// Plays all seeds, unless it is asked to end before; answers whether all promises
/// were kept. Whichever way this ends, the processes that it started end with it: each
/// is killed when its handle is dropped.
pub async fn exec(options: SoakOptions) -> anyhow::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        kept = play_all(options) => kept,
        _ = terminate.recv() => bail!("ended by SIGTERM"),
        _ = interrupt.recv() => bail!("ended by SIGINT"),
    }
}

async fn play_all(options: SoakOptions) -> anyhow::Result<bool> {
    let program = match options.program.clone() {
        Some(program) => program,
        None => process::program_path()?,
    };
    let folder = match options.folder.clone() {
        Some(folder) => folder,
        None => std::env::temp_dir().join(format!("bluebell-soak-{}", std::process::id())),
    };
    let mut is_kept = true;
    for seed in options.seed..options.seed + options.count {
        let plan = SoakPlan {
            seed,
            span_ms: options.seconds * 1_000,
            callers: options.callers,
            is_growing: options.is_growing,
            has_versions: options.has_versions,
            is_changing: options.is_changing,
            is_leaving: options.is_leaving,
            is_crashing: options.is_crashing,
            is_refusing: options.is_refusing,
            is_unnamed: options.is_unnamed,
            is_unframed: options.is_unframed,
            program: program.clone(),
            size: FleetSize {
                instances: options.instances,
                folder: folder.join(format!("seed-{seed}")),
            },
        };
        let report = run::play(&plan).await?;
        is_kept &= show(&report, options.is_untimed);
        let file = plan.size.folder.join("report.json");
        std::fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    }
    println!("event=soaked folder={} kept={is_kept}", folder.display());
    Ok(is_kept)
}

/// Shows a report; answers whether all promises that count were kept.
fn show(report: &SoakReport, is_untimed: bool) -> bool {
    let tally = report.tally;
    println!(
        "event=soak seed={} faults={} served={} refused={} failed={} broken={}",
        report.seed,
        report.faults.len(),
        tally.served,
        tally.refused,
        tally.failed,
        report.broken.len()
    );
    println!("event=streams seed={} {}", report.seed, report.streams);
    println!("event=changes seed={} {}", report.seed, report.changes);
    println!("event=notices seed={} {}", report.seed, report.notices);
    println!("event=retries seed={} {}", report.seed, report.retries);
    for broken in &report.broken {
        println!("event=promise seed={} {broken}", report.seed);
    }
    let mut counted = report
        .broken
        .iter()
        .filter(|broken| !is_untimed || !broken.promise.is_timed());
    counted.next().is_none()
}
