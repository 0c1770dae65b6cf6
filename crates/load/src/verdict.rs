//! Whether an answer is the whole answer to its own request.

use bluebell_endpoint::reference::ReferenceAnswer;
use serde::{Deserialize, Serialize};

use crate::caller::{ChatAnswer, ChatAsk, ChatEnd};

/// What an answer turns out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerVerdict {
    /// All that came is right, and if an end mark came, nothing is missing.
    Right,
    /// It claims to be whole, and tokens are missing at its end.
    Truncated,
    /// It holds what is not the answer to this prompt: another's tokens, or its
    /// own doubled or out of place.
    Wrong,
    /// It goes on after where it should have ended.
    TooLong,
}

/// Compares an answer with what the model must have said.
pub fn judge(ask: &ChatAsk, answer: &ChatAnswer) -> AnswerVerdict {
    let reference = ReferenceAnswer::new(&ask.prompt(), ask.max_tokens);
    let expected = reference.text();
    let text = answer.text();
    if text.len() > expected.len() && text.starts_with(&expected) {
        return AnswerVerdict::TooLong;
    }
    if !expected.starts_with(&text) {
        return AnswerVerdict::Wrong;
    }
    let claims_whole = matches!(answer.end, ChatEnd::Whole { .. });
    match claims_whole && text.len() < expected.len() {
        true => AnswerVerdict::Truncated,
        false => AnswerVerdict::Right,
    }
}
