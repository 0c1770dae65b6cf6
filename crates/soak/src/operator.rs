//! The operator of a soak: publishes configurations that change while callers use them.

use std::collections::{BTreeMap, VecDeque};

use bluebell_platform_standin::operator::{
    OperatorConfiguration, OperatorKind, OperatorOrganisation, OperatorRoute,
};
use rand::{Rng, seq::IteratorRandom};

use crate::fleet::{
    ADDED_ROUTES, ORGANISATIONS, ROUTES, RouteSample, SoakFleet, TILLS, organisation_key,
    organisation_name,
};

/// How long callers of routes that nobody uses would be kept waiting, in ms.
const UNUSED_TIMEOUT_MS: u64 = 1_500;

/// What the operator has added.
#[derive(Debug, Default)]
pub struct OperatorChanges {
    /// The services of the routes that are there.
    routes: BTreeMap<&'static str, &'static str>,
    /// The organisations that have a key, the oldest first.
    organisations: VecDeque<usize>,
    /// How many organisations were added.
    granted: usize,
}

impl SoakFleet {
    /// Changes the configuration and puts it in force.
    pub fn publish<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut OperatorConfiguration),
    {
        let mut configuration = self.configuration.lock().expect("held briefly");
        change(&mut configuration);
        configuration.version += 3;
        // Instances may follow it before this function returns.
        for route in configuration.routes.iter().take(ROUTES.len()) {
            self.checker.route_led(&route.prefix, &route.service);
        }
        configuration.publish(&self.store);
    }

    /// Leads a route to the other of its services.
    pub fn move_route(&self, number: usize) {
        self.publish(|configuration| {
            let service = &mut configuration.routes[number].service;
            let other = TILLS.iter().find(|till| *till != service);
            *service = other.unwrap_or(&TILLS[0]).to_string();
        });
    }

    /// Adds a route, or leads it to the other of its services.
    pub fn add_route(&self, number: usize) {
        let sample = &ADDED_ROUTES[number];
        let mut changes = self.changes.lock().expect("held briefly");
        let service = match changes.routes.get(sample.prefix) {
            Some(service) if *service == TILLS[0] => TILLS[1],
            _ => TILLS[0],
        };
        self.publish(|configuration| {
            configuration.routes.retain(|r| r.prefix != sample.prefix);
            configuration.routes.push(OperatorRoute {
                prefix: sample.prefix.to_string(),
                kind: sample.kind,
                service: service.to_string(),
                timeout_ms: sample.timeout_ms,
            });
        });
        self.checker.route_added(sample.prefix, service);
        changes.routes.insert(sample.prefix, service);
    }

    /// Drops a route that was added.
    pub fn drop_route(&self, number: usize) {
        let prefix = ADDED_ROUTES[number].prefix;
        let mut changes = self.changes.lock().expect("held briefly");
        if changes.routes.remove(prefix).is_some() {
            self.publish(|configuration| configuration.routes.retain(|r| r.prefix != prefix));
            self.checker.route_dropped(prefix);
        }
    }

    /// Gives a key to a further organisation.
    pub fn add_organisation(&self) {
        let mut changes = self.changes.lock().expect("held briefly");
        let number = ORGANISATIONS + changes.granted;
        changes.granted += 1;
        let name = organisation_name(number);
        self.publish(|configuration| {
            configuration.organisations.push(OperatorOrganisation {
                name: name.clone(),
                keys: vec![organisation_key(number)],
            });
        });
        self.checker.granted(&name);
        changes.organisations.push_back(number);
    }

    /// Withdraws the key of the organisation that was added first.
    pub fn withdraw_added(&self) {
        let mut changes = self.changes.lock().expect("held briefly");
        if let Some(number) = changes.organisations.pop_front() {
            self.withdraw(number);
        }
    }

    /// A route that was added and is there; `None` if there is none.
    pub fn draw_added_route<Random>(&self, random: &mut Random) -> Option<&'static RouteSample>
    where
        Random: Rng,
    {
        let changes = self.changes.lock().expect("held briefly");
        let routes = ADDED_ROUTES.iter();
        let routes = routes.filter(|route| changes.routes.contains_key(route.prefix));
        routes.choose(random)
    }

    /// An organisation that was added and has a key; `None` if there is none.
    pub fn draw_added_organisation<Random>(&self, random: &mut Random) -> Option<usize>
    where
        Random: Rng,
    {
        let changes = self.changes.lock().expect("held briefly");
        changes.organisations.iter().copied().choose(random)
    }

    /// Adds routes that nobody uses.
    pub fn grow(&self, routes: usize) {
        self.publish(|configuration| {
            let first = configuration.routes.len();
            let added = (first..first + routes).map(|number| OperatorRoute {
                prefix: format!("/unused/{number}/"),
                kind: OperatorKind::Safe,
                service: TILLS[0].to_string(),
                timeout_ms: UNUSED_TIMEOUT_MS,
            });
            configuration.routes.extend(added);
        });
    }

    /// Withdraws an organisation's keys.
    pub fn withdraw(&self, number: usize) {
        let name = organisation_name(number);
        self.publish(|configuration| {
            configuration.organisations.retain(|one| one.name != name);
        });
        self.checker.withdrawn(&name);
    }
}
