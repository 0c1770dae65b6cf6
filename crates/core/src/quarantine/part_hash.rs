//! Identities of the parts of prompts, as far as crashes of endpoints concern them.

use std::{fmt, str::FromStr};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Number of hexadecimal digits that fit into a [`PartHash`] unchanged.
const MAX_DIGITS: usize = 16;

/// Identifies a part of prompts: its id if that fits into 64 bits, otherwise the hash of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct PartHash(u64);

/// A text is not the id of a part.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the id of a part of a prompt has hexadecimal digits only")]
pub struct ParsePartError;

impl PartHash {
    /// Creates the identity from its number.
    pub const fn new(hash: u64) -> PartHash {
        PartHash(hash)
    }

    /// The identity as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartHash {
    type Err = ParsePartError;

    fn from_str(text: &str) -> Result<PartHash, ParsePartError> {
        let is_hexadecimal = text.chars().all(|digit| digit.is_ascii_hexdigit());
        if text.is_empty() || !is_hexadecimal {
            return Err(ParsePartError);
        }
        let digits = text.trim_start_matches('0').to_ascii_lowercase();
        let number = match digits.as_str() {
            "" => 0,
            short if short.len() <= MAX_DIGITS => {
                u64::from_str_radix(short, 16).map_err(|_| ParsePartError)?
            }
            long => xxh3_64(long.as_bytes()),
        };
        Ok(PartHash(number))
    }
}

/// The parts of a prompt that other requests may share: all but the last of `ID:TOKENS,…`.
/// Entries that are not valid are left out.
pub fn shared_parts(prefix: &str) -> Vec<PartHash> {
    let Some((shared, _)) = prefix.trim_end_matches([',', ' ']).rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').map(|part| part.split(':').next());
    let ids = ids.filter_map(|id| id?.trim().parse().ok());
    ids.collect()
}
