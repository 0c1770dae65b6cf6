//! Checking all units as a whole, before anything is sent.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::TimeSpan,
    config::{
        KeyUnit, OrganisationUnit, RuleUnit, ServiceTarget, ServiceUnit, UnitBody, UnitKind,
        UnitName,
    },
    ids::{KeyDigest, ServiceName},
    units::{ShareWeight, TokenCount},
    view::FleetView,
};

use crate::ops::collect::{CollectedUnit, FileProblem, FileProblems, UnitCollection};

/// The longest deadline that a service may have.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(3_600);

/// Checks the collection, against what is in force if `view` is given.
pub fn check(collection: &UnitCollection, view: Option<&FleetView>) -> Result<(), FileProblems> {
    let checker = UnitChecker { collection, view };
    let mut problems = checker.doubled_names();
    for unit in &collection.units {
        checker.check_unit(unit, &mut problems);
    }
    problems.extend(checker.doubled_digests());
    if problems.is_empty() {
        return Ok(());
    }
    Err(FileProblems { problems })
}

struct UnitChecker<'a> {
    collection: &'a UnitCollection,
    view: Option<&'a FleetView>,
}

impl UnitChecker<'_> {
    fn doubled_names(&self) -> Vec<FileProblem> {
        let mut seen: BTreeMap<&UnitName, &CollectedUnit> = BTreeMap::new();
        let mut problems = Vec::new();
        for unit in &self.collection.units {
            if let Some(first) = seen.insert(&unit.name, unit) {
                let message = format!(
                    "is defined in `{}` too, expected one definition",
                    first.file.display()
                );
                problems.push(unit.problem("", message));
            }
        }
        problems
    }

    fn check_unit(&self, unit: &CollectedUnit, problems: &mut Vec<FileProblem>) {
        match &unit.body {
            UnitBody::Service(service) => check_service(unit, service, problems),
            UnitBody::Organisation(organisation) => {
                self.check_organisation(unit, organisation, problems);
            }
            UnitBody::Key(key) => self.check_key(unit, key, problems),
            UnitBody::Rule(rule) => self.check_rule(unit, rule, problems),
        }
    }

    fn check_organisation(
        &self,
        unit: &CollectedUnit,
        organisation: &OrganisationUnit,
        problems: &mut Vec<FileProblem>,
    ) {
        if organisation.weight == ShareWeight::ZERO {
            problems.push(unit.problem("weight", "is `0`, expected at least `1`".to_string()));
        }
        if organisation.max_in_flight == 0 {
            let message = "is `0`, expected at least `1`".to_string();
            problems.push(unit.problem("max_in_flight", message));
        }
        for service in &organisation.services {
            if self.service(service).is_none() {
                problems.push(unit.problem("services", self.unknown_service(service)));
            }
        }
    }

    fn check_key(&self, unit: &CollectedUnit, key: &KeyUnit, problems: &mut Vec<FileProblem>) {
        let organisation = UnitName::new(UnitKind::Organisation, key.organisation.as_str());
        let known = organisation.is_ok_and(|name| self.body(&name).is_some());
        if !known {
            let message = format!(
                "is `{}`, expected an organisation that the files define or that is in force",
                key.organisation
            );
            problems.push(unit.problem("organisation", message));
        }
        let withdrawn = self
            .view
            .is_some_and(|view| view.keys.is_withdrawn(&key.digest));
        if withdrawn {
            let message = format!(
                "is `{}…`, which was withdrawn for good, expected the digest of another key",
                key.digest.short()
            );
            problems.push(unit.problem("digest", message));
        }
    }

    fn check_rule(&self, unit: &CollectedUnit, rule: &RuleUnit, problems: &mut Vec<FileProblem>) {
        match self.service(&rule.service) {
            None => problems.push(unit.problem("service", self.unknown_service(&rule.service))),
            Some(service) if service.target != (ServiceTarget::Plain {}) => {
                let message = format!(
                    "is `{}`, a model service whose calls may always be repeated, expected a plain service",
                    rule.service
                );
                problems.push(unit.problem("service", message));
            }
            Some(_) => {}
        }
        if rule.path_prefix.starts_with('/') {
            let message = format!(
                "is `{}`, expected a path below the service without a leading `/`",
                rule.path_prefix
            );
            problems.push(unit.problem("path_prefix", message));
        }
        let is_method = |method: &String| method.chars().all(|c| c.is_ascii_uppercase());
        if let Some(method) = rule.method.as_ref().filter(|method| !is_method(method)) {
            let message = format!("is `{method}`, expected a method such as `GET`");
            problems.push(unit.problem("method", message));
        }
    }

    fn doubled_digests(&self) -> Vec<FileProblem> {
        let mut holders: BTreeMap<&KeyDigest, &UnitName> = BTreeMap::new();
        for (name, version) in self.view.iter().flat_map(|v| v.configuration.units()) {
            let redefined = self.collection.unit(name).is_some();
            if let (Some(UnitBody::Key(key)), false) = (&version.body, redefined) {
                holders.insert(&key.digest, name);
            }
        }
        let mut problems = Vec::new();
        for unit in &self.collection.units {
            let UnitBody::Key(key) = &unit.body else {
                continue;
            };
            match holders.get(&key.digest) {
                Some(holder) if **holder != unit.name => {
                    let message = format!(
                        "is `{}…`, the digest of `{holder}` too, expected a digest of its own",
                        key.digest.short()
                    );
                    problems.push(unit.problem("digest", message));
                }
                _ => {
                    holders.insert(&key.digest, &unit.name);
                }
            }
        }
        problems
    }

    fn body(&self, name: &UnitName) -> Option<&UnitBody> {
        if let Some(unit) = self.collection.unit(name) {
            return Some(&unit.body);
        }
        self.view?.configuration.unit(name)?.body.as_ref()
    }

    fn service(&self, name: &ServiceName) -> Option<&ServiceUnit> {
        let name = UnitName::new(UnitKind::Service, name.as_str()).ok()?;
        match self.body(&name)? {
            UnitBody::Service(service) => Some(service),
            _ => None,
        }
    }

    fn unknown_service(&self, service: &ServiceName) -> String {
        let known: Vec<&str> = self
            .collection
            .units
            .iter()
            .filter(|unit| unit.name.kind() == UnitKind::Service)
            .map(|unit| unit.name.name())
            .collect();
        format!(
            "names `{service}`, expected a service that the files define (`{}`) or that is in force",
            known.join("`, `")
        )
    }
}

fn check_service(unit: &CollectedUnit, service: &ServiceUnit, problems: &mut Vec<FileProblem>) {
    let spans = [
        ("deadline", service.deadline),
        ("progress_limit", service.progress_limit),
    ];
    for (field, span) in spans {
        if span == TimeSpan::ZERO || span > MAX_DEADLINE {
            let message =
                format!("is `{span}`, expected more than `0ms`, at most `{MAX_DEADLINE}`");
            problems.push(unit.problem(field, message));
        }
    }
    if let ServiceTarget::Model { max_tokens, .. } = &service.target
        && *max_tokens == TokenCount::ZERO
    {
        let message = "is `0`, expected at least `1`".to_string();
        problems.push(unit.problem("target.max_tokens", message));
    }
}
