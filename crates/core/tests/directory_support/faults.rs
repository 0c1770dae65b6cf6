//! Random faults of the model.

use bluebell_core::relay::DIRECT_READERS;
use rand::{Rng, seq::IndexedRandom};

use super::{FleetModel, instance::ModelInstance};

/// The number of instances that a fault concerns, with equal shares.
const AFFECTED_INSTANCES: [usize; 4] = [1, 1, 2, 8];

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Suspension,
    Starvation,
    LostDatagrams,
    RejectedCalls,
    Restart,
    StoreOutage,
    LostHistory,
}

const FAULT_KINDS: [FaultKind; 7] = [
    FaultKind::Suspension,
    FaultKind::Starvation,
    FaultKind::LostDatagrams,
    FaultKind::RejectedCalls,
    FaultKind::Restart,
    FaultKind::StoreOutage,
    FaultKind::LostHistory,
];

impl FleetModel {
    /// Draws a fault that begins now.
    pub fn inject_fault(&mut self) {
        let count = *AFFECTED_INSTANCES.choose(&mut self.random).unwrap();
        let kind = FAULT_KINDS[self.random.random_range(0..FAULT_KINDS.len())];
        let duration_ms = self.random.random_range(300..5_000);
        match kind {
            FaultKind::StoreOutage => self.outage_end = self.now + duration_ms,
            FaultKind::LostHistory => self.store.trim(),
            _ => {
                for _ in 0..count {
                    let number = self.draw_instance();
                    self.disturb(number, kind, duration_ms);
                }
            }
        }
    }

    fn disturb(&mut self, number: usize, kind: FaultKind, duration_ms: u64) {
        let now = self.now;
        let end = now + duration_ms;
        let instance = &mut self.instances[number];
        match kind {
            FaultKind::Suspension => {
                instance.stopped_at = now;
                instance.suspended_until = end;
            }
            FaultKind::Starvation => instance.starved_until = end,
            FaultKind::LostDatagrams => instance.datagrams_lost_until = end,
            FaultKind::RejectedCalls => instance.rejected_until = end,
            FaultKind::Restart => return self.kill(number, duration_ms),
            FaultKind::StoreOutage | FaultKind::LostHistory => {}
        }
        instance.undisturbed_since = instance.undisturbed_since.max(end);
    }

    /// Ends an instance, which starts again after `down_ms`.
    pub fn kill(&mut self, number: usize, down_ms: u64) {
        let (now, end) = (self.now, self.now + down_ms);
        let instance = &mut self.instances[number];
        *instance = ModelInstance::new(instance.domain, end);
        instance.stopped_at = now;
        instance.suspended_until = end;
    }

    /// Has the store reject the calls of a whole failure domain until `end`.
    pub fn reject(&mut self, domain: usize, end: u64) {
        for instance in self.instances.iter_mut() {
            if instance.domain == domain {
                instance.rejected_until = end;
            }
        }
    }

    /// Draws one of the first instances of the failure domains, which the others learn from, as
    /// often as one of all.
    fn draw_instance(&mut self) -> usize {
        let first = self
            .instances
            .len()
            .min(self.domains * (DIRECT_READERS + 2));
        match self.random.random_bool(0.5) {
            true => self.random.random_range(0..first),
            false => self.random.random_range(0..self.instances.len()),
        }
    }
}
