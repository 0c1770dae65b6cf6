//! A model's answer, put together from numbered tokens.
//!
//! Tokens can come late (from an attempt that was given up), crossed (from
//! another request's answer on a mixed-up connection), doubled or with gaps,
//! and a connection can end without an end mark. A caller would see somebody
//! else's words, words twice, or an answer that stops half way and looks whole.
//! So a token counts only by request, attempt and position, and an answer is
//! whole only with an end mark whose length is that of what was delivered.

use crate::ids::RequestId;

/// What became of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It is the answer's next one.
    Next,
    /// It belongs elsewhere or came before; it is dropped.
    Dropped,
    /// Tokens before it are missing: this attempt can't complete the answer.
    Gap,
}

/// What an end mark means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// The answer is whole.
    Complete,
    /// It belongs to another request or attempt; it is dropped.
    Dropped,
    /// Its length is not that of what was delivered: this attempt failed.
    WrongLength,
}

/// The answer so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerAssembly {
    request: RequestId,
    attempt: u32,
    tokens: Vec<String>,
    complete: bool,
}

impl AnswerAssembly {
    /// Nothing of the answer to `request` yet.
    pub fn new(request: RequestId) -> AnswerAssembly {
        AnswerAssembly {
            request,
            attempt: 0,
            tokens: Vec::new(),
            complete: false,
        }
    }

    /// From now on only items of this attempt count.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Takes a token.
    pub fn token(
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

    /// Takes an end mark.
    pub fn end(&mut self, request: &RequestId, attempt: u32, length: u64) -> EndVerdict {
        if *request != self.request || attempt != self.attempt || self.complete {
            return EndVerdict::Dropped;
        }
        if length != self.tokens.len() as u64 {
            return EndVerdict::WrongLength;
        }
        self.complete = true;
        EndVerdict::Complete
    }

    /// The tokens so far: what another engine continues from.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Whether the end mark was there.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}
