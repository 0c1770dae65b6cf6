//! Random faults of the model.

use super::{FleetModel, instance::ModelInstance};
use crate::fleet_support::{FaultKind, ProcessState, draw_fault, draw_instance};

/// The faults that occur.
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
        let fault = draw_fault(&mut self.random, &FAULT_KINDS);
        let end = self.now + fault.duration_ms;
        match fault.kind {
            FaultKind::StoreOutage => self.outage_end = self.outage_end.max(end),
            FaultKind::LostHistory => self.store.trim(),
            kind => {
                for _ in 0..fault.count {
                    let count = self.instances.len();
                    let number = draw_instance(&mut self.random, count, self.domains);
                    self.disturb(number, kind, end);
                }
            }
        }
    }

    fn disturb(&mut self, number: usize, kind: FaultKind, end: u64) {
        match kind {
            FaultKind::Restart => self.kill(number, end),
            _ => self.instances[number].process.disturb(self.now, kind, end),
        }
    }

    /// Ends an instance, which starts again at `end`.
    pub fn kill(&mut self, number: usize, end: u64) {
        let instance = &mut self.instances[number];
        let process = ProcessState::restarted(instance.process.domain, self.now, end);
        *instance = ModelInstance::with_process(process);
    }

    /// Has the store reject the calls of a whole failure domain until `end`.
    pub fn reject(&mut self, domain: usize, end: u64) {
        let processes = self.instances.iter_mut();
        let processes = processes.map(|instance| &mut instance.process);
        for process in processes.filter(|process| process.domain == domain) {
            process.rejected_until = end;
        }
    }
}
