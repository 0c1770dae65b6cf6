//! A bounded journal of decisions, which `bluebell explain` queries.
//!
//! Each daemon keeps the last [`JOURNAL_LIMIT`] decisions with their reasons.
//! Decisions are looked up by subject: a request id, an endpoint, a duty.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use bluebell_core::clock::ClockTime;
use rocket::{Build, Rocket, State, get, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

/// The maximum number of decisions that a daemon keeps.
pub const JOURNAL_LIMIT: usize = 4_096;

/// A decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// The time of the decision, on the daemon's clock.
    pub at: ClockTime,
    /// Its subjects: request ids, endpoints, duties, organisations.
    pub subjects: Vec<String>,
    /// The decision.
    pub decision: String,
    /// The reason.
    pub reason: String,
}

/// The last decisions of a daemon; clones share them.
#[derive(Clone, Debug, Default)]
pub struct DecisionJournal {
    records: Arc<Mutex<VecDeque<DecisionRecord>>>,
}

impl DecisionJournal {
    /// An empty journal.
    pub fn new() -> DecisionJournal {
        DecisionJournal::default()
    }

    /// Adds a decision, and drops the oldest one at the limit.
    pub fn record(&self, record: DecisionRecord) {
        let mut records = self.records.lock().expect("no holder panics");
        if records.len() == JOURNAL_LIMIT {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The decisions with the subject `subject`, oldest first.
    pub fn for_subject(&self, subject: &str) -> Vec<DecisionRecord> {
        let records = self.records.lock().expect("no holder panics");
        let has_subject = |record: &&DecisionRecord| record.subjects.iter().any(|s| s == subject);
        records.iter().filter(has_subject).cloned().collect()
    }
}

#[get("/explain?<subject>")]
fn explain(journal: &State<DecisionJournal>, subject: &str) -> Json<Vec<DecisionRecord>> {
    Json(journal.for_subject(subject))
}

/// Adds the route `/explain?subject=…` to a daemon's server.
pub fn mount(rocket: Rocket<Build>, journal: DecisionJournal) -> Rocket<Build> {
    rocket.mount("/", routes![explain]).manage(journal)
}
