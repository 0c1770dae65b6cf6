//! The requests of a run, with their times: a function of the plan alone.

use std::time::Duration;

use bluebell_core::{clock::TimeSpan, config::WorkPriority};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::plan::{LoadPlan, OrganisationMix, PlainMix, priority};

/// Bytes of a prompt that make a token, as the stand-in counts.
const BYTES_PER_TOKEN: u64 = 4;

/// How far a length may lie from the average, as a share of it.
const LENGTH_SPREAD: f64 = 0.5;

/// One request that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadArrival {
    /// When, since the start.
    pub at: Duration,
    /// Whose: an index into the plan's organisations.
    pub organisation: usize,
    /// Where: an index into the entries.
    pub entry: usize,
    /// What.
    pub call: LoadCall,
}

/// What a request asks.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadCall {
    /// A chat answer.
    Chat {
        /// What the user says.
        content: String,
        /// Whether somebody waits.
        priority: WorkPriority,
        /// After how many tokens the caller walks away.
        cancel_after: Option<u64>,
    },
    /// A call of the plain service.
    Plain {
        /// Its body.
        body: String,
    },
}

/// All requests of `plan`, in the order of their times, spread over `entries`.
pub fn arrivals(plan: &LoadPlan, entries: usize) -> Vec<LoadArrival> {
    let mut maker = ArrivalMaker {
        plan,
        entries,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
    };
    let end = plan.duration.as_duration();
    let mut at = maker.pause();
    let mut made = Vec::new();
    while at < end {
        let arrival = maker.make(at, made.len());
        made.push(arrival);
        at += maker.pause();
    }
    made
}

struct ArrivalMaker<'a> {
    plan: &'a LoadPlan,
    entries: usize,
    random: ChaCha8Rng,
}

impl ArrivalMaker<'_> {
    /// The pause to the next request; exponential, so that arrivals are Poisson.
    fn pause(&mut self) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.plan.rate)
    }

    fn make(&mut self, at: Duration, number: usize) -> LoadArrival {
        let organisation = self.organisation();
        let entry = self.random.random_range(0..self.entries.max(1));
        let plan = self.plan;
        let call = match &plan.plain {
            Some(plain) if self.is_plain(plain) => LoadCall::Plain {
                body: format!("call {number}"),
            },
            _ => self.chat(at, number, &plan.organisations[organisation]),
        };
        LoadArrival {
            at,
            organisation,
            entry,
            call,
        }
    }

    fn is_plain(&mut self, plain: &PlainMix) -> bool {
        self.random.random_bool(plain.share)
    }

    fn organisation(&mut self) -> usize {
        let parts = self.plan.organisations.iter().map(|mix| mix.part);
        let total: f64 = parts.clone().sum();
        let mut left = self.random.random::<f64>() * total;
        for (index, part) in parts.enumerate() {
            left -= part;
            if left < 0.0 {
                return index;
            }
        }
        self.plan.organisations.len() - 1
    }

    fn spread(&mut self, average: u64) -> u64 {
        let factor = self.random.random_range(-LENGTH_SPREAD..=LENGTH_SPREAD);
        ((average as f64) * (1.0 + factor)).round().max(1.0) as u64
    }

    fn chat(&mut self, at: Duration, number: usize, mix: &OrganisationMix) -> LoadCall {
        let lengths = self
            .plan
            .lengths_at(TimeSpan::from_millis(at.as_millis() as u64));
        let prompt = self.spread(lengths.prompt);
        let output = self.spread(lengths.output);
        let leaves = self.random.random_bool(self.plan.cancel_share);
        let cancel_after = leaves.then(|| self.random.random_range(1..=output));
        let deferrable = self.random.random_bool(mix.deferrable_share);
        LoadCall::Chat {
            content: content(mix, number, prompt, output),
            priority: priority(deferrable),
            cancel_after,
        }
    }
}

/// A prompt of about `prompt` tokens that begins like all of its organisation's
/// and asks for `output` tokens.
fn content(mix: &OrganisationMix, number: usize, prompt: u64, output: u64) -> String {
    let prefix = filler(&mix.name, mix.shared_prefix);
    let own = filler(
        &format!("{number}"),
        prompt.saturating_sub(mix.shared_prefix),
    );
    format!("{prefix} request {number} {own} len={output}")
}

fn filler(word: &str, tokens: u64) -> String {
    let bytes = (tokens * BYTES_PER_TOKEN) as usize;
    let words = std::iter::repeat_n(word, bytes / (word.len() + 1));
    words.collect::<Vec<&str>>().join(" ")
}
