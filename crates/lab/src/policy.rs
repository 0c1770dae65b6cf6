//! Which decisions a run uses: the system's slices or plain baselines.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    records::EngineRole,
    roles::{PlannedRoleChange, RoleInputs, RolePlanner, RoleSettings, baselines::eager_roles},
    routing::{EndpointSnapshot, RoutingSettings, baselines},
};

/// A closure that picks an endpoint.
pub type EndpointPick = Box<dyn FnMut(&[EndpointSnapshot]) -> Option<usize>>;
/// A closure that plans roles.
pub type RolePick = Box<dyn FnMut(ClockTime, &RoleInputs) -> Vec<PlannedRoleChange>>;

/// How entries admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRule {
    /// Fair shares, with the peers' word.
    Fair,
    /// Fair shares of each entry's own work only.
    FairAlone,
    /// First come, first served.
    ArrivalOrder,
}

/// How entries route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingRule {
    /// The router.
    Router,
    /// Any endpoint.
    Random,
    /// The endpoints in turn.
    RoundRobin,
    /// Fewest requests of the entry's own.
    LeastOutstanding,
    /// Fewest requests by the reports as they come.
    LeastReported,
}

impl RoutingRule {
    /// The rule's closure; none for the router.
    pub fn pick(self, seed: u64) -> Option<EndpointPick> {
        match self {
            RoutingRule::Router => None,
            RoutingRule::Random => Some(Box::new(baselines::random(seed))),
            RoutingRule::RoundRobin => Some(Box::new(baselines::round_robin(seed))),
            RoutingRule::LeastOutstanding => Some(Box::new(baselines::least_outstanding(seed))),
            RoutingRule::LeastReported => Some(Box::new(baselines::least_reported(seed))),
        }
    }
}

/// How roles are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleRule {
    /// The planner.
    Planner,
    /// They stay.
    Static,
    /// They follow the last seconds at once.
    Eager,
}

impl RoleRule {
    /// The rule's closure.
    pub fn pick(self) -> RolePick {
        match self {
            RoleRule::Planner => {
                let planner = RolePlanner::new(RoleSettings::default());
                Box::new(move |now, inputs| planner.plan(now, inputs))
            }
            RoleRule::Static => Box::new(|_, _| Vec::new()),
            RoleRule::Eager => Box::new(eager_roles()),
        }
    }
}

/// The decisions of one run.
#[derive(Clone, Debug)]
pub struct LabPolicy {
    /// Its name in the tables.
    pub name: &'static str,
    /// How entries admit.
    pub admission: AdmissionRule,
    /// How entries route.
    pub routing: RoutingRule,
    /// How roles are given.
    pub roles: RoleRule,
    /// The engines' first roles; mixed where none is given.
    pub first_roles: Vec<EngineRole>,
    /// How old the engines' reports are.
    pub report_lag: TimeSpan,
    /// The router's settings.
    pub router: RoutingSettings,
}

impl LabPolicy {
    /// The system's own decisions, with reports that lag a second.
    pub fn new(name: &'static str) -> LabPolicy {
        LabPolicy {
            name,
            admission: AdmissionRule::Fair,
            routing: RoutingRule::Router,
            roles: RoleRule::Static,
            first_roles: Vec::new(),
            report_lag: TimeSpan::from_secs(1),
            router: RoutingSettings::default(),
        }
    }

    /// With this admission.
    pub fn with_admission(mut self, admission: AdmissionRule) -> LabPolicy {
        self.admission = admission;
        self
    }

    /// With this routing.
    pub fn with_routing(mut self, routing: RoutingRule) -> LabPolicy {
        self.routing = routing;
        self
    }

    /// With these roles.
    pub fn with_roles(mut self, roles: RoleRule, first_roles: Vec<EngineRole>) -> LabPolicy {
        self.roles = roles;
        self.first_roles = first_roles;
        self
    }

    /// With reports of this age.
    pub fn with_lag(mut self, report_lag: TimeSpan) -> LabPolicy {
        self.report_lag = report_lag;
        self
    }

    /// Without a slow start.
    pub fn without_slow_start(mut self) -> LabPolicy {
        self.router.slow_start = TimeSpan::ZERO;
        self
    }
}
