//! Pool of upstreams that can run an item.

use crate::SharedName;

/// What an upstream must have to run an item, beside the version of the weights that the whole job needs. Items of one pool are
/// run by the same upstreams.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemPool {
    /// Service of the upstreams.
    pub service: SharedName,
    /// Model that the item names; `None` if it names none.
    pub model: Option<SharedName>,
    /// Software that generated the item's text; `None` if it has none yet.
    pub software: Option<SharedName>,
}
