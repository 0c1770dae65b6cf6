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
}

const FAULT_KINDS: [FaultKind; 6] = [
    FaultKind::Suspension,
    FaultKind::Starvation,
    FaultKind::LostDatagrams,
    FaultKind::RejectedCalls,
    FaultKind::Restart,
    FaultKind::StoreOutage,
];

impl FleetModel {
    /// Draws a fault that begins now.
    pub fn inject_fault(&mut self) {
        let count = *AFFECTED_INSTANCES.choose(&mut self.random).unwrap();
        let kind = FAULT_KINDS[self.random.random_range(0..FAULT_KINDS.len())];
        let duration_ms = self.random.random_range(300..5_000);
        let end = self.now + duration_ms;
        if kind == FaultKind::StoreOutage {
            self.outage_end = self.outage_end.max(end);
            return;
        }
        for _ in 0..count {
            let number = self.draw_instance();
            self.disturb(number, kind, end);
        }
    }

    fn disturb(&mut self, number: usize, kind: FaultKind, end: u64) {
        let now = self.now;
        let instance = &mut self.instances[number];
        match kind {
            FaultKind::Suspension => {
                instance.stopped_at = now;
                instance.suspended_until = end;
            }
            FaultKind::Starvation => instance.starved_until = end,
            FaultKind::LostDatagrams => instance.datagrams_lost_until = end,
            FaultKind::RejectedCalls => instance.rejected_until = end,
            FaultKind::Restart => {
                *instance = ModelInstance::new(instance.domain, end);
                instance.stopped_at = now;
                instance.suspended_until = end;
            }
            FaultKind::StoreOutage => {}
        }
        instance.undisturbed_since = instance.undisturbed_since.max(end);
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
