//! Which organisation a caller's key admits.
//!
//! Keys are kept as digests only. A withdrawal is monotone: once a process has
//! learnt of it, by log or by a peer, the key stays dead whatever it reads later.

use std::collections::BTreeSet;

use crate::{
    ids::KeyDigest,
    records::{CheckpointItem, WithdrawRecord},
};

/// The keys that were withdrawn. Which keys were granted is a matter of the
/// configuration, which keeps an index of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KeyState {
    withdrawn: BTreeSet<KeyDigest>,
}

impl KeyState {
    /// No key at all.
    pub fn new() -> KeyState {
        KeyState::default()
    }

    /// Takes a withdrawal; answers whether it is news.
    pub fn withdraw(&mut self, record: &WithdrawRecord) -> bool {
        self.withdrawn.insert(record.digest.clone())
    }

    /// Keeps withdrawn what was withdrawn in `former`.
    pub fn keep_withdrawn(&mut self, former: &KeyState) {
        self.withdrawn.extend(former.withdrawn.iter().cloned());
    }

    /// Whether the key was withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// The withdrawn keys as checkpoint items; granted ones are units of the
    /// configuration.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |digest: &KeyDigest| CheckpointItem::Withdrawn {
            digest: digest.clone(),
        };
        self.withdrawn.iter().map(item).collect()
    }

    /// Takes over a checkpoint item, if it is about a withdrawal.
    pub fn restore(&mut self, item: &CheckpointItem) {
        if let CheckpointItem::Withdrawn { digest } = item {
            self.withdrawn.insert(digest.clone());
        }
    }
}
