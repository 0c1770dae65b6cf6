//! KV cache that one engine hands to another.

use std::collections::VecDeque;

use bluebell_core::{
    ids::RequestId,
    units::{ByteSize, TokenCount},
};
use bluebell_endpoint::api::{KvExport, KvHandle};
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use crate::state::{EngineState, SharedState};

/// How many exports are kept; the oldest goes first.
const EXPORT_LIMIT: usize = 256;

/// How long fetching from the other engine may take.
const FETCH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// KV cache of prefilled requests.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    kept: VecDeque<(RequestId, TokenCount)>,
}

impl KvStore {
    pub(crate) fn new() -> KvStore {
        KvStore::default()
    }

    pub(crate) fn keep(&mut self, request: RequestId, tokens: TokenCount) {
        if self.kept.len() == EXPORT_LIMIT {
            self.kept.pop_front();
        }
        self.kept.push_back((request, tokens));
    }

    fn tokens(&self, request: &RequestId) -> Option<TokenCount> {
        let entry = self.kept.iter().find(|(kept, _)| kept == request);
        entry.map(|(_, tokens)| *tokens)
    }
}

impl EngineState {
    fn handle(&self, request: &RequestId) -> Option<KvHandle> {
        let tokens = self.lock().kv.tokens(request)?;
        let address = self.address.get()?.to_string();
        let size = tokens.count() * self.settings.memory.token_size.count();
        Some(KvHandle {
            address,
            request: request.clone(),
            size: ByteSize::new(size),
        })
    }

    /// Fetches KV cache from the engine that holds it; answers how many prompt
    /// tokens need no prefill, which is none if it could not be had.
    pub(crate) async fn import(&self, handle: &KvHandle) -> u64 {
        let url = format!("http://{}/kv/{}", handle.address, handle.request);
        let Ok(answer) = self.http.get(url).timeout(FETCH_TIMEOUT).send().await else {
            return 0;
        };
        let Ok(found) = answer.json::<KvHandle>().await else {
            return 0;
        };
        let tokens = found.size.count() / self.settings.memory.token_size.count().max(1);
        let costs = self.settings.costs;
        let micros = tokens * costs.import_micros / costs.speed.max(1);
        tokio::time::sleep(std::time::Duration::from_micros(micros)).await;
        tokens
    }
}

#[post("/kv/export", data = "<export>")]
fn export(state: &State<SharedState>, export: Json<KvExport>) -> Result<Json<KvHandle>, Status> {
    let export = export.into_inner();
    state
        .handle(&export.request)
        .map(Json)
        .ok_or(Status::NotFound)
}

#[get("/kv/<request>")]
fn fetch(state: &State<SharedState>, request: &str) -> Result<Json<KvHandle>, Status> {
    let request = request.parse().map_err(|_| Status::NotFound)?;
    state.handle(&request).map(Json).ok_or(Status::NotFound)
}

pub(crate) fn routes() -> Vec<Route> {
    routes![export, fetch]
}
