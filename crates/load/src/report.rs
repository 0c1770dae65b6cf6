//! The figures of a run, as a table and as JSON.

use std::{collections::BTreeMap, fmt, time::Duration};

use bluebell_core::clock::TimeSpan;
use serde::Serialize;

use crate::{
    caller::{ChatAnswer, ChatAsk, ChatEnd},
    plain::{PlainEnd, PlainOutcome},
    times::{TimePercentiles, TimeStats},
    verdict::{AnswerVerdict, judge},
};

/// Counts of one organisation, or of all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Requests sent.
    pub sent: u64,
    /// Whole and right, with the first token in time.
    pub good: u64,
    /// Whole and right, with the first token too late.
    pub late: u64,
    /// Callers who walked away.
    pub cancelled: u64,
    /// Refusals, by code.
    pub refused: BTreeMap<String, u64>,
    /// Answers without an end mark or error, or with nothing for longer than
    /// the caller bears.
    pub cut: u64,
    /// No connection came about.
    pub unreachable: u64,
    /// Answers that claim to be whole and lack tokens.
    pub truncated: u64,
    /// Answers with tokens of another, doubled, misplaced or surplus.
    pub wrong: u64,
}

impl AnswerCounts {
    /// The share of good answers among requests whose callers waited.
    pub fn good_share(&self) -> f64 {
        let waited = self.sent - self.cancelled;
        if waited == 0 {
            return 1.0;
        }
        self.good as f64 / waited as f64
    }

    /// Answers that no caller may ever get.
    pub fn false_answers(&self) -> u64 {
        self.truncated + self.wrong
    }
}

/// What is kept of one organisation while a run goes on.
#[derive(Clone, Debug, Default)]
pub struct OrganisationStats {
    /// Counts of chat requests.
    pub chat: AnswerCounts,
    /// Counts of plain calls.
    pub plain: AnswerCounts,
    /// Times to the first token.
    pub first_token: TimeStats,
    /// Times between tokens.
    pub gaps: TimeStats,
    /// Times of plain calls.
    pub plain_times: TimeStats,
}

impl OrganisationStats {
    /// Adds a chat answer.
    pub fn add_chat(&mut self, ask: &ChatAsk, answer: &ChatAnswer, deadline: TimeSpan) {
        let counts = &mut self.chat;
        counts.sent += 1;
        if let Some(time) = answer.first_token {
            self.first_token.add(time);
        }
        for gap in &answer.gaps {
            self.gaps.add(*gap);
        }
        match judge(ask, answer) {
            AnswerVerdict::Right => {}
            AnswerVerdict::Truncated => {
                counts.truncated += 1;
                return;
            }
            AnswerVerdict::Wrong | AnswerVerdict::TooLong => {
                counts.wrong += 1;
                return;
            }
        }
        let in_time = |time: Duration| time <= deadline.as_duration();
        match &answer.end {
            ChatEnd::Whole { .. } if answer.first_token.is_some_and(in_time) => counts.good += 1,
            ChatEnd::Whole { .. } => counts.late += 1,
            ChatEnd::Cancelled => counts.cancelled += 1,
            ChatEnd::Refused(refusal) => {
                *counts.refused.entry(refusal.code.clone()).or_default() += 1;
            }
            ChatEnd::Cut(_) | ChatEnd::Silent => counts.cut += 1,
            ChatEnd::Unreachable(_) => counts.unreachable += 1,
        }
    }

    /// Adds a plain call.
    pub fn add_plain(&mut self, outcome: &PlainOutcome, deadline: TimeSpan) {
        let counts = &mut self.plain;
        counts.sent += 1;
        match &outcome.end {
            PlainEnd::Right => {
                self.plain_times.add(outcome.took);
                match outcome.took <= deadline.as_duration() {
                    true => counts.good += 1,
                    false => counts.late += 1,
                }
            }
            PlainEnd::Wrong(_) => counts.wrong += 1,
            PlainEnd::Refused(refusal) => {
                *counts.refused.entry(refusal.code.clone()).or_default() += 1;
            }
            PlainEnd::Lost(_) => counts.cut += 1,
        }
    }
}

/// One organisation's figures.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrganisationFigures {
    /// Its name.
    pub name: String,
    /// Chat requests.
    pub chat: AnswerCounts,
    /// Plain calls.
    pub plain: AnswerCounts,
    /// The share of good chat answers among those whose callers waited.
    pub good_share: f64,
    /// Times to the first token.
    pub first_token: TimePercentiles,
    /// Times between tokens.
    pub between_tokens: TimePercentiles,
    /// Times of plain calls.
    pub plain_times: TimePercentiles,
}

/// The figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// The plan's seed.
    pub seed: u64,
    /// From the first request to the last answer, in seconds.
    pub seconds: f64,
    /// Good chat answers in a second.
    pub goodput: f64,
    /// The organisation with the smallest share of good answers.
    pub worst_served: String,
    /// That share.
    pub worst_share: f64,
    /// Over all organisations.
    pub total: OrganisationFigures,
    /// Each organisation.
    pub organisations: Vec<OrganisationFigures>,
}

impl LoadReport {
    /// Sums up.
    pub fn new(seed: u64, took: Duration, stats: &[(String, OrganisationStats)]) -> LoadReport {
        let mut total = OrganisationStats::default();
        for (_, one) in stats {
            merge(&mut total, one);
        }
        let organisations: Vec<OrganisationFigures> =
            stats.iter().map(|(name, one)| figures(name, one)).collect();
        let worst = organisations
            .iter()
            .min_by(|a, b| a.good_share.total_cmp(&b.good_share));
        LoadReport {
            seed,
            seconds: took.as_secs_f64(),
            goodput: total.chat.good as f64 / took.as_secs_f64(),
            worst_served: worst.map(|w| w.name.clone()).unwrap_or_default(),
            worst_share: worst.map_or(1.0, |w| w.good_share),
            total: figures("all", &total),
            organisations,
        }
    }

    /// Answers that no caller may ever get.
    pub fn false_answers(&self) -> u64 {
        self.total.chat.false_answers() + self.total.plain.false_answers()
    }
}

fn figures(name: &str, stats: &OrganisationStats) -> OrganisationFigures {
    OrganisationFigures {
        name: name.to_string(),
        chat: stats.chat.clone(),
        plain: stats.plain.clone(),
        good_share: stats.chat.good_share(),
        first_token: stats.first_token.percentiles(),
        between_tokens: stats.gaps.percentiles(),
        plain_times: stats.plain_times.percentiles(),
    }
}

fn merge(total: &mut OrganisationStats, one: &OrganisationStats) {
    merge_counts(&mut total.chat, &one.chat);
    merge_counts(&mut total.plain, &one.plain);
    let pairs = [
        (&mut total.first_token, &one.first_token),
        (&mut total.gaps, &one.gaps),
        (&mut total.plain_times, &one.plain_times),
    ];
    for (sum, part) in pairs {
        sum.merge(part);
    }
}

fn merge_counts(total: &mut AnswerCounts, one: &AnswerCounts) {
    total.sent += one.sent;
    total.good += one.good;
    total.late += one.late;
    total.cancelled += one.cancelled;
    total.cut += one.cut;
    total.unreachable += one.unreachable;
    total.truncated += one.truncated;
    total.wrong += one.wrong;
    for (code, count) in &one.refused {
        *total.refused.entry(code.clone()).or_default() += count;
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>6} {:>6} {:>5} {:>6} {:>7} {:>5} {:>5} {:>6}  first token",
            "organisation", "sent", "good", "late", "cancel", "refused", "cut", "false", "share"
        )?;
        let all = std::iter::once(&self.total);
        for figures in self.organisations.iter().chain(all) {
            let chat = &figures.chat;
            let refused: u64 = chat.refused.values().sum();
            writeln!(
                f,
                "{:<16} {:>6} {:>6} {:>5} {:>6} {:>7} {:>5} {:>5} {:>6.3}  {}",
                figures.name,
                chat.sent,
                chat.good,
                chat.late,
                chat.cancelled,
                refused,
                chat.cut + chat.unreachable,
                chat.false_answers(),
                figures.good_share,
                figures.first_token,
            )?;
        }
        let total = &self.total;
        writeln!(f, "between tokens: {}", total.between_tokens)?;
        let plain = &total.plain;
        writeln!(
            f,
            "plain calls: {} sent, {} good, {} late, {} cut, {} false; {}",
            plain.sent,
            plain.good,
            plain.late,
            plain.cut,
            plain.false_answers(),
            total.plain_times
        )?;
        for (code, count) in total.chat.refused.iter().chain(&plain.refused) {
            writeln!(f, "refused as {code}: {count}")?;
        }
        writeln!(f, "goodput: {:.1} answers/s", self.goodput)?;
        writeln!(
            f,
            "worst served: {} with {:.3}",
            self.worst_served, self.worst_share
        )
    }
}
