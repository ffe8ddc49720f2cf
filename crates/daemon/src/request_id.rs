//! Ids of requests, unique in a site.

use std::{ops::Deref, sync::Arc};

/// `DAEMON-INCARNATION-COUNT`, or one passed on by another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Takes over an id.
    #[must_use]
    pub fn new(id: impl Into<Arc<str>>) -> Self {
        Self(id.into())
    }

    /// The id of a part of this request.
    #[must_use]
    pub fn with_suffix(&self, part: impl std::fmt::Display) -> Self {
        Self(format!("{}.{part}", self.0).into())
    }

    /// The shared text.
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
