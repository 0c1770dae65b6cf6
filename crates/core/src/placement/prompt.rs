//! The sizes of a request's prompt, as known before the request runs.

use std::str::FromStr;

use crate::units::TokenCount;

/// Maximum number of parts kept; further parts are checked and ignored, and their
/// tokens count only in the size of the prompt.
const MAX_PARTS: usize = 64;

/// A section of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the contents of the part. Longer ids are truncated to 64 bits; a
    /// collision gives a wrong estimate of what an engine holds.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u64,
}

/// The work of a request: the parts and sizes of its prompt and output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptWork {
    /// The parts in prompt order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Size of the whole prompt in tokens.
    pub prompt: TokenCount,
    /// Maximum number of output tokens.
    pub output: TokenCount,
}

/// The sizes or parts of a prompt could not be parsed. Holds up to 80 characters of the
/// rejected text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid sizes or parts of a prompt: `{0}`")]
pub struct ParsePromptError(String);

impl PromptWork {
    /// Parses the sizes, `PROMPT,OUTPUT` in tokens, and the parts, `ID:TOKENS,…` with
    /// hexadecimal ids. The output may be left out and is then 0.
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
            if work.parts.len() < MAX_PARTS {
                work.parts.push(PromptPart { id, tokens });
            }
        }
        Ok(work)
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }
}
