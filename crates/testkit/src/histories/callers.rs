//! What callers sent and got.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::KeyDigest,
};
use bluebell_load::{
    caller::{ChatAnswer, ChatAsk, ChatEnd},
    verdict::{AnswerVerdict, judge},
};

use super::{Promise, Violation};

/// One request of one caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// When it was sent, on the test's clock.
    pub at: ClockTime,
    /// What was asked.
    pub ask: ChatAsk,
    /// What came back.
    pub answer: ChatAnswer,
}

/// Every answer is right, and those that claim to be whole are whole.
pub fn whole_answers(records: &[CallerRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let verdict = judge(&record.ask, &record.answer);
        if verdict != AnswerVerdict::Right {
            let detail = format!("{:?} is {verdict:?}", record.answer.request);
            violations.push(Violation::new(Promise::WholeAnswers, detail));
        }
    }
    violations
}

/// No request that was refused as not run is among `executed`, the ids of the
/// requests that endpoints ran.
pub fn true_refusals(records: &[CallerRecord], executed: &BTreeSet<String>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let ChatEnd::Refused(refusal) = &record.answer.end else {
            continue;
        };
        let request = record.answer.request.as_ref().unwrap_or(&refusal.request);
        let lies = refusal.ran == "not_run"
            && (executed.contains(request) || !record.answer.tokens.is_empty());
        if lies {
            let detail = format!("`{request}` ran though refused as `{}`", refusal.code);
            violations.push(Violation::new(Promise::TrueRefusals, detail));
        }
    }
    violations
}

/// No answer was cut, whatever ended gracefully meanwhile.
pub fn no_shutdown_cut(records: &[CallerRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let begun = !record.answer.tokens.is_empty();
        let cut = match &record.answer.end {
            ChatEnd::Cut(reason) => Some(reason.clone()),
            ChatEnd::Silent => Some("silence".to_string()),
            ChatEnd::Refused(refusal) if begun => Some(refusal.code.clone()),
            _ => None,
        };
        if let Some(reason) = cut {
            let detail = format!("{:?} was cut: {reason}", record.answer.request);
            violations.push(Violation::new(Promise::NoShutdownCut, detail));
        }
    }
    violations
}

/// When a key stopped being one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyWithdrawal {
    /// The key's digest.
    pub digest: KeyDigest,
    /// When the withdrawal was accepted, on the test's clock.
    pub at: ClockTime,
}

/// No request with a withdrawn key is served when sent later than `bound` after
/// the withdrawal.
pub fn withdrawn_keys_admit_nobody(
    records: &[CallerRecord],
    withdrawals: &[KeyWithdrawal],
    bound: TimeSpan,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let digest = KeyDigest::with_key(&record.ask.key);
        let late = |withdrawal: &&KeyWithdrawal| {
            withdrawal.digest == digest && record.at > withdrawal.at + bound
        };
        let served = !record.answer.tokens.is_empty();
        if served && let Some(withdrawal) = withdrawals.iter().find(late) {
            let late_by = record.at.since(withdrawal.at);
            let detail = format!("key {} served {late_by} after", digest.short());
            violations.push(Violation::new(Promise::OwnOrganisation, detail));
        }
    }
    violations
}
