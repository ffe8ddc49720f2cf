//! One version of the operators' configuration.

use super::{ClientLimits, RouteRule, ServiceRule};
use crate::SharedName;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// What a key grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Organisation that holds the key.
    pub organisation: SharedName,
    /// The organisation's rank, which goes before the route's.
    pub priority: Option<u32>,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default)]
pub struct TrafficConfig {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host; within a host the longest prefix first.
    routes: HashMap<SharedName, Vec<Arc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<SharedName, ServiceRule>,
    /// Grants by key.
    keys: HashMap<SharedName, KeyGrant>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Whether requests on routes that are not open need a key.
    pub requires_key: bool,
}

impl TrafficConfig {
    /// Builds a configuration. `keys` is none where the operators use no organisations.
    #[must_use]
    pub fn new(
        version: u64,
        rules: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        keys: Option<HashMap<SharedName, KeyGrant>>,
        limits: ClientLimits,
    ) -> Self {
        let mut routes: HashMap<SharedName, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in rules {
            routes.entry(rule.host.clone()).or_default().push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let keyed = keys.is_some();
        Self { version, routes, services, keys: keys.unwrap_or_default(), limits, requires_key: keyed }
    }

    /// The route of a request: the longest prefix of `path` among the routes of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// What `key` grants, if it is valid.
    #[must_use]
    pub fn grant(&self, key: &str) -> Option<&KeyGrant> {
        self.keys.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flatten()
    }
}
