//! Usage reports.

use std::collections::BTreeMap;

use bluebell_core::ids::LogOffset;
use standin_platform::history::ReportSeen;

use super::{Promise, Violation};

/// A window is reported with one set of figures, and reports come from one
/// holder at a time: fencing numbers never go back, and each belongs to one
/// reporter.
pub fn one_usage_report(reports: &[ReportSeen]) -> Vec<Violation> {
    let mut figures = BTreeMap::new();
    let mut reporters = BTreeMap::new();
    let mut greatest = LogOffset::START;
    let mut violations = Vec::new();
    let mut add = |detail: String| {
        violations.push(Violation::new(Promise::OneUsageReport, detail));
    };
    for ReportSeen { report, .. } in reports {
        let first = figures.entry(report.window).or_insert(&report.lines);
        if **first != report.lines {
            add(format!("window {} with two figures", report.window));
        }
        let reporter = reporters.entry(report.fence).or_insert(&report.reporter);
        if **reporter != report.reporter {
            add(format!("two reporters under {}", report.fence));
        }
        if report.fence < greatest {
            add(format!("a report of {} after {greatest}", report.fence));
        }
        greatest = greatest.max(report.fence);
    }
    violations
}
