//! Who gets new connections: the platform's balancer as its users describe it.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use bluebell_core::ids::{FailureDomain, InstanceId};
use rand::{Rng, seq::IndexedRandom};
use tokio_util::sync::CancellationToken;

use crate::fleet::InstanceSlot;

/// How often each instance is asked whether it is ready.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// After how many questions without a 200 an instance gets no new connections.
const MISSES: u32 = 2;

/// Which instances get new connections.
#[derive(Debug, Default)]
pub struct CallerRotation {
    misses: Mutex<BTreeMap<InstanceId, u32>>,
}

impl CallerRotation {
    /// Nobody has been asked yet; nobody gets connections.
    pub fn new() -> CallerRotation {
        CallerRotation::default()
    }

    /// Whether the instance gets new connections.
    pub fn has(&self, instance: &InstanceId) -> bool {
        let misses = self.misses.lock().expect("held briefly");
        misses.get(instance).is_some_and(|misses| *misses < MISSES)
    }

    /// Where a caller of a failure domain is led: an instance there, or anywhere if
    /// none there is ready; all there if fewer than half are.
    pub fn pick<'a, Random>(
        &self,
        slots: &'a [InstanceSlot],
        domain: &FailureDomain,
        random: &mut Random,
    ) -> &'a InstanceSlot
    where
        Random: Rng,
    {
        let ready: Vec<&InstanceSlot> = slots.iter().filter(|slot| self.has(&slot.name)).collect();
        let own: Vec<&InstanceSlot> = slots.iter().filter(|s| s.domain == *domain).collect();
        let near: Vec<&InstanceSlot> = ready
            .iter()
            .copied()
            .filter(|slot| slot.domain == *domain)
            .collect();
        let chosen = match (near.len(), ready.len()) {
            (0, 0) => &own,
            (0, _) => &ready,
            (count, _) if count * 2 < own.len() => &own,
            _ => &near,
        };
        chosen.choose(random).copied().unwrap_or(&slots[0])
    }

    /// Asks an instance for good, until `stop`.
    pub async fn ask(&self, slot: &InstanceSlot, stop: &CancellationToken) {
        let client = reqwest::Client::new();
        while !stop.is_cancelled() {
            let is_ready = slot.is_ready(&client, ASK_EVERY).await;
            {
                let mut misses = self.misses.lock().expect("held briefly");
                let misses = misses.entry(slot.name.clone()).or_insert(MISSES);
                *misses = if is_ready { 0 } else { *misses + 1 };
            }
            stop.run_until_cancelled(tokio::time::sleep(ASK_EVERY))
                .await;
        }
    }
}
