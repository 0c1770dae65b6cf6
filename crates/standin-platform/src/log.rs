//! The append-only log: offsets, retention, a rate limit, long polls.

use std::collections::VecDeque;

use bluebell_core::{clock::TimeSpan, ids::LogOffset};
use bluebell_platform::api::{AppendAnswer, AppendRequest, RawEntry, ReadAnswer};
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use crate::{
    faults::{EffectCall, OutageKind},
    rate::RateLimit,
    sender::CallSender,
    settings::PlatformSettings,
    state::{PlatformState, hold},
};

/// The most entries of one read.
const READ_LIMIT: usize = 1_000;

/// The longest wait of one read.
const WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(30);

/// The records that the platform keeps, and all that it ever took.
#[derive(Debug)]
pub(crate) struct RecordLog {
    entries: VecDeque<RawEntry>,
    end: LogOffset,
    kept_records: usize,
    limit: RateLimit,
    pub(crate) appended: Vec<RawEntry>,
}

impl RecordLog {
    pub(crate) fn new(settings: &PlatformSettings) -> RecordLog {
        RecordLog {
            entries: VecDeque::new(),
            end: LogOffset::START,
            kept_records: settings.kept_records,
            limit: RateLimit::new(settings.appends_per_second),
            appended: Vec::new(),
        }
    }

    fn append(&mut self, request: AppendRequest) -> LogOffset {
        let offset = self.end;
        let entry = RawEntry {
            offset,
            writer: request.writer,
            sequence: request.sequence,
            payload: request.payload,
        };
        self.appended.push(entry.clone());
        self.entries.push_back(entry);
        if self.entries.len() > self.kept_records {
            self.entries.pop_front();
        }
        self.end = offset.next();
        offset
    }

    fn read(&self, from: LogOffset, limit: usize) -> ReadAnswer {
        let first_kept = self.entries.front().map_or(self.end, |entry| entry.offset);
        let skip = from.number().saturating_sub(first_kept.number()) as usize;
        let entries = self.entries.iter().skip(skip).take(limit).cloned();
        ReadAnswer {
            first_kept,
            end: self.end,
            entries: entries.collect(),
        }
    }
}

/// Lets an outage or a slow log have its way with a call.
async fn pass_faults(state: &PlatformState) -> Result<(), Status> {
    let faults = state.faults();
    if let Some(delay) = faults.log_delay {
        tokio::time::sleep(delay.as_duration()).await;
    }
    match faults.log_outage {
        None => Ok(()),
        Some(OutageKind::Refuse) => Err(Status::ServiceUnavailable),
        Some(OutageKind::Hang) => {
            state.hang().await;
            Err(Status::ServiceUnavailable)
        }
    }
}

#[post("/log/append", data = "<request>")]
async fn append(
    state: &State<PlatformState>,
    _sender: CallSender,
    request: Json<AppendRequest>,
) -> Result<Json<AppendAnswer>, Status> {
    pass_faults(state).await?;
    let now = state.now();
    let offset = {
        let mut log = hold(&state.log);
        if !log.limit.take(now) {
            return Err(Status::TooManyRequests);
        }
        log.append(request.into_inner())
    };
    state
        .log_end
        .send_modify(|end| *end = (*end).max(offset.next().number()));
    let answer = Json(AppendAnswer { offset });
    state.answer(EffectCall::Append, answer).await
}

#[get("/log/read?<from>&<limit>&<wait_ms>")]
async fn read(
    state: &State<PlatformState>,
    _sender: CallSender,
    from: u64,
    limit: Option<usize>,
    wait_ms: Option<u64>,
) -> Result<Json<ReadAnswer>, Status> {
    pass_faults(state).await?;
    let wait = TimeSpan::from_millis(wait_ms.unwrap_or(0)).min(WAIT_LIMIT);
    let mut end = state.log_end.subscribe();
    let appended = end.wait_for(|end| *end > from);
    tokio::select! {
        _ = tokio::time::timeout(wait.as_duration(), appended) => {}
        () = state.token.cancelled() => {}
    }
    // An outage that began while this read waited covers its answer too.
    pass_faults(state).await?;
    let limit = limit.unwrap_or(READ_LIMIT).min(READ_LIMIT);
    let answer = hold(&state.log).read(LogOffset::new(from), limit);
    Ok(Json(answer))
}

pub(crate) fn routes() -> Vec<Route> {
    routes![append, read]
}
