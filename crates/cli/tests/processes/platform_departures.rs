//! Tests of upstreams whose entries are removed from the list: because they left it, or because the entries lapsed in an outage
//! of the store.

use crate::support::{EdgeOptions, EdgeSite, PathMatrix, wait_for};
use futures_util::future::join;
use pimentoslip_standin::{RelayRule, StoreFault, TcpRelay};
use std::time::Duration;

/// When an upstream leaves the list, from the view of an edge that loses its path to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// While the edge reads the list through a peer.
    WithoutPath,
    /// Right after the edge has found its path again.
    AfterReturn,
}

/// Waits until the log of an edge contains one of `texts` more often than `before` times, and returns the log.
async fn wait_for_line(site: &EdgeSite, edge: usize, texts: &[&str], before: usize) -> String {
    wait_for(&format!("edge {edge} logs one of {texts:?}"), || async {
        let log = site.edges[edge].process.log();
        (count_lines(&log, texts) > before).then_some(log)
    })
    .await
}

fn count_lines(log: &str, texts: &[&str]) -> usize {
    texts.iter().map(|text| log.matches(text).count()).sum()
}

const MISSING: &str = "event=upstream_missing upstream=desk-1 ";
const DELISTED: &str = "event=upstream_delisted upstream=desk-1 ";

/// Guards against requests to an upstream that has left the list, by an edge that takes the loss of its own path for an outage
/// of the store.
#[actix_rt::test]
async fn an_upstream_that_leaves_the_list_gets_no_request_from_an_edge_that_lost_its_path_to_the_store() {
    for rule in [RelayRule::Refuse, RelayRule::Stall] {
        for departure in [Departure::WithoutPath, Departure::AfterReturn] {
            let (site, relays) = EdgeSite::start_with_relays(3).await;
            for (edge, relay) in relays.iter().enumerate() {
                let case = format!("{rule:?} {departure:?} edge {edge}");
                relay.set_rule(rule);
                let log = wait_for_line(&site, edge, &["event=store_path_lost"], 0).await;
                let removals = count_lines(&log, &[MISSING, DELISTED]);
                if departure == Departure::AfterReturn {
                    relay.set_rule(RelayRule::Pass);
                    wait_for_line(&site, edge, &["event=store_path_regained"], 0).await;
                }
                site.desks[0].leave_list();
                let log = wait_for_line(&site, edge, &[MISSING, DELISTED], removals).await;
                assert!(!log.contains(MISSING), "{case}: {log}");
                let received = site.desks[0].arrivals().len();
                for number in 0..20 {
                    assert_eq!(site.send_quote(edge, &format!("{edge}-{number}")).await.status, 200, "{case}");
                }
                assert_eq!(site.desks[0].arrivals().len(), received, "{case}");
                relay.set_rule(RelayRule::Pass);
                site.desks[0].list_again();
                for other in 0..3 {
                    let listed = "event=upstream_listed upstream=desk-1 ";
                    wait_for(&format!("edge {other} lists the upstream again"), || async {
                        let log = site.edges[other].process.log();
                        (log.rfind(listed) > log.rfind(DELISTED)).then_some(())
                    })
                    .await;
                }
            }
        }
    }
}

/// Removes the entries of `lapsed` desks during an outage of the store that is long enough for them to lapse.
async fn lapse_in_outage(site: &EdgeSite, lapsed: &[usize]) {
    site.store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    for edge in 0..site.edges.len() {
        wait_for_line(site, edge, &["event=store_lost prefix=servers/"], 0).await;
    }
    // Three intervals of the upstreams' heartbeats.
    actix_rt::time::sleep(Duration::from_millis(3_600)).await;
    lapsed.iter().for_each(|desk| site.desks[*desk].leave_list());
    site.store.set_fault(StoreFault::default());
}

/// Guards against refusals after an outage of the store in which all entries have lapsed, and against upstreams that are used for
/// ever although their entries did not return.
#[actix_rt::test]
async fn upstreams_whose_entries_lapsed_in_an_outage_serve_until_these_return_or_are_overdue() {
    let site = EdgeSite::start(2).await;
    lapse_in_outage(&site, &[0, 1]).await;
    for edge in 0..2 {
        wait_for_line(&site, edge, &[MISSING], 0).await;
        assert_eq!(site.send_quote(edge, &format!("missing-{edge}")).await.status, 200);
    }
    site.desks[0].list_again();
    for edge in 0..2 {
        wait_for_line(&site, edge, &["event=upstream_listed_again upstream=desk-1 "], 0).await;
        wait_for_line(&site, edge, &["event=upstream_delisted upstream=desk-2 "], 0).await;
        let received = site.desks[1].arrivals().len();
        for number in 0..10 {
            assert_eq!(site.send_quote(edge, &format!("later-{edge}-{number}")).await.status, 200);
        }
        assert_eq!(site.desks[1].arrivals().len(), received);
    }
}

/// Guards against requests to an upstream that may have left the list while a listed one can take them.
#[actix_rt::test]
async fn an_upstream_whose_entry_is_missing_is_the_last_choice() {
    let site = EdgeSite::start(2).await;
    lapse_in_outage(&site, &[0]).await;
    for edge in 0..2 {
        wait_for_line(&site, edge, &[MISSING], 0).await;
    }
    let received = site.desks[0].arrivals().len();
    for number in 0..20 {
        for edge in 0..2 {
            assert_eq!(site.send_quote(edge, &format!("{edge}-{number}")).await.status, 200);
        }
    }
    assert_eq!(site.desks[0].arrivals().len(), received);
}

/// Guards against a request that is sent to an upstream which has left since it was selected: the first peer that is asked to relay
/// it opens no connection, and the next one does not know of the departure.
#[actix_rt::test]
async fn a_request_is_not_sent_to_an_upstream_that_has_left_since_it_was_selected() {
    let mut site = EdgeSite::without_edges();
    site.write_default_config();
    let mut matrix = PathMatrix::default();
    let mut relays = Vec::new();
    // The last edge reads the store by itself. Peers of the same failure domain relay first.
    for (edge, failure_domain) in ["north", "north", "south"].into_iter().enumerate() {
        let relay = TcpRelay::start(matrix.add_edge(&site).await).await.expect("start a relay");
        let (failure_domain, region) = (failure_domain.to_owned(), format!("land-{edge}"));
        site.start_edge_with(&EdgeOptions { store_address: relay.address, failure_domain, region });
        relays.push(relay);
    }
    site.wait_ready().await;
    matrix.set_all(0, RelayRule::Silence);
    wait_for("all paths of the first edge are lost", || async {
        site.send_quote(0, "early").await;
        site.edges[0].process.log().contains("event=all_paths_lost").then_some(())
    })
    .await;
    site.desks[1].leave_list();
    for edge in 0..3 {
        wait_for_line(&site, edge, &["event=upstream_delisted upstream=desk-2 "], 0).await;
    }
    for rule in [RelayRule::Refuse, RelayRule::Silence] {
        matrix.set(1, site.desks[0].address, rule);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    relays[2].set_rule(RelayRule::Stall);
    let received = site.desks[0].arrivals().len();
    let departure = async {
        actix_rt::time::sleep(Duration::from_millis(60)).await;
        site.desks[0].leave_list();
        wait_for_line(&site, 0, &[DELISTED], 0).await;
        // A request that was sent just before arrives meanwhile.
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        site.desks[0].arrivals().len()
    };
    let (reply, received_until) = join(site.send_quote(0, "late"), departure).await;
    assert_eq!(site.desks[0].arrivals().len(), received_until, "{reply:?} {}", site.edges[0].process.log());
    // A request that was sent before the edge knew of the departure is allowed.
    let expected = if received_until == received { (503, "no_upstream") } else { (200, "answer to late") };
    assert_eq!((reply.status, reply.body.as_str()), expected);
}
