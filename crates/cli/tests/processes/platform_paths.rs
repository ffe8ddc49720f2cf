//! Tests of edges that have lost their paths to the upstreams, while callers, the store and the other edges reach them.

use crate::support::{PathMatrix, job_item, job_submission, wait_for};
use futures_util::future;
use pimentoslip_standin::{PlatformUpstream, RelayRule};
use std::time::{Duration, Instant};

/// Ways in which paths are lost.
const LOSSES: [RelayRule; 3] = [RelayRule::Silence, RelayRule::Refuse, RelayRule::RefuseNew];
/// Time after which the callers of an edge without paths must be served like those of other edges; the platform's default.
const UNDISTURBED: Duration = Duration::from_millis(3_000);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends quotes one after the other for `time`, and returns the number of those that were sent and served.
async fn count_served(site: &crate::support::EdgeSite, edge: usize, name: &str, time: Duration) -> (u32, u32) {
    let started_at = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while started_at.elapsed() < time {
        let reply = site.send_quote(edge, &format!("{name}-{edge}-{sent}")).await;
        sent += 1;
        served += u32::from(reply.status == 200);
        actix_rt::time::sleep(PAUSE).await;
    }
    (sent, served)
}

/// Guards against callers that are refused, or wait in vain, at an edge without paths to the upstreams.
#[actix_rt::test]
async fn callers_of_an_edge_without_paths_to_the_upstreams_are_served_like_those_of_the_others() {
    for rule in LOSSES {
        let (site, matrix) = PathMatrix::start_site(&["north", "south", "south"]).await;
        count_served(&site, 0, "warm", Duration::from_millis(500)).await;
        matrix.set_all(0, rule);
        count_served(&site, 0, "early", UNDISTURBED).await;
        let cut = count_served(&site, 0, "late", Duration::from_secs(3));
        let sound = count_served(&site, 1, "late", Duration::from_secs(3));
        let ((sent, served), (others_sent, others_served)) = future::join(cut, sound).await;
        let is_alike = f64::from(served * 3 * others_sent) >= f64::from(others_served * 2 * sent);
        assert!(is_alike, "{rule:?}: {served} of {sent} are served, {others_served} of {others_sent} at another edge");
    }
}

/// Guards against callers that are refused because the peers that are asked first have lost their paths too, and do not know it.
#[actix_rt::test]
async fn callers_are_served_although_most_peers_have_lost_their_paths_without_noticing() {
    for rule in LOSSES {
        // The peers of the other failure domain are asked first.
        let (site, matrix) = PathMatrix::start_site(&["north", "south", "south", "north"]).await;
        count_served(&site, 0, "warm", Duration::from_millis(500)).await;
        (0..3).for_each(|edge| matrix.set_all(edge, rule));
        count_served(&site, 0, "early", UNDISTURBED).await;
        let (sent, served) = count_served(&site, 0, "late", Duration::from_secs(3)).await;
        assert!(served * 3 >= sent * 2, "{rule:?}: {served} of {sent} are served: {}", site.edges[0].process.log());
    }
}

/// Guards against jobs that make no progress because their owner has no paths to the upstreams.
#[actix_rt::test]
async fn items_of_an_owner_without_paths_to_the_upstreams_are_completed() {
    for rule in LOSSES {
        let (site, matrix) = PathMatrix::start_site(&["north", "south"]).await;
        (0..2).for_each(|edge| matrix.set_all(edge, rule));
        let items: Vec<_> = (0..6).map(|item| job_item(&format!("i-{item}"), 20, item % 2 == 0)).collect();
        assert_eq!(site.submit_job(0, "job", &job_submission(0, &items)).await.status, 202);
        let owner = wait_for("an edge owns the job", || async {
            (0..2).find(|edge| site.edges[*edge].process.log().contains("event=job_begun"))
        })
        .await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        matrix.set_all(1 - owner, RelayRule::Pass);
        let results = actix_rt::time::timeout(Duration::from_secs(15), site.all_results(1 - owner, "job")).await;
        let results = results.unwrap_or_else(|_| {
            panic!("{rule:?}: {}\n{}", site.edges[owner].process.log(), site.edges[1 - owner].process.log())
        });
        assert!(results.iter().all(|result| result["state"] == "completed"), "{rule:?}: {results:?}");
    }
}

/// Guards against weights that nobody loads because the holder of the duty has no paths to the upstreams.
#[actix_rt::test]
async fn weights_are_loaded_although_the_holder_of_the_duty_has_lost_its_paths() {
    for rule in LOSSES {
        let (site, matrix) = PathMatrix::start_site(&["north", "south", "south"]).await;
        let holder = wait_for("an edge holds the duty", || async {
            (0..3).find(|edge| site.edges[*edge].process.log().contains("event=duty_taken"))
        })
        .await;
        matrix.set_all(holder, rule);
        // The requests of its callers show the edge that its paths are lost.
        count_served(&site, holder, "early", UNDISTURBED).await;
        site.store.put("op/version/verse", &serde_json::json!({ "model": "verse", "version": 2 }));
        let loaded = wait_for("every engine is ordered to load the version", || async {
            let is_ordered =
                |engine: &PlatformUpstream| engine.weight_orders().iter().any(|order| order["version"] == 2);
            site.engines.iter().all(is_ordered).then_some(())
        });
        let loaded = actix_rt::time::timeout(Duration::from_secs(15), loaded).await;
        assert!(loaded.is_ok(), "{rule:?}: {}", site.edges[holder].process.log());
        let reports = site.provider.reports();
        let tokens: Vec<u64> = reports.iter().map(|report| report.fencing_token).collect();
        assert!(tokens.is_sorted(), "{rule:?}: {tokens:?}");
        assert_ne!(reports.last().map(|report| &report.holder), Some(&site.edges[holder].vm), "{rule:?}");
    }
}
