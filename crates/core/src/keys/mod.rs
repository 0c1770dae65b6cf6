//! Which organisation a caller's key admits.
//!
//! Keys are kept as digests only. A withdrawal is monotone: once a process has
//! learnt of it, by log or by a peer, the key stays dead whatever it reads later.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{KeyUnit, UnitBody},
    ids::{KeyDigest, OrganisationId},
    publication::ConfigurationState,
    records::{CheckpointItem, PublishRecord, WithdrawRecord},
};

/// The keys in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KeyState {
    granted: BTreeMap<KeyDigest, OrganisationId>,
    withdrawn: BTreeSet<KeyDigest>,
}

impl KeyState {
    /// No key at all.
    pub fn new() -> KeyState {
        KeyState::default()
    }

    /// Takes over the keys of a publish record that `configuration` has just
    /// accepted; answers the digests that no longer admit anyone.
    pub fn publish(
        &mut self,
        record: &PublishRecord,
        configuration: &ConfigurationState,
    ) -> Vec<KeyDigest> {
        let touches_keys = record
            .changes
            .iter()
            .any(|change| change.unit.kind() == crate::config::UnitKind::Key);
        if !touches_keys {
            return Vec::new();
        }
        let before = std::mem::take(&mut self.granted);
        for (_, unit) in configuration.units() {
            if let Some(UnitBody::Key(KeyUnit {
                organisation,
                digest,
            })) = &unit.body
            {
                self.granted.insert(digest.clone(), organisation.clone());
            }
        }
        let lost = |digest: &KeyDigest, organisation: &OrganisationId| {
            self.granted.get(digest) != Some(organisation)
        };
        before
            .into_iter()
            .filter(|(d, o)| lost(d, o))
            .map(|(digest, _)| digest)
            .collect()
    }

    /// Takes a withdrawal; answers whether it is news.
    pub fn withdraw(&mut self, record: &WithdrawRecord) -> bool {
        self.withdrawn.insert(record.digest.clone())
    }

    /// Keeps withdrawn what was withdrawn in `former`.
    pub fn keep_withdrawn(&mut self, former: &KeyState) {
        self.withdrawn.extend(former.withdrawn.iter().cloned());
    }

    /// The digests that admitted somebody here and admit nobody, or somebody
    /// else, in `later`.
    pub fn lost_in(&self, later: &KeyState) -> Vec<KeyDigest> {
        let lost = |digest: &&KeyDigest| {
            let before = self.organisation(digest);
            before.is_some() && before != later.organisation(digest)
        };
        self.granted.keys().filter(lost).cloned().collect()
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

    /// Takes over a checkpoint item, if it is about a key.
    pub fn restore(&mut self, item: &CheckpointItem) {
        match item {
            CheckpointItem::Withdrawn { digest } => {
                self.withdrawn.insert(digest.clone());
            }
            CheckpointItem::Unit {
                body: Some(UnitBody::Key(key)),
                ..
            } => {
                let organisation = key.organisation.clone();
                self.granted.insert(key.digest.clone(), organisation);
            }
            _ => {}
        }
    }

    /// The organisation that the key admits, if it is in force.
    pub fn organisation(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        if self.withdrawn.contains(digest) {
            return None;
        }
        self.granted.get(digest)
    }
}
