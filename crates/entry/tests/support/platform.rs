//! A fake platform: an in-memory log that can be unavailable or lose its answers to
//! appends, and the lists of endpoints and instances.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bluebell_core::{
    ids::{InstanceId, LogOffset, WriterId},
    records::LogRecord,
};
use bluebell_daemon::ops::{self, RunningServer};
use bluebell_platform::api::{
    AppendAnswer, AppendRequest, EndpointListing, InstanceListing, RawEntry, ReadAnswer,
};
use rocket::{State, get, http::Status, post, put, routes, serde::json::Json};

#[derive(Default)]
struct Inner {
    entries: Vec<RawEntry>,
    endpoints: Vec<EndpointListing>,
    announced: Vec<InstanceListing>,
    appends_down: bool,
    reads_down: bool,
    lose_answers: bool,
    hold_appends: bool,
    held: u64,
    refused: u64,
}

type Shared = Arc<Mutex<Inner>>;

pub struct FakePlatform {
    pub address: SocketAddr,
    inner: Shared,
    _server: RunningServer,
}

impl FakePlatform {
    pub async fn start() -> FakePlatform {
        let inner = Shared::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let rocket = ops::server(address)
            .manage(inner.clone())
            .mount("/", routes![append, read, endpoints, announce, instances]);
        let server = RunningServer::start(rocket, address).await.unwrap();
        FakePlatform {
            address: server.address,
            inner,
            _server: server,
        }
    }

    /// Appends a record under an operator's writer id.
    pub fn publish(&self, record: &LogRecord) {
        let mut inner = self.inner.lock().unwrap();
        let sequence = inner.entries.len() as u64 + 1;
        let request = AppendRequest {
            writer: WriterId::new("operator").unwrap(),
            sequence,
            payload: serde_json::to_string(record).unwrap(),
        };
        push(&mut inner, request);
    }

    pub fn list(&self, endpoints: Vec<EndpointListing>) {
        self.inner.lock().unwrap().endpoints = endpoints;
    }

    pub fn set_appends_down(&self, down: bool) {
        self.inner.lock().unwrap().appends_down = down;
    }

    pub fn set_reads_down(&self, down: bool) {
        self.inner.lock().unwrap().reads_down = down;
    }

    /// Makes appends take effect and answer with an error.
    pub fn set_lose_answers(&self, lose: bool) {
        self.inner.lock().unwrap().lose_answers = lose;
    }

    /// Delays appends until this is set to false.
    pub fn set_hold_appends(&self, hold: bool) {
        self.inner.lock().unwrap().hold_appends = hold;
    }

    /// Number of appends that were refused.
    pub fn refused_appends(&self) -> u64 {
        self.inner.lock().unwrap().refused
    }

    /// Number of appends that were delayed.
    pub fn held_appends(&self) -> u64 {
        self.inner.lock().unwrap().held
    }

    pub fn records(&self) -> Vec<LogRecord> {
        let inner = self.inner.lock().unwrap();
        let decode = |entry: &RawEntry| serde_json::from_str(&entry.payload).unwrap();
        inner.entries.iter().map(decode).collect()
    }

    pub fn announced(&self) -> Vec<InstanceListing> {
        self.inner.lock().unwrap().announced.clone()
    }
}

fn push(inner: &mut Inner, request: AppendRequest) -> LogOffset {
    let offset = LogOffset::new(inner.entries.len() as u64);
    inner.entries.push(RawEntry {
        offset,
        writer: request.writer,
        sequence: request.sequence,
        payload: request.payload,
    });
    offset
}

#[post("/log/append", data = "<request>")]
async fn append(
    shared: &State<Shared>,
    request: Json<AppendRequest>,
) -> Result<Json<AppendAnswer>, Status> {
    let hold = shared.lock().unwrap().hold_appends;
    shared.lock().unwrap().held += u64::from(hold);
    while shared.lock().unwrap().hold_appends {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut inner = shared.lock().unwrap();
    if inner.appends_down {
        inner.refused += 1;
        return Err(Status::ServiceUnavailable);
    }
    let offset = push(&mut inner, request.into_inner());
    if inner.lose_answers {
        return Err(Status::InternalServerError);
    }
    Ok(Json(AppendAnswer { offset }))
}

#[get("/log/read?<from>&<limit>&<wait_ms>")]
async fn read(
    shared: &State<Shared>,
    from: u64,
    limit: usize,
    wait_ms: u64,
) -> Result<Json<ReadAnswer>, Status> {
    for _ in 0..=wait_ms / 5 {
        {
            let inner = shared.lock().unwrap();
            if inner.reads_down {
                return Err(Status::ServiceUnavailable);
            }
            if (from as usize) < inner.entries.len() {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let inner = shared.lock().unwrap();
    let entries = inner.entries.iter().skip(from as usize).take(limit);
    Ok(Json(ReadAnswer {
        first_kept: LogOffset::START,
        end: LogOffset::new(inner.entries.len() as u64),
        entries: entries.cloned().collect(),
    }))
}

#[get("/endpoints")]
fn endpoints(shared: &State<Shared>) -> Json<Vec<EndpointListing>> {
    Json(shared.lock().unwrap().endpoints.clone())
}

#[put("/instances", data = "<listing>")]
fn announce(shared: &State<Shared>, listing: Json<InstanceListing>) -> Status {
    shared.lock().unwrap().announced.push(listing.into_inner());
    Status::NoContent
}

#[get("/instances")]
fn instances(shared: &State<Shared>) -> Json<Vec<InstanceListing>> {
    let inner = shared.lock().unwrap();
    let mut newest: BTreeMap<InstanceId, InstanceListing> = BTreeMap::new();
    for listing in &inner.announced {
        newest.insert(listing.instance.clone(), listing.clone());
    }
    Json(newest.into_values().collect())
}
