//! The prompt of a request, as its sizes are known before it runs.

use std::str::FromStr;

use crate::units::TokenCount;

/// The most parts that are looked at; more are counted as one.
const PARTS_LIMIT: usize = 64;

/// A stretch of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id. Ids that are longer than 64 bits are cut; a collision costs a
    /// wrong guess of what an engine holds.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptWork {
    /// The parts in their order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// All tokens of the prompt.
    pub prompt: TokenCount,
    /// The most tokens that it generates.
    pub output: TokenCount,
}

/// A text that names no prompt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` does not name the parts of a prompt or its tokens")]
pub struct ParsePromptError(String);

impl PromptWork {
    /// Reads the sizes, `PROMPT,OUTPUT`, and the parts, `ID:TOKENS,…`.
    pub fn new(sizes: &str, parts: &str) -> Result<PromptWork, ParsePromptError> {
        let error = |text: &str| ParsePromptError(text.chars().take(80).collect());
        let (prompt, output) = sizes.split_once(',').unwrap_or((sizes, "0"));
        let number = |text: &str| u64::from_str(text.trim()).map_err(|_| error(sizes));
        let mut work = PromptWork {
            parts: Vec::new(),
            prompt: TokenCount::new(number(prompt)?),
            output: TokenCount::new(number(output)?),
        };
        for part in parts.split(',').filter(|part| !part.trim().is_empty()) {
            let (id, tokens) = part.trim().split_once(':').ok_or_else(|| error(part))?;
            let id = &id[..id.floor_char_boundary(16)];
            let id = u64::from_str_radix(id, 16).map_err(|_| error(part))?;
            let tokens = u64::from_str(tokens).map_err(|_| error(part))?;
            if work.parts.len() < PARTS_LIMIT {
                work.parts.push(PromptPart { id, tokens });
            }
        }
        Ok(work)
    }

    /// The parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }
}
