//! One version of the operators' traffic configuration.

use super::{ClientLimits, HomeRegions, RouteRule, ServiceRule};
use crate::SharedName;
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Permissions that an API key grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Organisation that the key belongs to.
    pub organisation: SharedName,
    /// Priority of the organisation's requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
}

/// Complete traffic configuration at one version.
#[derive(Clone, Debug, Default)]
pub struct TrafficConfig {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host; those of one host by descending length of their prefix.
    routes: HashMap<SharedName, Vec<Arc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<SharedName, ServiceRule>,
    /// Permissions by API key.
    keys: HashMap<SharedName, KeyGrant>,
    /// Homes of the organisations that have some, by their names.
    organisation_homes: HashMap<SharedName, HomeRegions>,
    /// Limits for the requests of clients.
    pub limits: ClientLimits,
    /// Whether requests need a key, except on routes that accept requests without one.
    pub requires_key: bool,
}

impl TrafficConfig {
    /// Creates a configuration. `keys` is `None` if the operators have configured no organisations.
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
        let requires_key = keys.is_some();
        let keys = keys.unwrap_or_default();
        Self { version, routes, services, keys, organisation_homes: HashMap::new(), limits, requires_key }
    }

    /// The configuration with `homes` as those of the organisations, by their names.
    #[must_use]
    pub fn with_organisation_homes(self, homes: HashMap<SharedName, HomeRegions>) -> Self {
        Self { organisation_homes: homes, ..self }
    }

    /// Regions in which requests of `organisation` on the route `rule` may be served; `None` for any.
    #[must_use]
    pub fn homes(&self, rule: &RouteRule, organisation: Option<&str>) -> Option<HomeRegions> {
        let organisation_homes = organisation.and_then(|organisation| self.organisation_homes.get(organisation));
        HomeRegions::common(rule.homes.as_ref(), organisation_homes)
    }

    /// Route for a request: that with the longest prefix of `path` among the routes of `host`; `None` if no route
    /// matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// Permissions that `key` grants; `None` if the key is not valid.
    #[must_use]
    pub fn grant(&self, key: &str) -> Option<&KeyGrant> {
        self.keys.get(key)
    }

    /// Priority of `organisation`, which overrides that of the route if it is set; `None` if there is no such organisation.
    #[must_use]
    pub fn organisation_priority(&self, organisation: &str) -> Option<Option<u32>> {
        self.keys.values().find(|grant| *grant.organisation == *organisation).map(|grant| grant.priority)
    }

    /// Whether some route accepts batch jobs without a key.
    #[must_use]
    pub fn accepts_anonymous_jobs(&self) -> bool {
        self.routes().any(|rule| rule.allows_anonymous && rule.batch_rule().is_some())
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flatten()
    }
}
