//! Settings of the controller.

use std::path::Path;

use bluebell_core::{
    authority::LeaseTiming,
    clock::TimeSpan,
    fleet::FleetSettings,
    roles::{EngineRates, RoleSettings},
};
use bluebell_daemon::settings::{SettingProblem, SettingsError};
use bluebell_node::NodeSettings;
use serde::{Deserialize, Serialize};

/// A controller's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Who it is and where the platform is.
    pub node: NodeSettings,
    /// Leases of duties.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Orders to engines and to the platform.
    #[serde(default)]
    pub orders: OrderSettings,
    /// Usage windows and their reports.
    #[serde(default)]
    pub usage: UsageSettings,
    /// Checkpoints of the log.
    #[serde(default)]
    pub checkpoint: CheckpointSettings,
    /// The plan of engines' roles.
    #[serde(default)]
    pub roles: RolePlanSettings,
    /// The plan of the fleet's size.
    #[serde(default)]
    pub fleet: FleetPlanSettings,
}

/// The `[lease]` table. All controllers of a fleet should have the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long a lease runs from a claim or renewal.
    pub duration: TimeSpan,
    /// How much longer everybody but the holder waits.
    pub margin: TimeSpan,
    /// How long after a claim or renewal the next renewal is sent.
    pub renew_after: TimeSpan,
    /// How much longer each candidate waits than the one preferred before it.
    pub stagger: TimeSpan,
    /// How long another candidate is preferred before a duty is handed over.
    pub handover_after: TimeSpan,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            duration: TimeSpan::from_secs(6),
            margin: TimeSpan::from_secs(1),
            renew_after: TimeSpan::from_secs(2),
            stagger: TimeSpan::from_millis(500),
            handover_after: TimeSpan::from_secs(10),
        }
    }
}

impl LeaseSettings {
    /// The settings as the leases' slice takes them.
    pub fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            duration: self.duration,
            margin: self.margin,
            renew_after: self.renew_after,
            stagger: self.stagger,
            handover_after: self.handover_after,
        }
    }
}

/// The `[orders]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// How long one order may take to send and to be answered.
    pub timeout: TimeSpan,
    /// How often duties look at what there is to do.
    pub interval: TimeSpan,
    /// How long an entry that can't be reached keeps a leaving endpoint waiting.
    pub drain_bound: TimeSpan,
    /// How long a request may be on its way to an endpoint whose mark its entry
    /// has just read.
    pub drain_settle: TimeSpan,
    /// Whether the platform refuses start and stop orders with an old fencing
    /// number. If it doesn't, a new holder waits before its first order.
    pub platform_checks_fencing: bool,
}

impl Default for OrderSettings {
    fn default() -> OrderSettings {
        OrderSettings {
            timeout: TimeSpan::from_secs(1),
            interval: TimeSpan::from_millis(250),
            drain_bound: TimeSpan::from_secs(5),
            drain_settle: TimeSpan::from_millis(500),
            platform_checks_fencing: true,
        }
    }
}

/// The `[usage]` table. Entries must count in windows of the same length.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UsageSettings {
    /// How long a usage window is.
    pub window: TimeSpan,
    /// How long after a window's end entries may still tell what they metered in
    /// it; what comes later goes to the next window.
    pub grace: TimeSpan,
}

impl Default for UsageSettings {
    fn default() -> UsageSettings {
        UsageSettings {
            window: TimeSpan::from_secs(60),
            grace: TimeSpan::from_secs(10),
        }
    }
}

/// The `[checkpoint]` table. Both limits must lie well below what the platform's
/// log keeps; a checkpoint in the older half of that is renewed in any case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CheckpointSettings {
    /// After how many records a checkpoint is due.
    pub every_records: u64,
    /// After how long a checkpoint is due.
    pub every: TimeSpan,
}

impl Default for CheckpointSettings {
    fn default() -> CheckpointSettings {
        CheckpointSettings {
            every_records: 20_000,
            every: TimeSpan::from_secs(600),
        }
    }
}

/// The `[roles]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolePlanSettings {
    /// Whether roles follow demand at all.
    pub enabled: bool,
    /// When a change of role is worth it.
    pub planner: RoleSettings,
    /// What one engine does in a second.
    pub rates: EngineRates,
}

impl Default for RolePlanSettings {
    fn default() -> RolePlanSettings {
        RolePlanSettings {
            enabled: true,
            planner: RoleSettings::default(),
            rates: EngineRates::default(),
        }
    }
}

/// The `[fleet]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetPlanSettings {
    /// Whether the fleet's size follows demand at all.
    pub enabled: bool,
    /// How often the plan is made.
    pub every: TimeSpan,
    /// How the fleet is sized.
    pub planner: FleetSettings,
}

impl Default for FleetPlanSettings {
    fn default() -> FleetPlanSettings {
        FleetPlanSettings {
            enabled: true,
            every: TimeSpan::from_secs(2),
            planner: FleetSettings::default(),
        }
    }
}

impl ControllerSettings {
    /// Settings of a controller that is `node` and has defaults otherwise.
    pub fn with_node(node: NodeSettings) -> ControllerSettings {
        ControllerSettings {
            node,
            lease: LeaseSettings::default(),
            orders: OrderSettings::default(),
            usage: UsageSettings::default(),
            checkpoint: CheckpointSettings::default(),
            roles: RolePlanSettings::default(),
            fleet: FleetPlanSettings::default(),
        }
    }

    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<ControllerSettings, SettingsError> {
        bluebell_daemon::settings::load(path, ControllerSettings::problems)
    }

    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = self.node.problems();
        let mut check = |bad: bool, field: &str, value: TimeSpan, expected: &str| {
            if bad {
                problems.push(SettingProblem::new(field, value, expected));
            }
        };
        let lease = &self.lease;
        check(
            lease.renew_after.times(2) > lease.duration,
            "lease.renew_after",
            lease.renew_after,
            "at most half of `lease.duration`",
        );
        check(
            lease.margin == TimeSpan::ZERO,
            "lease.margin",
            lease.margin,
            "more than `0ms`",
        );
        check(
            self.orders.timeout.times(2) > lease.duration.saturating_sub(lease.renew_after),
            "orders.timeout",
            self.orders.timeout,
            "at most half of `lease.duration` less `lease.renew_after`",
        );
        check(
            self.orders.interval == TimeSpan::ZERO,
            "orders.interval",
            self.orders.interval,
            "more than `0ms`",
        );
        check(
            self.checkpoint.every < TimeSpan::from_secs(1),
            "checkpoint.every",
            self.checkpoint.every,
            "at least `1s`",
        );
        check(
            self.usage.window == TimeSpan::ZERO,
            "usage.window",
            self.usage.window,
            "more than `0ms`",
        );
        if self.checkpoint.every_records == 0 {
            let field = "checkpoint.every_records";
            problems.push(SettingProblem::new(field, 0, "at least `1`"));
        }
        problems
    }
}
