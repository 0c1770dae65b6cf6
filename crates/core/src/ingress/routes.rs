//! Lookup of the route and the organisation of a request.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{KeyDigest, OrganisationId, ServiceName},
    ingress::{IngressConfiguration, OrganisationRule, RouteRule, ServiceRule},
};

/// A configuration with indexes by host and by key.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: IngressConfiguration,
    routes: Vec<Arc<RouteRule>>,
    /// Routes by host, the longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
    by_key: BTreeMap<KeyDigest, usize>,
}

impl RouteTable {
    /// Builds the indexes of `configuration`.
    pub fn new(configuration: IngressConfiguration) -> RouteTable {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            let length = |index: &usize| configuration.routes[*index].path_prefix.len();
            indexes.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        let mut by_key = BTreeMap::new();
        let organisations = configuration.organisations.iter().flatten();
        for (index, organisation) in organisations.enumerate() {
            for key in &organisation.keys {
                by_key.insert(key.clone(), index);
            }
        }
        let routes = configuration.routes.iter().cloned().map(Arc::new);
        RouteTable {
            routes: routes.collect(),
            configuration,
            by_host,
            by_key,
        }
    }

    /// The indexed configuration.
    pub fn configuration(&self) -> &IngressConfiguration {
        &self.configuration
    }

    /// The route with the longest prefix of `path` at `host`, which is in lower
    /// case and has no port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let indexes = self.by_host.get(host)?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// The organisation that holds the key.
    pub fn organisation(&self, key: &KeyDigest) -> Option<&OrganisationRule> {
        let index = *self.by_key.get(key)?;
        self.configuration.organisations.as_ref()?.get(index)
    }

    /// Whether any request needs a key.
    pub fn has_keys(&self) -> bool {
        self.configuration.organisations.is_some()
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.configuration.services.get(name)
    }

    /// The priority of a request: the organisation's, or the route's if it has none.
    pub fn priority(&self, route: &RouteRule, organisation: Option<&OrganisationId>) -> u8 {
        let rules = self.configuration.organisations.iter().flatten();
        let rule = organisation.and_then(|name| rules.clone().find(|rule| rule.name == *name));
        rule.and_then(|rule| rule.priority)
            .unwrap_or(route.priority)
    }
}
