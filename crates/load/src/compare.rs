//! What an entry adds: its latency against a direct call of the engine, and the
//! requests that one core of it serves.
//!
//! Calls go in turns, one direct and one through the entry, so that both meet
//! the same machine. Requests per core are requests divided by the processor
//! time that the entry's process used for them.

use std::{
    fmt, fs,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use futures::StreamExt as _;
use serde::Serialize;
use serde_json::json;

use crate::{
    caller::{self, ChatAsk, ChatEnd},
    times::{TimePercentiles, TimeStats},
};

/// The kernel's clock ticks in a second, as `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Where and what to compare.
#[derive(Clone, Debug)]
pub struct CompareTask {
    /// The entry, as `ip:port`.
    pub entry: String,
    /// An engine behind it, as `ip:port`.
    pub engine: String,
    /// The model that the engine has loaded.
    pub model: String,
    /// The service.
    pub service: String,
    /// A caller's key.
    pub key: String,
    /// How many pairs of calls.
    pub pairs: u64,
    /// Tokens of each answer.
    pub tokens: u64,
    /// The entry's process id, to count its processor time.
    pub entry_pid: Option<u32>,
    /// How many callers ask at once when requests per core are counted.
    pub callers: usize,
    /// How many requests these send in all.
    pub requests: u64,
}

/// One time, directly and through the entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TimeComparison {
    /// Directly.
    pub direct: TimePercentiles,
    /// Through the entry.
    pub through: TimePercentiles,
    /// The ratio of the medians.
    pub median_ratio: f64,
    /// The ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

impl TimeComparison {
    fn new(direct: &TimeStats, through: &TimeStats) -> TimeComparison {
        let (direct, through) = (direct.percentiles(), through.percentiles());
        TimeComparison {
            direct,
            through,
            median_ratio: through.p50_ms / direct.p50_ms,
            p99_ratio: through.p99_ms / direct.p99_ms,
        }
    }
}

impl fmt::Display for TimeComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "median {:.2} -> {:.2} ms (x{:.3}), p99 {:.2} -> {:.2} ms (x{:.3})",
            self.direct.p50_ms,
            self.through.p50_ms,
            self.median_ratio,
            self.direct.p99_ms,
            self.through.p99_ms,
            self.p99_ratio
        )
    }
}

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CompareReport {
    /// Times to the first token.
    pub first_token: TimeComparison,
    /// Times to the end of the answer.
    pub whole_answer: TimeComparison,
    /// Requests for a second of one core of the entry, if its process id was
    /// given.
    pub requests_per_core: Option<f64>,
    /// Tokens of each of those requests' answers.
    pub tokens: u64,
}

impl fmt::Display for CompareReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "first token:  {}", self.first_token)?;
        writeln!(f, "whole answer: {}", self.whole_answer)?;
        match self.requests_per_core {
            Some(rate) => writeln!(
                f,
                "requests per second per core: {rate:.0} (answers of {} tokens)",
                self.tokens
            ),
            None => writeln!(f, "requests per second per core: not measured"),
        }
    }
}

struct CallTimes {
    first_token: Duration,
    whole: Duration,
}

/// Measures.
pub async fn compare(task: &CompareTask) -> anyhow::Result<CompareReport> {
    let http = reqwest::Client::new();
    let mut direct = (TimeStats::new(), TimeStats::new());
    let mut through = (TimeStats::new(), TimeStats::new());
    for number in 0..task.pairs {
        let times = call_engine(&http, task, number).await?;
        direct.0.add(times.first_token);
        direct.1.add(times.whole);
        let times = call_entry(&http, task, &format!("pair {number}")).await?;
        through.0.add(times.first_token);
        through.1.add(times.whole);
    }
    Ok(CompareReport {
        first_token: TimeComparison::new(&direct.0, &through.0),
        whole_answer: TimeComparison::new(&direct.1, &through.1),
        requests_per_core: requests_per_core(&http, task).await?,
        tokens: task.tokens,
    })
}

async fn call_entry(
    http: &reqwest::Client,
    task: &CompareTask,
    name: &str,
) -> anyhow::Result<CallTimes> {
    let content = format!("{name} len={}", task.tokens);
    let ask = ChatAsk::new(&task.entry, &task.key, &task.service, &content);
    let start = Instant::now();
    let answer = caller::send(http, &ask).await;
    let whole = start.elapsed();
    let end = &answer.end;
    ensure!(matches!(end, ChatEnd::Whole { .. }), "no answer: {end:?}");
    let first_token = answer.first_token.context("the answer has no token")?;
    Ok(CallTimes { first_token, whole })
}

async fn call_engine(
    http: &reqwest::Client,
    task: &CompareTask,
    number: u64,
) -> anyhow::Result<CallTimes> {
    let work = json!({
        "request": format!("direct-{number}"),
        "attempt": 1,
        "model": task.model,
        "prompt": format!("user: pair {number} len={}\n", task.tokens),
        "max_tokens": 1_000,
        "priority": "interactive",
    });
    let url = format!("http://{}/generate", task.engine);
    let start = Instant::now();
    let response = http.post(url).json(&work).send().await?;
    let mut chunks = response.error_for_status()?.bytes_stream();
    let mut first_token = None;
    while let Some(chunk) = chunks.next().await {
        chunk?;
        first_token.get_or_insert_with(|| start.elapsed());
    }
    let first_token = first_token.context("the engine sent no token")?;
    let whole = start.elapsed();
    Ok(CallTimes { first_token, whole })
}

async fn requests_per_core(
    http: &reqwest::Client,
    task: &CompareTask,
) -> anyhow::Result<Option<f64>> {
    let Some(pid) = task.entry_pid else {
        return Ok(None);
    };
    let before = processor_seconds(pid)?;
    let calls = futures::stream::iter(0..task.requests)
        .map(|number| async move { call_entry(http, task, &format!("many {number}")).await });
    let results: Vec<anyhow::Result<CallTimes>> =
        calls.buffer_unordered(task.callers).collect().await;
    for result in results {
        result?;
    }
    let used = processor_seconds(pid)? - before;
    ensure!(used > 0.0, "the entry used no processor time that shows");
    Ok(Some(task.requests as f64 / used))
}

/// The processor time that a process has used, in seconds.
fn processor_seconds(pid: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).with_context(|| format!("failed to read `{path}`"))?;
    let (_, fields) = text.rsplit_once(") ").context("the name ends with `)`")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    // After the name come the state and ten more fields, then user and system
    // time in clock ticks.
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let user = ticks(11).context("user time is missing")?;
    let system = ticks(12).context("system time is missing")?;
    Ok((user + system) / TICKS_PER_SECOND)
}
