//! Assembles the answer of a model from numbered tokens.
//!
//! Tokens can arrive late (from an abandoned attempt), crossed (from the answer to
//! another request on a connection that was mixed up), duplicated or with gaps, and a
//! connection can end without an end mark. Without checks, a caller could receive the
//! answer to another request, duplicated text, or an answer that stops half way and
//! looks complete. A token is therefore accepted only if its request, attempt and
//! position match, and an answer is complete only after an end mark that states the
//! number of tokens delivered.

use crate::ids::RequestId;

/// Result of adding a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The token is the next one of the answer; it was added.
    Next,
    /// The token belongs to another request or attempt, or was received before; it is
    /// dropped.
    Dropped,
    /// Tokens before this one are missing: the attempt cannot complete the answer.
    Gap,
}

/// Result of an end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// The answer is complete.
    Complete,
    /// The end mark belongs to another request or attempt; it is dropped.
    Dropped,
    /// The stated length differs from the number of tokens delivered: the attempt
    /// failed.
    WrongLength,
}

/// The part of an answer that was received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerAssembly {
    request: RequestId,
    attempt: u32,
    tokens: Vec<String>,
    complete: bool,
}

impl AnswerAssembly {
    /// Creates an empty answer to `request`.
    pub fn new(request: RequestId) -> AnswerAssembly {
        AnswerAssembly {
            request,
            attempt: 0,
            tokens: Vec::new(),
            complete: false,
        }
    }

    /// Starts an attempt: from now on only its tokens and end mark are accepted.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Adds the token at `position` (from 0) of the answer.
    pub fn add_token(
        &mut self,
        request: &RequestId,
        attempt: u32,
        position: u64,
        text: &str,
    ) -> TokenVerdict {
        if *request != self.request || attempt != self.attempt || self.complete {
            return TokenVerdict::Dropped;
        }
        let next = self.tokens.len() as u64;
        if position < next {
            return TokenVerdict::Dropped;
        }
        if position > next {
            return TokenVerdict::Gap;
        }
        self.tokens.push(text.to_string());
        TokenVerdict::Next
    }

    /// Handles an end mark that states the number of tokens in the answer.
    pub fn add_end_mark(&mut self, request: &RequestId, attempt: u32, length: u64) -> EndVerdict {
        if *request != self.request || attempt != self.attempt || self.complete {
            return EndVerdict::Dropped;
        }
        if length != self.tokens.len() as u64 {
            return EndVerdict::WrongLength;
        }
        self.complete = true;
        EndVerdict::Complete
    }

    /// Tokens received so far; another engine continues after them.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}
