//! What one instance knows of crashes, by the production code.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, RequestFingerprint},
    quarantine::{
        BreakStep, BrokenRun, BrokenRuns, CrashReport, CrashStatus, PartHash, PartQuarantine,
        PartReport, ReportScope, SharedQuarantine, SiteHash,
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
#[derive(Clone, Debug, Default)]
pub struct ModelReports {
    requests: Vec<CrashReport>,
    parts: Vec<PartReport>,
}

impl ModelReports {
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
}

/// What an instance knows of requests and parts that crash engines.
#[derive(Default)]
pub struct CrashKnowledge {
    requests: SharedQuarantine,
    parts: PartQuarantine,
    broken: BrokenRuns,
}

/// A start of an engine.
#[derive(Clone, Debug)]
pub struct EngineStart {
    pub id: EndpointId,
    pub start: u64,
}

impl CrashKnowledge {
    pub fn new(seed: u64) -> CrashKnowledge {
        CrashKnowledge {
            parts: PartQuarantine::new().with_seed(seed),
            ..CrashKnowledge::default()
        }
    }

    /// Whether the request may be sent to an engine.
    pub fn allows(&mut self, now: ClockTime, request: &ModelRequest) -> bool {
        let is_quarantined = self.requests.status(&request.fingerprint) == CrashStatus::Quarantined;
        if is_quarantined {
            self.requests.note_refused(now, &request.fingerprint);
        }
        !is_quarantined && self.parts.refuse(now, &request.shared).is_none()
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
        let runs = self.broken.note_ended(now, &engine.id, engine.start);
        for run in &runs {
            self.requests.note_crash(now, &run.fingerprint, site);
        }
        let parts = runs.into_iter().flat_map(|run| run.parts).collect();
        self.parts.note_crash(now, site, &parts);
    }

    /// Records that an engine has been writing the answer for some time.
    pub fn note_survived(&mut self, now: ClockTime, request: &ModelRequest) {
        self.parts.note_answered(now, &request.shared);
    }

    /// Records that an engine completed the request.
    pub fn note_completed(&mut self, now: ClockTime, request: &ModelRequest) {
        self.requests.note_completed(now, &request.fingerprint);
        self.parts.note_answered(now, &request.shared);
    }

    pub fn take_reports(&mut self, now: ClockTime, scope: ReportScope) -> ModelReports {
        ModelReports {
            requests: self.requests.take_reports(now, scope),
            parts: self.parts.take_reports(now, scope),
        }
    }

    pub fn receive(&mut self, now: ClockTime, reports: &ModelReports, is_same_domain: bool) {
        self.parts.note_reports(now, &reports.parts, is_same_domain);
        for report in &reports.requests {
            self.requests.note_report(now, report, is_same_domain);
        }
    }

    /// The parts that requests are refused for.
    pub fn quarantined_parts(&self) -> BTreeSet<PartHash> {
        self.parts.quarantined().collect()
    }
}
