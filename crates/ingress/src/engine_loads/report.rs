//! Reporting the loads of this instance to the trackers of the engines.

use std::{collections::BTreeMap, sync::atomic::Ordering};

use bluebell_core::{
    clock::ClockTime,
    ids::InstanceId,
    placement::{DueLoads, EngineCandidate, EngineLoad, PrefillSample},
};

use super::{EngineLoadContent, EngineLoads, LoadReport};

/// The maximum number of loads in one datagram, and of samples.
const MAX_RECORDS: usize = 32;

impl EngineLoads {
    /// Reports those of the loads that have changed or are due to be repeated, and the
    /// samples that wait. `loads` are all loads that this instance has placed on engines.
    pub fn report(&self, now: ClockTime, loads: Vec<(EngineCandidate, EngineLoad)>) {
        let tracker_of = |engine: &EngineCandidate| Some(self.tracker(engine)?.instance);
        let due = self.reporter.lock().take_due(now, loads, tracker_of);
        for (tracker, loads) in due {
            for loads in loads.chunks(MAX_RECORDS) {
                self.report_to(now, &tracker, LoadReport::new(&loads.to_vec(), &[]));
            }
        }
        for (tracker, samples) in self.take_unsent_samples() {
            for samples in samples.chunks(MAX_RECORDS) {
                self.report_to(now, &tracker, LoadReport::new(&DueLoads::new(), samples));
            }
        }
    }

    fn take_unsent_samples(&self) -> BTreeMap<InstanceId, Vec<PrefillSample>> {
        let unsent = std::mem::take(&mut self.samples.lock().unsent);
        let mut due: BTreeMap<InstanceId, Vec<PrefillSample>> = BTreeMap::new();
        for (engine, sample) in unsent {
            if let Some(tracker) = self.tracker(&engine) {
                due.entry(tracker.instance).or_default().push(sample);
            }
        }
        due
    }

    fn report_to(&self, now: ClockTime, tracker: &InstanceId, report: LoadReport) {
        let report = LoadReport {
            instance: self.local.instance.to_string(),
            start: self.local.start,
            counter: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
            ..report
        };
        if *tracker == self.local.instance {
            self.receive_report(now, &report);
            return;
        }
        let address = {
            let trackers = self.trackers.lock();
            let known = trackers.iter().find(|known| known.instance == *tracker);
            known.and_then(|known| known.address)
        };
        if let Some(address) = address {
            self.metrics.reports.with_label_values(&["sent"]).inc();
            self.send(address, EngineLoadContent::Report(report));
        }
    }
}
