//! Withdrawn caller keys.
//!
//! Keys are kept as digests only. A withdrawal is final: once a process has received it,
//! from the log or from a peer, the key stays invalid regardless of later records.

use std::collections::BTreeSet;

use crate::{
    ids::KeyDigest,
    records::{CheckpointItem, WithdrawRecord},
};

/// The withdrawn keys. Granted keys are part of the configuration, which has an index of
/// them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KeyState {
    withdrawn: BTreeSet<KeyDigest>,
}

impl KeyState {
    /// Creates a state without withdrawn keys.
    pub fn new() -> KeyState {
        KeyState::default()
    }

    /// Records a withdrawal. Returns whether the key was not withdrawn before.
    pub fn withdraw(&mut self, record: &WithdrawRecord) -> bool {
        self.withdrawn.insert(record.digest.clone())
    }

    /// Adds all keys that were withdrawn in `former`.
    pub fn keep_withdrawn(&mut self, former: &KeyState) {
        self.withdrawn.extend(former.withdrawn.iter().cloned());
    }

    /// Whether the key has been withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// Returns the withdrawn keys as checkpoint items. Granted keys are units of the
    /// configuration.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |digest: &KeyDigest| CheckpointItem::Withdrawn {
            digest: digest.clone(),
        };
        self.withdrawn.iter().map(item).collect()
    }

    /// Restores a withdrawn key from a checkpoint item; ignores items of other kinds.
    pub fn restore(&mut self, item: &CheckpointItem) {
        if let CheckpointItem::Withdrawn { digest } = item {
            self.withdrawn.insert(digest.clone());
        }
    }
}
