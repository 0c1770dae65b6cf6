//! A model engine, as far as decisions read it: rates, a batch, a prefix cache.

use std::collections::VecDeque;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    records::EngineRole,
    routing::ReportedLoad,
    units::TokenCount,
};

/// Percent of a prompt that a prefix cache saves.
pub const CACHED_PERCENT: f64 = 85.0;
/// The share of an engine's time that prompts get while others decode.
const PREFILL_SHARE: f64 = 0.6;
/// What is left of an engine's speed while it does both.
const MIXED_SPEED: f64 = 0.8;
/// The fastest that one answer can come, in tokens a second.
const ANSWER_SPEED: f64 = 60.0;

/// What an engine can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Prompt tokens in a second.
    pub prefill: f64,
    /// Output tokens in a second.
    pub decode: f64,
    /// Answers in the batch at once.
    pub batch: usize,
    /// Prefixes in the cache.
    pub prefixes: usize,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// The request's number.
    pub number: usize,
    /// Its prompt's start.
    pub prefix: u64,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// The prompt's length.
    pub prompt: f64,
    /// Output until its caller has what it wants.
    pub output: f64,
    /// Whether the prompt is prefilled elsewhere.
    pub imported: bool,
    /// Whether the KV cache is handed over after the prompt.
    pub prefill_only: bool,
}

/// What happened at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A prompt was prefilled; its start was in the cache, or not.
    Filled {
        /// Whether it was.
        cached: bool,
    },
    /// The first token of a request came.
    FirstToken(usize),
    /// The prompt of a request is ready to be handed over.
    Prefilled(usize),
    /// A request is done.
    Done(usize),
}

#[derive(Clone, Debug)]
struct PromptWork {
    job: EngineJob,
    left: Option<f64>,
}

#[derive(Clone, Debug)]
struct AnswerWork {
    job: EngineJob,
    decoded: f64,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct EngineFake {
    speed: EngineSpeed,
    /// What it does.
    pub role: EngineRole,
    /// Whether it is there.
    pub alive: bool,
    waiting: VecDeque<PromptWork>,
    running: Vec<AnswerWork>,
    cache: VecDeque<u64>,
    reports: VecDeque<(ClockTime, ReportedLoad)>,
}

impl EngineFake {
    /// An idle engine with an empty cache.
    pub fn new(speed: EngineSpeed, role: EngineRole) -> EngineFake {
        EngineFake {
            speed,
            role,
            alive: true,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Takes a request; interactive ones go before deferrable ones.
    pub fn submit(&mut self, job: EngineJob) {
        let work = PromptWork { job, left: None };
        if work.job.priority == WorkPriority::Deferrable {
            self.waiting.push_back(work);
            return;
        }
        let later = |w: &PromptWork| w.job.priority == WorkPriority::Deferrable && w.left.is_none();
        let place = self.waiting.iter().position(later);
        self.waiting
            .insert(place.unwrap_or(self.waiting.len()), work);
    }

    /// Drops a request.
    pub fn cancel(&mut self, number: usize) {
        self.waiting.retain(|work| work.job.number != number);
        self.running.retain(|work| work.job.number != number);
    }

    /// Loses everything; what was there is returned.
    pub fn crash(&mut self) -> Vec<usize> {
        self.alive = false;
        self.cache.clear();
        self.reports.clear();
        let waiting = self.waiting.drain(..).map(|work| work.job.number);
        let running = self.running.drain(..).map(|work| work.job.number);
        waiting.chain(running).collect()
    }

    /// Requests waiting or running.
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Works for `span`.
    pub fn tick(&mut self, span: TimeSpan) -> Vec<EngineEvent> {
        if !self.alive {
            return Vec::new();
        }
        let secs = span.as_millis() as f64 / 1_000.0;
        let (prompts, answers) = (!self.waiting.is_empty(), !self.running.is_empty());
        let (prefill_time, decode_time) = match (prompts, answers) {
            (true, true) => (PREFILL_SHARE, 1.0 - PREFILL_SHARE),
            _ => (1.0, 1.0),
        };
        let speed = match prompts && answers {
            true => MIXED_SPEED,
            false => 1.0,
        };
        let mut events = Vec::new();
        self.decode(secs * decode_time * speed, secs, &mut events);
        self.prefill(secs * prefill_time * speed, &mut events);
        events
    }

    fn decode(&mut self, secs: f64, wall: f64, events: &mut Vec<EngineEvent>) {
        if self.running.is_empty() {
            return;
        }
        let each = (self.speed.decode * secs / self.running.len() as f64).min(ANSWER_SPEED * wall);
        for work in &mut self.running {
            work.decoded += each;
        }
        self.running.retain(|work| {
            let done = work.decoded >= work.job.output;
            if done {
                events.push(EngineEvent::Done(work.job.number));
            }
            !done
        });
    }

    fn prefill(&mut self, secs: f64, events: &mut Vec<EngineEvent>) {
        let mut budget = self.speed.prefill * secs;
        while budget > 0.0 && self.running.len() < self.speed.batch {
            let Some(work) = self.waiting.front_mut() else {
                return;
            };
            let cached = self.cache.contains(&work.job.prefix);
            let whole = match (work.job.imported, cached) {
                (true, _) => 0.0,
                (false, true) => work.job.prompt * (100.0 - CACHED_PERCENT) / 100.0,
                (false, false) => work.job.prompt,
            };
            let left = work.left.get_or_insert(whole);
            let done = left.min(budget);
            *left -= done;
            budget -= done;
            if *left > 0.0 {
                return;
            }
            if let Some(work) = self.waiting.pop_front() {
                if !work.job.imported {
                    events.push(EngineEvent::Filled { cached });
                }
                self.prefilled(work.job, events);
            }
        }
    }

    fn prefilled(&mut self, job: EngineJob, events: &mut Vec<EngineEvent>) {
        if !job.imported {
            self.cache.retain(|prefix| *prefix != job.prefix);
            self.cache.push_back(job.prefix);
            if self.cache.len() > self.speed.prefixes {
                self.cache.pop_front();
            }
        }
        if job.prefill_only {
            events.push(EngineEvent::Prefilled(job.number));
            return;
        }
        events.push(EngineEvent::FirstToken(job.number));
        self.running.push(AnswerWork { job, decoded: 0.0 });
    }

    /// Notes the load, to be reported later.
    pub fn measure(&mut self, now: ClockTime) {
        let backlog: f64 = self
            .waiting
            .iter()
            .map(|work| work.left.unwrap_or(work.job.prompt))
            .sum();
        let load = ReportedLoad {
            requests: self.requests() as u64,
            prefill_backlog: TokenCount::new(backlog as u64),
        };
        self.reports.push_back((now, load));
        if self.reports.len() > 32 {
            self.reports.pop_front();
        }
    }

    /// The load as it was `lag` ago.
    pub fn report(&self, now: ClockTime, lag: TimeSpan) -> Option<(ClockTime, ReportedLoad)> {
        let old = |report: &&(ClockTime, ReportedLoad)| report.0 + lag <= now;
        self.reports.iter().rev().find(old).copied()
    }
}
