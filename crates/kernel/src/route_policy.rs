//! Ways of choosing an upstream, registered by name.

/// A way of choosing among eligible upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Each in turn, whatever its load.
    RoundRobin,
    /// The less loaded of two random ones, same failure domain first.
    TwoChoices,
    /// As `TwoChoices`, but the upstream that cached the prompt's prefix is one of the two.
    #[default]
    PrefixTwoChoices,
}

/// A policy's registration.
#[derive(Debug)]
pub struct RoutePlugin {
    /// Name used in settings.
    pub name: &'static str,
    /// The policy it stands for.
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
    /// The policy registered under `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        inventory::iter::<RoutePlugin>.into_iter().find(|plugin| plugin.name == name).map(|plugin| plugin.policy)
    }
}
