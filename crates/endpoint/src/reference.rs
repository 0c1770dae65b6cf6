//! What the stand-in's model answers, as a function of the prompt alone.
//!
//! Every token is a digest of the prompt and the token's position, so a checker
//! that knows the prompt can tell an answer that was crossed with another one,
//! doubled, cut short or put together wrongly after a resume.

use bluebell_core::units::TokenCount;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What a prompt contains to ask for an answer of a certain length, as `len=40`.
pub const LENGTH_MARKER: &str = "len=";

/// The shortest answer to a prompt without a length mark.
const LEAST_LENGTH: u64 = 16;

/// How many different lengths prompts without a length mark have.
const LENGTH_SPREAD: u64 = 48;

/// Bytes of a prompt that make a token.
const BYTES_PER_TOKEN: u64 = 4;

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReferenceAnswer {
    seed: u64,
    length: u64,
}

impl ReferenceAnswer {
    /// The answer to `prompt`, of at most `max_tokens`.
    pub fn new(prompt: &str, max_tokens: TokenCount) -> ReferenceAnswer {
        ReferenceAnswer {
            seed: xxh3_64(prompt.as_bytes()),
            length: natural_length(prompt).min(max_tokens.count()),
        }
    }

    /// How many tokens it has.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The text of the token at `position`.
    pub fn token(&self, position: u64) -> String {
        let digest = xxh3_64_with_seed(&position.to_le_bytes(), self.seed);
        format!("{:06x} ", digest & 0xff_ffff)
    }

    /// The whole text.
    pub fn text(&self) -> String {
        (0..self.length)
            .map(|position| self.token(position))
            .collect()
    }
}

/// The text of the token at `position` of the answer to `prompt`.
pub fn expected_token(prompt: &str, position: u64) -> String {
    ReferenceAnswer::new(prompt, TokenCount::new(u64::MAX)).token(position)
}

/// How many tokens the answer to `prompt` has if no limit cuts it: what the
/// last length mark says, or a number derived from the prompt.
pub fn natural_length(prompt: &str) -> u64 {
    marked_length(prompt)
        .unwrap_or_else(|| LEAST_LENGTH + xxh3_64(prompt.as_bytes()) % LENGTH_SPREAD)
}

fn marked_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.rsplit_once(LENGTH_MARKER)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// How many tokens a prompt has.
pub fn prompt_tokens(prompt: &str) -> TokenCount {
    TokenCount::new((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1))
}

/// The digests of a prompt's prefixes, one for each whole block of
/// `block_tokens` tokens.
pub fn prefix_digests(prompt: &str, block_tokens: u64) -> Vec<u64> {
    let block_bytes = (block_tokens.max(1) * BYTES_PER_TOKEN) as usize;
    let blocks = prompt.as_bytes().chunks_exact(block_bytes);
    let mut digest = 0;
    blocks
        .map(|block| {
            digest = xxh3_64_with_seed(block, digest);
            digest
        })
        .collect()
}
