//! The answers of the stand-in engine's model, which depend on the prompt only.
//!
//! Every token is a digest of the prompt and the token's position, so a checker with
//! the prompt detects answers that were mixed up, duplicated, truncated or continued
//! wrongly after a resume.

use bluebell_core::units::TokenCount;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The prefix of the answer length that a prompt requests, as in `len=40`.
pub const LENGTH_MARKER: &str = "len=";

/// The length of the shortest answer to a prompt without a length marker, in tokens.
const MIN_LENGTH: u64 = 16;

/// The number of different answer lengths for prompts without a length marker.
const LENGTH_COUNT: u64 = 48;

/// The number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReferenceAnswer {
    seed: u64,
    length: u64,
}

impl ReferenceAnswer {
    /// The answer to `prompt`, limited to `max_tokens`.
    pub fn new(prompt: &str, max_tokens: TokenCount) -> ReferenceAnswer {
        ReferenceAnswer {
            seed: xxh3_64(prompt.as_bytes()),
            length: natural_length(prompt).min(max_tokens.count()),
        }
    }

    /// The number of its tokens.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The text of the token at `position`.
    pub fn token(&self, position: u64) -> String {
        let digest = xxh3_64_with_seed(&position.to_le_bytes(), self.seed);
        format!("{:06x} ", digest & 0xff_ffff)
    }

    /// The complete text.
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

/// The number of tokens in the answer to `prompt` without a limit: the number after the
/// last length marker, or one derived from the prompt.
pub fn natural_length(prompt: &str) -> u64 {
    marked_length(prompt).unwrap_or_else(|| MIN_LENGTH + xxh3_64(prompt.as_bytes()) % LENGTH_COUNT)
}

fn marked_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.rsplit_once(LENGTH_MARKER)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// The number of tokens in a prompt.
pub fn prompt_tokens(prompt: &str) -> TokenCount {
    TokenCount::new((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1))
}

/// The digests of a prompt's prefixes, one for each complete block of `block_tokens`
/// tokens.
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
