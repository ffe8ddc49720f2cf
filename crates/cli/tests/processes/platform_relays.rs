//! Tests of requests that an edge without paths to the upstreams sends through its peers: they get
//! the same answers as direct ones.

use crate::support::{EdgeSite, HOST, PathMatrix, event_numbers, wait_for};
use awc::Client;
use futures_util::{StreamExt, future};
use pimentoslip_standin::{RecordedCall, RelayRule, UpstreamFault};
use pimentoslip_wire::{
    encode,
    peer::{RELAY_ANSWERED, RELAY_RESULT_HEADER, RelaySender, RelayedCall},
    stored::PresenceEntry,
};
use serde_bytes::ByteBuf;
use std::{cell::Cell, time::Duration};

/// Starts a site with `peers` edges that reach the upstreams, beside the edge 0, which does not.
async fn relayed_site(peers: usize) -> (EdgeSite, PathMatrix) {
    let mut failure_domains = vec!["south"; peers];
    failure_domains.insert(0, "north");
    let (site, matrix) = PathMatrix::start_site(&failure_domains).await;
    matrix.set_all(0, RelayRule::Refuse);
    for number in 0..4 {
        assert_eq!(site.send_quote(0, &format!("first-{number}")).await.status, 200);
    }
    assert!(relayed_count(&site, "first") >= 2, "{}", site.edges[0].process.log());
    (site, matrix)
}

/// Number of requests with an id that starts with `name` that peers have relayed.
fn relayed_count(site: &EdgeSite, name: &str) -> usize {
    let text = format!("event=relayed request_id={name}");
    site.edges.iter().map(|edge| edge.process.log().matches(&text).count()).sum()
}

/// Runs of the request `id` at the plain upstreams.
fn desk_runs(site: &EdgeSite, id: &str) -> Vec<RecordedCall> {
    site.desks.iter().flat_map(|desk| desk.recorded_calls()).filter(|call| call.id == id).collect()
}

/// Guards against a relayed request that runs twice, or is said not to have run, because its answer was lost between the
/// upstream and the peer.
#[actix_rt::test]
async fn a_relayed_request_runs_once_after_each_fault_of_its_upstream() {
    let (site, _matrix) = relayed_site(2).await;
    let faults = [UpstreamFault::LoseAnswer, UpstreamFault::WrongId, UpstreamFault::Truncate, UpstreamFault::Hang];
    for (number, fault) in faults.into_iter().enumerate() {
        let id = format!("once-{number}");
        site.desks.iter().for_each(|desk| desk.set_faults([fault]));
        let reply = site.send_order(0, &id).await;
        let expected = if fault == UpstreamFault::Hang { 504 } else { 502 };
        assert_eq!(reply.status, expected, "{fault:?}: {reply:?}");
        let runs = desk_runs(&site, &id);
        assert_eq!(runs.len(), 1, "{fault:?}");
        assert!(runs[0].deadline_ms <= 1_500, "the peer's deadline is not later than the route's: {runs:?}");
        assert_eq!((runs[0].organisation.as_str(), runs[0].has_key), ("rose", false));
        site.desks.iter().for_each(|desk| desk.set_faults([]));
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let quote_id = format!("quote-{number}");
        site.desks[0].set_faults([fault]);
        let reply = site.send_quote(0, &quote_id).await;
        let reply = if reply.status == 200 { reply } else { site.send_quote(0, &quote_id).await };
        assert_eq!((reply.status, reply.body), (200, format!("answer to {quote_id}")), "{fault:?}");
        site.desks[0].set_faults([]);
        actix_rt::time::sleep(Duration::from_millis(600)).await;
    }
}

/// Guards against a request that runs twice, or a caller who waits in vain, because the peer that relays it ends.
#[actix_rt::test]
async fn a_peer_that_ends_while_it_relays_leaves_no_request_unanswered_or_run_twice() {
    for ending in ["killed", "frozen", "stopped"] {
        let (mut site, _matrix) = relayed_site(2).await;
        site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Hang]));
        let mut peers = site.edges.split_off(1);
        let end_relay = async {
            wait_for("the order runs", || async { (!desk_runs(&site, "order").is_empty()).then_some(()) }).await;
            for peer in &mut peers {
                match ending {
                    "killed" => peer.process.kill(),
                    "frozen" => peer.process.freeze(),
                    _ => peer.process.terminate(),
                }
            }
        };
        let (reply, ()) = future::join(site.send_order(0, "order"), end_relay).await;
        assert!(matches!(reply.status, 502 | 504), "{ending}: {reply:?}");
        assert_eq!(desk_runs(&site, "order").len(), 1, "{ending}");
    }
}

/// Guards against callers that are not served because one of several peers ends, in whichever way.
#[actix_rt::test]
async fn callers_are_served_through_another_peer_after_one_has_ended() {
    for ending in ["killed", "frozen", "stopped"] {
        let (mut site, matrix) = relayed_site(3).await;
        matrix.set_all(2, RelayRule::Silence);
        let process = &mut site.edges[1].process;
        match ending {
            "killed" => process.kill(),
            "frozen" => process.freeze(),
            _ => process.terminate(),
        }
        let mut served = 0;
        for number in 0..40 {
            served += u32::from(site.send_quote(0, &format!("other-{number}")).await.status == 200);
        }
        let logs: Vec<String> = site.edges.iter().map(|edge| edge.process.log()).collect();
        assert!(served >= 38, "{ending}: {served} of 40 are served: {}", logs.join("\n"));
    }
}

/// Guards against a peer that takes its path to an upstream for lost for ever, because it fails again right after a probe has
/// found that it works.
#[actix_rt::test]
async fn a_peer_relays_again_after_its_path_was_lost_twice() {
    let (mut site, matrix) = PathMatrix::start_site(&["north", "south", "south"]).await;
    site.desks[0].leave_list();
    let address = site.desks[1].address;
    matrix.set(0, address, RelayRule::Refuse);
    let tries = Cell::new(0);
    for loss in 1..3 {
        matrix.set(1, address, RelayRule::Refuse);
        wait_for("the peer loses its path", || async {
            tries.set(tries.get() + 1);
            site.send_quote(0, &format!("lost-{}", tries.get())).await;
            (site.edges[1].process.log().matches("event=connection_failed").count() == loss).then_some(())
        })
        .await;
        matrix.set(1, address, RelayRule::Pass);
        if loss == 1 {
            let is_regained = || site.edges[1].process.log().contains("event=path_regained");
            wait_for("a probe succeeds", || async { is_regained().then_some(()) }).await;
        }
    }
    site.edges[2].process.kill();
    // Three seconds after a loss, callers are served like others; the peer's path has been back for as long.
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let mut served = 0;
    for number in 0..20 {
        served += u32::from(site.send_quote(0, &format!("later-{number}")).await.status == 200);
    }
    assert_eq!(served, 20, "{}\n{}", site.edges[0].process.log(), site.edges[1].process.log());
}

/// Guards against an upstream that counts as down because the peers that are asked have lost the same path, while another one
/// reaches it.
#[actix_rt::test]
async fn callers_are_served_through_the_only_peer_that_has_not_lost_the_same_path() {
    let (site, matrix) = PathMatrix::start_site(&["north", "south", "south", "south"]).await;
    site.desks[0].leave_list();
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let address = site.desks[1].address;
    for sound in 1..4 {
        (0..4).filter(|edge| *edge != sound).for_each(|edge| matrix.set(edge, address, RelayRule::Refuse));
        // Three seconds after a loss, the callers of this edge are served like others.
        for number in 0..30 {
            site.send_quote(0, &format!("early-{sound}-{number}")).await;
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        let mut served = 0;
        for number in 0..20 {
            served += u32::from(site.send_quote(0, &format!("late-{sound}-{number}")).await.status == 200);
        }
        assert_eq!(served, 20, "edge-{sound} relays: {}", site.edges[0].process.log());
        (0..4).for_each(|edge| matrix.set(edge, address, RelayRule::Pass));
        let tries = Cell::new(0);
        wait_for("the direct path is used again", || async {
            tries.set(tries.get() + 1);
            let id = format!("back-{sound}-{}", tries.get());
            let is_served = site.send_quote(0, &id).await.status == 200;
            (is_served && relayed_count(&site, &id) == 0).then_some(())
        })
        .await;
    }
}

/// Guards against events that a relay holds back, joins or cuts, and against upstreams that work for a caller who has left.
#[actix_rt::test]
async fn a_relayed_stream_arrives_as_it_is_generated_and_ends_with_its_caller() {
    const EVENTS: u64 = 30;
    let (site, _matrix) = relayed_site(2).await;
    for (number, fault) in
        [UpstreamFault::CutAfter(1), UpstreamFault::CutAfter(7), UpstreamFault::LoseAnswer].into_iter().enumerate()
    {
        site.engines[0].set_faults([fault]);
        for attempt in 0..4 {
            let reply = site.send_talk(0, &format!("talk-{number}-{attempt}"), EVENTS, &[]).await;
            let events: Vec<u64> = (1..=EVENTS).collect();
            assert_eq!((reply.status, event_numbers(&reply.body)), (200, events), "{fault:?}");
        }
        site.engines[0].set_faults([]);
    }
    let mut response = site.open_talk(0, "endless", 1_000_000).await.expect("a response");
    let mut body = String::new();
    while event_numbers(&body).len() < 5 {
        let chunk = response.next().await.expect("the stream continues").expect("a chunk");
        body.push_str(&String::from_utf8_lossy(&chunk));
    }
    let running = || site.engines.iter().map(|engine| engine.running_requests()).sum::<usize>();
    assert_eq!((running(), relayed_count(&site, "endless")), (1, 1), "the engine generates more");
    drop(response);
    wait_for("the engine stops", || async { (running() == 0).then_some(()) }).await;
}

/// The proof that a call is the first one of an edge. Its own calls have lower numbers.
pub fn relay_sender(site: &EdgeSite, edge: usize) -> RelaySender {
    let vm = &site.edges[edge].vm;
    let value = site.store.contents().value(&format!("p/w/vm/{vm}")).expect("the presence of the edge");
    let presence: PresenceEntry = pimentoslip_wire::decode(&value).expect("a presence");
    RelaySender {
        daemon: vm.as_str().into(),
        incarnation: presence.incarnation,
        token: presence.relay_token.clone(),
        number: 1_000,
    }
}

/// Asks an edge to relay the request `id` to the first desk, and returns the result that it names.
pub async fn relay_quote(site: &EdgeSite, edge: usize, sender: RelaySender, id: &str) -> String {
    let call = RelayedCall {
        sender,
        upstream: "desk-1".into(),
        started: 1,
        id: id.into(),
        method: "POST".to_owned(),
        path: "/quote/roses".to_owned(),
        host: HOST.into(),
        headers: Vec::new(),
        organisation: Some("rose".into()),
        last_event: None,
        left_ms: 1_000,
        body: ByteBuf::new(),
    };
    let url = format!("http://{}/peer/upstream", site.edges[edge].control_address);
    let response = Client::default().post(url).send_body(encode(&call).expect("an encodable call")).await;
    let headers = response.expect("a response").headers().clone();
    headers.get(RELAY_RESULT_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Guards against requests of processes that are no daemons, or of an earlier call, which reach an upstream.
#[actix_rt::test]
async fn a_forged_or_repeated_call_to_relay_reaches_no_upstream() {
    let site = EdgeSite::start(2).await;
    let sender = relay_sender(&site, 0);
    let forged = [
        RelaySender { token: "".into(), ..sender.clone() },
        RelaySender { token: "0123456789abcdef0123456789abcdef".into(), ..sender.clone() },
        RelaySender { incarnation: sender.incarnation + 1, ..sender.clone() },
        RelaySender { daemon: "edge-1".into(), ..sender.clone() },
        RelaySender { daemon: "nobody".into(), ..sender.clone() },
    ];
    let relay = async |sender: RelaySender, id: &str| relay_quote(&site, 1, sender, id).await;
    for (number, sender) in forged.into_iter().enumerate() {
        assert_eq!(relay(sender.clone(), &format!("forged-{number}")).await, "forbidden", "{sender:?}");
    }
    assert_eq!(relay(sender.clone(), "true").await, RELAY_ANSWERED);
    assert_eq!(relay(sender, "repeated").await, "forbidden");
    let ran: Vec<String> = site.desks.iter().flat_map(|desk| desk.recorded_calls()).map(|call| call.id).collect();
    assert_eq!(ran, ["true"]);
}
