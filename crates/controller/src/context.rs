//! What the workers of all duties share.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, LogOffset},
    orders::OrderTiming,
    records::{DutyName, LogRecord},
};
use bluebell_daemon::{
    journal::{DecisionJournal, DecisionRecord},
    logs::LogLine,
};
use bluebell_endpoint::orders::EngineOrderClient;
use bluebell_node::NodeHandle;
use bluebell_platform::api::EndpointKind;

use crate::{
    demand::DemandBoard,
    directory::EndpointDirectory,
    duties::DutyDesk,
    members::{InstanceList, OutstandingWork},
    metrics::ControllerMetrics,
    role_plan::RoleMemory,
    settings::ControllerSettings,
};

/// How long a worker waits to read its own record back before it looks again.
const READ_BACK_PATIENCE: TimeSpan = TimeSpan::from_secs(2);

/// What the workers of all duties share; clones share it.
#[derive(Clone)]
pub struct DutyContext {
    /// The node.
    pub node: NodeHandle,
    /// The duties held here.
    pub desk: DutyDesk,
    /// The instances.
    pub list: InstanceList,
    /// The endpoints.
    pub directory: EndpointDirectory,
    /// What arrives at entries.
    pub demand: DemandBoard,
    /// Since when engines have their roles.
    pub roles: RoleMemory,
    /// Orders to engines.
    pub engines: EngineOrderClient,
    /// The decisions taken here.
    pub journal: DecisionJournal,
    /// What is counted.
    pub metrics: ControllerMetrics,
    /// The settings.
    pub settings: ControllerSettings,
}

impl DutyContext {
    /// The time now.
    pub fn now(&self) -> ClockTime {
        self.node.clock().now()
    }

    /// How long orders and leases take.
    pub fn order_rule(&self) -> OrderTiming {
        let (orders, lease) = (&self.settings.orders, &self.settings.lease);
        OrderTiming {
            timeout: orders.timeout,
            retry_pause: orders.interval,
            takeover_delay: lease.duration + orders.timeout + lease.margin,
        }
    }

    /// Appends a record and waits until it has been read back; answers its offset
    /// if both succeeded. What is not known to stand in the log is looked for
    /// there before anything is sent, so a failure here only costs time.
    pub async fn append(&self, record: LogRecord) -> Option<LogOffset> {
        let kind = record_kind(&record);
        match self.node.append(record).await {
            Ok(offset) => {
                let applied = self.node.wait_applied(offset, READ_BACK_PATIENCE).await;
                applied.then_some(offset)
            }
            Err(error) => {
                let failures = &self.metrics.append_failures;
                failures.with_label_values(&[kind]).inc();
                LogLine::new("append_failed")
                    .with("record", kind)
                    .with("error", &error)
                    .warn();
                None
            }
        }
    }

    /// The work that the endpoint still has; none if it can't be told. An engine
    /// says so itself, of a plain service the entries do.
    pub async fn outstanding(&self, endpoint: &EndpointId) -> Option<OutstandingWork> {
        let listing = self.directory.listing(endpoint)?;
        if listing.kind == EndpointKind::Plain {
            return self.list.outstanding(endpoint);
        }
        let heard_at = self.now();
        let status = self.engines.status(&listing.address).await.ok()?;
        Some(OutstandingWork {
            heard_at,
            requests: status.in_flight,
        })
    }

    /// Remembers a decision and logs it.
    pub fn decide(&self, duty: &DutyName, subjects: &[String], decision: &str, reason: &str) {
        LogLine::new("decision")
            .with("duty", duty)
            .with("subjects", subjects.join(","))
            .with("decision", decision)
            .with("reason", reason)
            .info();
        let duty = std::iter::once(duty.to_string());
        self.journal.record(DecisionRecord {
            at: self.now(),
            subjects: duty.chain(subjects.iter().cloned()).collect(),
            decision: decision.to_string(),
            reason: reason.to_string(),
        });
    }
}

fn record_kind(record: &LogRecord) -> &'static str {
    match record {
        LogRecord::Intent(_) => "intent",
        LogRecord::Outcome(_) => "outcome",
        LogRecord::Mark(_) => "mark",
        LogRecord::WindowClose(_) => "window_close",
        LogRecord::Checkpoint(_) => "checkpoint",
        _ => "other",
    }
}
