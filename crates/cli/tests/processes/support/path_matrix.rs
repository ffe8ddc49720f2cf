//! Relays between each edge and each upstream, with which a test breaks the paths of one edge only.

use super::{EdgeOptions, EdgeSite};
use pimentoslip_standin::{RelayRule, StoreView, TcpRelay};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Relays of one edge, and the view of the store in which it finds them.
struct EdgePaths {
    view: Arc<StoreView>,
    /// Relays by the upstreams' own addresses.
    relays: BTreeMap<SocketAddr, TcpRelay>,
}

/// Paths from edges to upstreams.
#[derive(Default)]
pub struct PathMatrix {
    edges: Vec<EdgePaths>,
}

impl PathMatrix {
    /// Starts a site with an edge in each of `failure_domains`, whose paths to all upstreams go through relays. Each edge
    /// is in a region of its own, so that it reads the store by itself.
    pub async fn start_site(failure_domains: &[&str]) -> (EdgeSite, Self) {
        let mut site = EdgeSite::without_edges();
        site.write_default_config();
        let mut matrix = Self::default();
        for (edge, failure_domain) in failure_domains.iter().enumerate() {
            let store_address = matrix.add_edge(&site).await;
            let region = format!("land-{edge}");
            site.start_edge_with(&EdgeOptions { store_address, failure_domain: (*failure_domain).to_owned(), region });
        }
        site.wait_ready().await;
        (site, matrix)
    }

    /// Adds the paths of the next edge, and returns the address at which it finds them in the store.
    pub async fn add_edge(&mut self, site: &EdgeSite) -> SocketAddr {
        let (store_address, view) = site.store.open_view().expect("open a view of the store");
        self.edges.push(EdgePaths { view, relays: BTreeMap::new() });
        self.add_upstreams(site).await;
        store_address
    }

    /// Adds relays for the upstreams that have none, which are listed again then.
    pub async fn add_upstreams(&mut self, site: &EdgeSite) {
        for upstream in site.desks.iter().chain(&site.engines) {
            self.add_address(upstream.address).await;
            upstream.list_again();
        }
    }

    /// Adds relays for the upstream at `address`, which must not be listed yet.
    pub async fn add_address(&mut self, address: SocketAddr) {
        for paths in &mut self.edges {
            if !paths.relays.contains_key(&address) {
                let relay = TcpRelay::start(address).await.expect("start a relay");
                paths.view.list_at(address, relay.address);
                paths.relays.insert(address, relay);
            }
        }
    }

    /// Sets the rule of the path of an edge to the upstream at `address`.
    pub fn set(&self, edge: usize, address: SocketAddr, rule: RelayRule) {
        self.edges[edge].relays[&address].set_rule(rule);
    }

    /// Sets the rule of all paths of an edge.
    pub fn set_all(&self, edge: usize, rule: RelayRule) {
        self.edges[edge].relays.values().for_each(|relay| relay.set_rule(rule));
    }
}
