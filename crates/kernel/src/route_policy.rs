//! Load balancing policies, registered under the names used in settings.

/// Policy for choosing one of the eligible upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Each upstream in turn, regardless of its load.
    RoundRobin,
    /// The less loaded of two random upstreams. Between equals, the one in the daemon's failure domain.
    TwoChoices,
    /// `TwoChoices`, except that the upstream assigned to the prompt's prefix is preferred while it is not much more
    /// loaded, because it is likely to have the prefix cached.
    #[default]
    PrefixTwoChoices,
}

/// Registration of a load balancing policy.
#[derive(Debug)]
pub struct RoutePlugin {
    /// Name of the policy in settings.
    pub name: &'static str,
    /// Policy selected by the name.
    pub policy: RoutePolicy,
}

inventory::collect!(RoutePlugin);
inventory::submit! { RoutePlugin { name: "round-robin", policy: RoutePolicy::RoundRobin } }
inventory::submit! { RoutePlugin { name: "two-choices", policy: RoutePolicy::TwoChoices } }
inventory::submit! { RoutePlugin { name: "prefix-two-choices", policy: RoutePolicy::PrefixTwoChoices } }

/// Names of all registered policies, sorted.
#[must_use]
pub fn route_policy_names() -> Vec<&'static str> {
    let mut names: Vec<&str> = inventory::iter::<RoutePlugin>.into_iter().map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

impl RoutePolicy {
    /// Policy registered under `name`; `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        inventory::iter::<RoutePlugin>.into_iter().find(|plugin| plugin.name == name).map(|plugin| plugin.policy)
    }
}
