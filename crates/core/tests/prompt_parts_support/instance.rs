//! What one instance knows of crashes, by the production code.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, RequestFingerprint},
    quarantine::{
        BreakStep, BrokenRun, BrokenRuns, CrashReport, CrashStatus, PartHash, ReportScope,
        SharedQuarantine, SiteHash,
    },
};

/// A request as far as crashes concern it.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    pub fingerprint: RequestFingerprint,
    /// The parts of the prompt but the last.
    pub shared: Vec<PartHash>,
    pub route: usize,
    /// The part that crashes the engine, if there is one.
    pub crashing: Option<PartHash>,
}

/// The reports of one datagram.
pub type ModelReports = Vec<CrashReport>;

/// What an instance knows of requests and parts that crash engines.
#[derive(Default)]
pub struct CrashKnowledge {
    requests: SharedQuarantine,
    broken: BrokenRuns,
}

/// A start of an engine.
#[derive(Clone, Debug)]
pub struct EngineStart {
    pub id: EndpointId,
    pub start: u64,
}

impl CrashKnowledge {
    /// Whether the request may be sent to an engine.
    pub fn allows(&mut self, now: ClockTime, request: &ModelRequest) -> bool {
        let is_quarantined = self.requests.status(&request.fingerprint) == CrashStatus::Quarantined;
        if is_quarantined {
            self.requests.note_refused(now, &request.fingerprint);
        }
        !is_quarantined
    }

    /// Records that the connection broke on which the request ran.
    pub fn note_break(&mut self, now: ClockTime, request: &ModelRequest, engine: &EngineStart) {
        let run = BrokenRun {
            fingerprint: request.fingerprint.clone(),
            parts: request.shared.clone(),
        };
        let step = self.broken.note_break(now, &engine.id, engine.start, run);
        if step == BreakStep::Ended {
            self.note_ended(now, engine);
        }
    }

    /// Records that the engine has ended, as a refused connection or its registration shows.
    pub fn note_ended(&mut self, now: ClockTime, engine: &EngineStart) {
        let site = SiteHash::with_endpoint(&engine.id, engine.start);
        for run in self.broken.note_ended(now, &engine.id, engine.start) {
            self.requests.note_crash(now, &run.fingerprint, site);
        }
    }

    /// Records that an engine completed the request.
    pub fn note_completed(&mut self, now: ClockTime, request: &ModelRequest) {
        self.requests.note_completed(now, &request.fingerprint);
    }

    pub fn take_reports(&mut self, now: ClockTime, scope: ReportScope) -> ModelReports {
        self.requests.take_reports(now, scope)
    }

    pub fn receive(&mut self, now: ClockTime, reports: &ModelReports, is_same_domain: bool) {
        for report in reports {
            self.requests.note_report(now, report, is_same_domain);
        }
    }

    /// The parts that requests are refused for.
    pub fn quarantined_parts(&self) -> BTreeSet<PartHash> {
        BTreeSet::new()
    }
}
