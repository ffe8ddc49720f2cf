//! Regions in which the requests of a route or an organisation may be served.

use crate::SharedName;
use std::{collections::BTreeSet, sync::Arc};

/// Regions in which a request may be served. Requests of routes and organisations that name none may be served anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeRegions {
    regions: Arc<BTreeSet<SharedName>>,
}

impl HomeRegions {
    /// Creates the set of the named regions; `None` if no region is named.
    #[must_use]
    pub fn from_names(names: impl IntoIterator<Item = SharedName>) -> Option<Self> {
        let regions: BTreeSet<SharedName> = names.into_iter().collect();
        (!regions.is_empty()).then(|| Self { regions: Arc::new(regions) })
    }

    /// Homes of a request whose route has the homes `route` and whose organisation has the homes `organisation`: both bind.
    /// They may have no region in common.
    #[must_use]
    pub fn common(route: Option<&Self>, organisation: Option<&Self>) -> Option<Self> {
        let (Some(route), Some(organisation)) = (route, organisation) else { return route.or(organisation).cloned() };
        let regions = route.regions.intersection(&organisation.regions).cloned().collect();
        Some(Self { regions: Arc::new(regions) })
    }

    /// Whether requests may be served in `region`. A region that is not known is none of them.
    #[must_use]
    pub fn contains(&self, region: &str) -> bool {
        self.regions.contains(region)
    }
}
