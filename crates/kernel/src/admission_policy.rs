//! Admission policies for waiting requests, registered under the names used in settings.

/// Order in which waiting requests are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Weighted fair shares of tokens between organisations.
    #[default]
    Fair,
    /// Order of arrival.
    Fifo,
}

/// Registration of an admission policy.
#[derive(Debug)]
pub struct AdmissionPlugin {
    /// Name of the policy in settings.
    pub name: &'static str,
    /// Policy selected by the name.
    pub policy: AdmissionPolicy,
}

inventory::collect!(AdmissionPlugin);
inventory::submit! { AdmissionPlugin { name: "fair", policy: AdmissionPolicy::Fair } }
inventory::submit! { AdmissionPlugin { name: "fifo", policy: AdmissionPolicy::Fifo } }

impl AdmissionPolicy {
    /// Policy registered under `name`; `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let mut plugins = inventory::iter::<AdmissionPlugin>.into_iter();
        plugins.find(|plugin| plugin.name == name).map(|plugin| plugin.policy)
    }

    /// Names of all registered policies, sorted.
    #[must_use]
    pub fn names() -> Vec<&'static str> {
        let mut names: Vec<&str> = inventory::iter::<AdmissionPlugin>.into_iter().map(|plugin| plugin.name).collect();
        names.sort_unstable();
        names
    }
}
