//! Request IDs, which are unique in a site.

use std::{ops::Deref, sync::Arc};

/// ID of a request: `DAEMON-INCARNATION-COUNT` for callers' requests, `STEP/SAMPLE/ATTEMPT` for samples. Each attempt
/// at an upstream adds a numeric suffix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Wraps `id`, which must be unique in the site.
    #[must_use]
    pub fn new(id: impl Into<Arc<str>>) -> Self {
        Self(id.into())
    }

    /// This ID with `suffix` appended, as in `ID.SUFFIX`. Identifies one attempt at the request.
    #[must_use]
    pub fn with_suffix(&self, suffix: impl std::fmt::Display) -> Self {
        Self(format!("{}.{suffix}", self.0).into())
    }

    /// Text of the ID, without copying it.
    #[must_use]
    pub fn to_arc(&self) -> Arc<str> {
        self.0.clone()
    }
}

impl Deref for RequestId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}
