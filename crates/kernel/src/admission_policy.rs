//! Ways of ordering waiting requests, registered by name.

/// In which order waiting requests are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// By weighted fair shares of tokens between organisations.
    #[default]
    Fair,
    /// In order of arrival.
    Fifo,
}

/// A policy's registration.
#[derive(Debug)]
pub struct AdmissionPlugin {
    /// Name used in settings.
    pub name: &'static str,
    /// The policy it stands for.
    pub policy: AdmissionPolicy,
}

inventory::collect!(AdmissionPlugin);
inventory::submit! { AdmissionPlugin { name: "fair", policy: AdmissionPolicy::Fair } }
inventory::submit! { AdmissionPlugin { name: "fifo", policy: AdmissionPolicy::Fifo } }

impl AdmissionPolicy {
    /// The policy registered under `name`.
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
