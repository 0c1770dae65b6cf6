//! A bounded record of decisions, which `bluebell explain` asks for.
//!
//! Each daemon keeps the last [`JOURNAL_LIMIT`] decisions with their reasons.
//! A decision is found by its subjects: a request id, an endpoint, a duty.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use bluebell_core::clock::ClockTime;
use rocket::{Build, Rocket, State, get, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

/// How many decisions a daemon remembers.
pub const JOURNAL_LIMIT: usize = 4_096;

/// One decision and why it was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// When, on the daemon's clock.
    pub at: ClockTime,
    /// What it concerns: request ids, endpoints, duties, organisations.
    pub subjects: Vec<String>,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
}

/// The decisions that a daemon remembers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct DecisionJournal {
    records: Arc<Mutex<VecDeque<DecisionRecord>>>,
}

impl DecisionJournal {
    /// Nothing remembered yet.
    pub fn new() -> DecisionJournal {
        DecisionJournal::default()
    }

    /// Remembers a decision, and forgets the oldest if there are too many.
    pub fn record(&self, record: DecisionRecord) {
        let mut records = self.records.lock().expect("no holder panics");
        if records.len() == JOURNAL_LIMIT {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The decisions that concern `subject`, oldest first.
    pub fn about(&self, subject: &str) -> Vec<DecisionRecord> {
        let records = self.records.lock().expect("no holder panics");
        let concerns = |record: &&DecisionRecord| record.subjects.iter().any(|s| s == subject);
        records.iter().filter(concerns).cloned().collect()
    }
}

#[get("/explain?<subject>")]
fn explain(journal: &State<DecisionJournal>, subject: &str) -> Json<Vec<DecisionRecord>> {
    Json(journal.about(subject))
}

/// Adds `/explain?subject=…` to a daemon's server.
pub fn mount(rocket: Rocket<Build>, journal: DecisionJournal) -> Rocket<Build> {
    rocket.mount("/", routes![explain]).manage(journal)
}
