//! A server that slows down for a while, and callers whose attempts time out.

use std::collections::{BTreeMap, VecDeque};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
    retries::{RetryBudget, RetryDecision, RetrySettings},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests in a second; the server does a hundred.
const RATE: u64 = 80;
/// What the server does in a second.
const CAPACITY: u64 = 100;
/// What it does in a second while it is slow.
const SLOW_CAPACITY: u64 = 40;
/// Seconds in which it is slow.
pub const SLOW: std::ops::Range<u64> = 60..90;
/// Seconds of a run.
pub const LENGTH: u64 = 300;
/// How long an attempt waits for its answer.
const TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// The step of virtual time.
const TICK: u64 = 10;

/// How failed attempts are followed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The budget.
    Budget,
    /// Three attempts with growing waits, without a budget.
    Backoff,
    /// Three attempts at once.
    AtOnce,
    /// One attempt.
    Never,
}

/// What a run measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct StormResult {
    /// Attempts for each request, at the worst second.
    pub peak_attempts: f64,
    /// Seconds from the end of the slowness until requests are answered as
    /// before; the rest of the run if they never are.
    pub recovery: f64,
    /// Percent of all requests that were answered.
    pub answered: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    request: usize,
    sent: ClockTime,
}

/// Runs one rule. An attempt that its caller has given up on is still done by
/// the server, which can't know: that is what keeps a storm alive.
pub fn run_storm(rule: RetryRule, seed: u64) -> StormResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let organisation = OrganisationId::new("kiosk").expect("the name is an identifier");
    let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(seed);
    let no_limit = RetrySettings {
        minimum: 1_000_000,
        most: 1_000_000,
        ..RetrySettings::default()
    };
    let mut backoff = RetryBudget::new(no_limit).with_seed(seed);
    let mut queue: VecDeque<Attempt> = VecDeque::new();
    let mut due: BTreeMap<ClockTime, Vec<usize>> = BTreeMap::new();
    let mut timeouts: VecDeque<(ClockTime, Attempt, u32)> = VecDeque::new();
    let mut attempts: Vec<u32> = Vec::new();
    let mut arrived: Vec<u64> = Vec::new();
    let mut done: Vec<bool> = Vec::new();
    let mut sent = vec![0_u64; LENGTH as usize + 10];
    let mut credit = 0.0;
    for step in 0..LENGTH * 1_000 / TICK {
        let now = ClockTime::from_millis(step * TICK);
        let second = now.as_millis() / 1_000;
        let mut send = |request: usize, attempts: &mut Vec<u32>, queue: &mut VecDeque<Attempt>| {
            attempts[request] += 1;
            sent[second as usize] += 1;
            let attempt = Attempt { request, sent: now };
            queue.push_back(attempt);
            timeouts.push_back((now + TIMEOUT, attempt, attempts[request]));
        };
        if random.random_range(0..1_000) < RATE * TICK {
            attempts.push(0);
            arrived.push(second);
            done.push(false);
            budget.note_request(now, &organisation);
            send(done.len() - 1, &mut attempts, &mut queue);
        }
        let later = due.split_off(&(now + TimeSpan::from_millis(1)));
        for request in std::mem::replace(&mut due, later).into_values().flatten() {
            send(request, &mut attempts, &mut queue);
        }
        let capacity = match SLOW.contains(&second) {
            true => SLOW_CAPACITY,
            false => CAPACITY,
        };
        credit = f64::min(credit + (capacity * TICK) as f64 / 1_000.0, 1.0);
        while credit >= 1.0 {
            let Some(attempt) = queue.pop_front() else {
                break;
            };
            credit -= 1.0;
            if now.since(attempt.sent) < TIMEOUT {
                done[attempt.request] = true;
            }
        }
        while timeouts.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, attempt, number)) = timeouts.pop_front() else {
                break;
            };
            if done[attempt.request] || number != attempts[attempt.request] {
                continue;
            }
            let answer = match rule {
                RetryRule::Budget => budget.try_retry(now, &organisation, number),
                RetryRule::Backoff => backoff.try_retry(now, &organisation, number),
                RetryRule::AtOnce if number < 3 => RetryDecision::Retry {
                    after: TimeSpan::ZERO,
                    reason: String::new(),
                },
                RetryRule::AtOnce | RetryRule::Never => continue,
            };
            if let RetryDecision::Retry { after, .. } = answer {
                let at = now + after + TimeSpan::from_millis(1);
                due.entry(at).or_default().push(attempt.request);
            }
        }
    }
    summary(&sent, &arrived, &done)
}

fn summary(sent: &[u64], arrived: &[u64], done: &[bool]) -> StormResult {
    let share = |from: u64, to: u64| {
        let window = arrived
            .iter()
            .zip(done)
            .filter(|(at, _)| (from..to).contains(*at));
        let (mut all, mut answered) = (0.0, 0.0);
        for (_, done) in window {
            all += 1.0;
            answered += f64::from(u8::from(*done));
        }
        answered / f64::max(all, 1.0)
    };
    let recovered = (SLOW.end..LENGTH - 5).find(|second| share(*second, second + 5) > 0.97);
    let peak = (0..LENGTH).map(|s| sent[s as usize] as f64 / RATE as f64);
    StormResult {
        peak_attempts: peak.fold(0.0, f64::max),
        recovery: recovered.map_or(LENGTH - SLOW.end, |second| second - SLOW.end) as f64,
        answered: share(0, LENGTH) * 100.0,
    }
}
