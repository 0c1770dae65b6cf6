//! Fleets of real processes, and streams that callers take up.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    ops::Range,
    path::{Path, PathBuf},
    time::Duration,
};

use bluebell_core::directory::EngineStage;
use bluebell_platform_standin::{
    endpoint::{EVENTS, EndpointFaults},
    raw::{RawRequest, ResumedPosition, exchange},
    scripted::{self, AnswerScript, ScriptedSpec},
};
use bluebell_soak::{
    fleet::{EndpointSlot, FleetSize, HOST, InstanceSlot, SoakFleet, organisation_key},
    process::program_path,
};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The time limit for what is awaited on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// How often a caller takes its stream up before it gives up.
const TRIES: usize = 3;

/// A stream that broke off, with what its caller has received.
#[derive(Clone, Debug)]
pub struct BrokenStream {
    pub attempt: String,
    pub text: String,
}

impl BrokenStream {
    pub fn last_event(&self) -> u64 {
        let ids = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok())
            .max()
            .unwrap_or(0)
    }
}

/// The versions that wrote the events of an answer.
pub fn versions(text: &str) -> BTreeSet<String> {
    let events = text.lines().filter(|line| line.starts_with("data: "));
    let versions = events.filter_map(|line| line.split(' ').next_back());
    versions.map(ToString::to_string).collect()
}

/// How callers say which stream they take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamNaming {
    /// They name the attempt that began it.
    Attempt,
    /// They send the same request again with the last event that they have.
    Request,
}

/// The request that begins a stream; that of attempts whose names end in the same number is the same.
pub fn request(attempt: &str) -> RawRequest {
    // Prompts differ, so that they are spread over the engines.
    let part = attempt.rsplit('-').next().unwrap_or_default();
    RawRequest {
        method: "POST",
        host: HOST,
        path: format!("/chat/{part}"),
        attempt: attempt.to_string(),
        key: organisation_key(0),
        deadline_ms: 3_000,
        prompt_part: Some(format!("aa{part}")),
        resumes: None,
    }
}

/// The request that takes a stream up.
fn taking_up(attempt: &str, stream: &BrokenStream, naming: StreamNaming) -> RawRequest {
    let begun = request(&stream.attempt);
    let last_event = stream.last_event();
    let (path, begun_by) = match naming {
        StreamNaming::Attempt => (format!("/chat/{attempt}"), Some(stream.attempt.clone())),
        StreamNaming::Request => (begun.path.clone(), None),
    };
    RawRequest {
        path,
        attempt: attempt.to_string(),
        resumes: Some(ResumedPosition {
            begun_by,
            last_event,
        }),
        ..begun
    }
}

/// Takes a request's answer to a stream that an instance serves, and calls `begun` once it has begun.
pub async fn begin_stream<Begun>(
    address: SocketAddr,
    attempt: String,
    mut begun: Begun,
) -> BrokenStream
where
    Begun: FnMut(),
{
    let request = request(&attempt);
    let text = exchange(address, &request, |text| {
        if text.contains("id: 1\n") {
            begun();
        }
    });
    let text = text.await;
    BrokenStream { attempt, text }
}

async fn wait_until_ready(slot: &InstanceSlot) {
    let client = reqwest::Client::new();
    let ready = async {
        while !slot.is_ready(&client, PATIENCE).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let ready = tokio::time::timeout(PATIENCE, ready).await;
    ready.expect("the instance was not ready in time");
}

/// Starts the instances in `range` and waits until they are ready.
pub async fn start(fleet: &SoakFleet, range: Range<usize>) {
    let slots = &fleet.instances[range];
    for slot in slots {
        let process = slot.start(&fleet.program).expect("the program starts");
        *slot.process.lock().await = Some(process);
    }
    for slot in slots {
        wait_until_ready(slot).await;
    }
}

/// Starts all instances and waits until they are ready.
pub async fn start_all(fleet: &SoakFleet) {
    start(fleet, 0..fleet.instances.len()).await;
}

/// Sends a signal to the processes of the instances in `range`.
pub async fn signal(fleet: &SoakFleet, range: Range<usize>, signal: Signal) {
    for slot in &fleet.instances[range] {
        if let Some(process) = slot.process.lock().await.as_mut() {
            process.signal(signal);
        }
    }
}

/// Kills the instances in `range` and waits until they have ended.
pub async fn kill(fleet: &SoakFleet, range: Range<usize>) {
    signal(fleet, range.clone(), Signal::KILL).await;
    for slot in &fleet.instances[range] {
        if let Some(mut process) = slot.process.lock().await.take() {
            process.wait().await.expect("it was started here");
        }
    }
}

/// Kills all instances and waits until they have ended.
pub async fn kill_all(fleet: &SoakFleet) {
    kill(fleet, 0..fleet.instances.len()).await;
}

/// Takes a stream up at the instance that accepts callers at `address`.
async fn take_up(address: SocketAddr, stream: &BrokenStream, naming: StreamNaming) -> String {
    for number in 0..TRIES {
        let attempt = format!("again-{number}-{}", stream.attempt);
        let request = taking_up(&attempt, stream, naming);
        let answer = exchange(address, &request, |_| {}).await;
        if !answer.starts_with("HTTP/1.1 503") {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    String::new()
}

/// How the streams went on that were taken up.
#[derive(Debug, Default)]
pub struct ResumedStreams {
    pub count: usize,
    /// Those that went on at their version.
    pub gone_on: usize,
    /// Those that went on to their end at their version.
    pub whole: usize,
    /// Those that went on at another version.
    pub mixed: usize,
    pub begun_at: BTreeSet<String>,
}

impl ResumedStreams {
    pub fn add(&mut self, stream: &BrokenStream, answer: &str) {
        let begun = versions(&stream.text);
        let is_mixed = !versions(answer).is_subset(&begun);
        self.count += 1;
        self.gone_on += usize::from(!is_mixed && !versions(answer).is_empty());
        self.mixed += usize::from(is_mixed);
        self.whole += usize::from(!is_mixed && answer.contains(&format!("id: {EVENTS}\n")));
        self.begun_at.extend(begun);
    }
}

/// The engines of a fleet.
pub fn engines(fleet: &SoakFleet) -> impl Iterator<Item = &EndpointSlot> {
    let slots = fleet.endpoints.iter();
    slots.filter(|slot| slot.plan.prefills.is_some())
}

/// Has engines take this additional time for each event, in ms.
pub fn slow_engines(fleet: &SoakFleet, slow_ms: u64) {
    for slot in engines(fleet) {
        slot.current().1.set_faults(EndpointFaults {
            slow_ms,
            ..EndpointFaults::default()
        });
    }
}

/// Begins a stream for each of `attempts` at the instance `first`, kills it while they run, and returns
/// those that broke after an event.
pub async fn break_streams(
    fleet: &SoakFleet,
    first: usize,
    attempts: Vec<String>,
) -> Vec<BrokenStream> {
    let address = fleet.instances[first].callers;
    let mut streams = JoinSet::new();
    let mut begun_or_ended = Vec::new();
    for attempt in attempts {
        let has_begun = CancellationToken::new();
        begun_or_ended.push(has_begun.clone());
        streams.spawn(async move {
            let begun = has_begun.clone();
            let _ended = has_begun.drop_guard();
            begin_stream(address, attempt, move || begun.cancel()).await
        });
    }
    for settled in begun_or_ended {
        let waited = tokio::time::timeout(PATIENCE, settled.cancelled()).await;
        waited.expect("a stream neither began nor ended");
    }
    kill(fleet, first..first + 1).await;
    let mut broken = Vec::new();
    while let Some(stream) = streams.join_next().await {
        broken.push(stream.expect("it does not panic"));
    }
    broken.retain(|stream| (1..EVENTS).contains(&stream.last_event()));
    broken
}

/// Builds a fleet of `instances`; their processes are started later.
pub async fn build(
    name: &str,
    seed: u64,
    instances: usize,
) -> (SoakFleet, PathBuf, CancellationToken) {
    let folder = std::env::temp_dir().join(format!("{name}-{seed}-{}", std::process::id()));
    let stop = CancellationToken::new();
    let size = FleetSize {
        instances,
        folder: folder.clone(),
    };
    let program = program_path().expect("the program is built");
    let fleet = SoakFleet::build(seed, program, &size, &stop).await;
    (fleet.expect("the fleet is built"), folder, stop)
}

/// Has the settings of all instances say that the whole system starts for the first time, so that no
/// version preceded those that are registered.
pub fn set_first_start(fleet: &SoakFleet, folder: &Path) {
    for slot in &fleet.instances {
        let file = folder.join(format!("{}.yaml", slot.name));
        let text = std::fs::read_to_string(&file).expect("the settings were written");
        let rest = text.strip_prefix('{').expect("they are an object");
        let text = format!("{{\"bootstrap\":true,{rest}");
        std::fs::write(&file, text).expect("the file is writable");
    }
}

/// An instance whose only endpoints are scripted: four replicas of a plain service, two engines of each
/// stage.
pub async fn start_scripted(
    name: &str,
    seed: u64,
    script: &AnswerScript,
) -> (SoakFleet, PathBuf, CancellationToken) {
    let (fleet, folder, stop) = build(name, seed, 1).await;
    for slot in &fleet.endpoints {
        let (_, endpoint) = slot.current();
        endpoint.kill();
        endpoint.withdraw();
    }
    for number in 0..4 {
        let stage = match number {
            0 | 1 => EngineStage::Prefill,
            _ => EngineStage::Decode,
        };
        for (service, stage) in [("till", None), ("pool", Some(stage))] {
            let spec = ScriptedSpec {
                id: format!("{service}-scripted-{number}"),
                service: service.to_string(),
                domain: "se-a".to_string(),
                stage,
            };
            let ip = fleet.instances[0].callers.ip();
            let started =
                scripted::start(spec, ip, fleet.store.clone(), AnswerScript::clone(script));
            started.await.expect("a port is free");
        }
    }
    let process = fleet.instances[0].start(&fleet.program);
    let process = process.expect("the program starts");
    *fleet.instances[0].process.lock().await = Some(process);
    (fleet, folder, stop)
}

/// Takes all streams up at the instances whose numbers `choose` returns.
pub async fn take_up_all<Choose>(
    fleet: &SoakFleet,
    broken: &[BrokenStream],
    naming: StreamNaming,
    choose: Choose,
) -> ResumedStreams
where
    Choose: Fn(usize) -> usize,
{
    let mut answers = JoinSet::new();
    for (number, stream) in broken.iter().enumerate() {
        let address = fleet.instances[choose(number)].callers;
        let stream = stream.clone();
        answers.spawn(async move {
            let answer = take_up(address, &stream, naming).await;
            (stream, answer)
        });
    }
    let mut resumed = ResumedStreams::default();
    while let Some(answer) = answers.join_next().await {
        let (stream, answer) = answer.expect("it does not panic");
        resumed.add(&stream, &answer);
    }
    resumed
}
