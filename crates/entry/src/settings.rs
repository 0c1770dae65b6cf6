//! Settings of an entry.

use std::path::Path;

use bluebell_core::{
    admission::AdmissionSettings, clock::TimeSpan, retries::RetrySettings,
    routing::RoutingSettings, units::ByteSize,
};
use bluebell_daemon::settings::{SettingProblem, SettingsError};
use bluebell_node::NodeSettings;
use serde::{Deserialize, Serialize};

/// An entry's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who it is and where the platform is.
    pub node: NodeSettings,
    /// How it treats requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Who may start, and where it goes.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// What it meters.
    #[serde(default)]
    pub metering: MeterSettings,
}

/// The `[requests]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestSettings {
    /// The longest body that a caller may send.
    pub max_body: ByteSize,
    /// The longest body of a plain service that is passed on.
    pub max_answer: ByteSize,
    /// The pause between signs of life on an answer that has nothing to say.
    /// A caller who has gone is noticed at the second of them at the latest.
    pub heartbeat: TimeSpan,
    /// How long an answer waits for a refusal before its status is sent.
    pub commit_after: TimeSpan,
    /// The pause between two looks at the platform's endpoint list.
    pub list_interval: TimeSpan,
    /// How long a stopping entry waits for its running answers.
    pub drain_limit: TimeSpan,
    /// How long a claim may wait for the log.
    pub claim_patience: TimeSpan,
    /// How long ago this instance must have heard of the log to run work that
    /// must run at most once.
    pub freshness_bound: TimeSpan,
    /// How long ago it must have heard of the log to run anything at all; without
    /// it, work that may be repeated goes on however long the log is away.
    pub freshness_grace: Option<TimeSpan>,
    /// The longest answer that is kept with a claim for repeats.
    pub kept_answer: ByteSize,
}

impl Default for RequestSettings {
    fn default() -> RequestSettings {
        RequestSettings {
            max_body: ByteSize::new(1024 * 1024),
            max_answer: ByteSize::new(4 * 1024 * 1024),
            heartbeat: TimeSpan::from_millis(250),
            commit_after: TimeSpan::from_millis(250),
            list_interval: TimeSpan::from_secs(1),
            drain_limit: TimeSpan::from_secs(600),
            claim_patience: TimeSpan::from_secs(5),
            freshness_bound: TimeSpan::from_secs(5),
            freshness_grace: None,
            kept_answer: ByteSize::new(2 * 1024),
        }
    }
}

/// The `[traffic]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Requests that one engine runs at once.
    pub engine_slots: u32,
    /// Calls that one replica of a plain service runs at once.
    pub plain_slots: u32,
    /// The time from a start to an idle engine's first token.
    pub first_token: TimeSpan,
    /// The time from a start to an idle replica's answer.
    pub plain_answer: TimeSpan,
    /// Fair queueing and deadlines.
    pub admission: AdmissionSettings,
    /// The choice of endpoints.
    pub routing: RoutingSettings,
    /// The budgets of retries.
    pub retries: RetrySettings,
}

impl Default for TrafficSettings {
    fn default() -> TrafficSettings {
        TrafficSettings {
            engine_slots: 32,
            plain_slots: 64,
            first_token: TimeSpan::from_millis(50),
            plain_answer: TimeSpan::from_millis(5),
            admission: AdmissionSettings::default(),
            routing: RoutingSettings::default(),
            retries: RetrySettings {
                share: 20,
                minimum: 20,
                most: 100,
                attempts: 4,
                ..RetrySettings::default()
            },
        }
    }
}

/// The `[metering]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeterSettings {
    /// The length of a usage window; the same in all entries and controllers.
    pub window: TimeSpan,
    /// The pause between two records of what was metered.
    pub flush_interval: TimeSpan,
}

impl Default for MeterSettings {
    fn default() -> MeterSettings {
        MeterSettings {
            window: TimeSpan::from_secs(60),
            flush_interval: TimeSpan::from_secs(2),
        }
    }
}

impl EntrySettings {
    /// Settings of an entry that is `node` and has defaults otherwise.
    pub fn with_node(node: NodeSettings) -> EntrySettings {
        EntrySettings {
            node,
            requests: RequestSettings::default(),
            metering: MeterSettings::default(),
            traffic: TrafficSettings::default(),
        }
    }

    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
        bluebell_daemon::settings::load(path, EntrySettings::problems)
    }

    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = self.node.problems();
        let requests = &self.requests;
        let spans = [
            ("requests.heartbeat", requests.heartbeat),
            ("requests.list_interval", requests.list_interval),
            ("requests.claim_patience", requests.claim_patience),
            ("metering.window", self.metering.window),
            ("metering.flush_interval", self.metering.flush_interval),
        ];
        for (field, span) in spans {
            if span == TimeSpan::ZERO {
                problems.push(SettingProblem::new(field, span, "more than `0ms`"));
            }
        }
        for (field, count) in [
            ("traffic.engine_slots", self.traffic.engine_slots),
            ("traffic.plain_slots", self.traffic.plain_slots),
            ("traffic.retries.attempts", self.traffic.retries.attempts),
        ] {
            if count == 0 {
                problems.push(SettingProblem::new(field, count, "at least 1"));
            }
        }
        let rocket_limit = 64 * 1024 * 1024;
        if let Some(grace) = requests.freshness_grace
            && grace < requests.freshness_bound
        {
            let expected = "at least `requests.freshness_bound`";
            problems.push(SettingProblem::new(
                "requests.freshness_grace",
                grace,
                expected,
            ));
        }
        if requests.max_body.count() == 0 || requests.max_body.count() > rocket_limit {
            let expected = "from 1 to 67108864";
            let value = requests.max_body.count();
            problems.push(SettingProblem::new("requests.max_body", value, expected));
        }
        problems
    }
}
