//! Services behind routes.

use crate::SharedName;

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name.
    pub name: SharedName,
    /// Models whose weights its upstreams hold; empty for plain services.
    pub models: Vec<SharedName>,
}
