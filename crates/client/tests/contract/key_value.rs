//! The key-value service.

use super::endpoint;
use pimentoslip_client::{EtcdClient, KeyValueClient, PlatformError};
use pimentoslip_standin::{KvFault, start_kv};
use pimentoslip_wire::kv::TxnRequest;
use std::{sync::Arc, time::Duration};

const LOOPBACK: &str = "127.0.0.1:0";

fn client() -> EtcdClient {
    EtcdClient::new(endpoint("KV", || start_kv(LOOPBACK)), Arc::default())
}

/// A prefix that no earlier run has used.
fn prefix(test: &str) -> String {
    format!("contract/{test}/{}/", std::process::id())
}

#[actix_rt::test]
async fn a_write_holds_only_under_its_comparison() {
    let (client, prefix) = (client(), prefix("cas"));
    let key = format!("{prefix}one");
    let create = TxnRequest::default().expect(&key, 0).put(&key, b"a".to_vec(), 0);
    let created = client.commit(&create).await.expect("an answer");
    assert!(created.succeeded);
    assert!(!client.commit(&create).await.expect("an answer").succeeded, "it exists now");
    let stored = client.get(&key).await.expect("an answer").kvs.remove(0);
    assert_eq!((stored.value.as_slice(), stored.mod_revision), (&b"a"[..], created.header.revision));
    let change = TxnRequest::default().expect(&key, stored.mod_revision).put(&key, b"b".to_vec(), 0);
    let changed = client.commit(&change).await.expect("an answer");
    assert!(changed.succeeded && changed.header.revision > created.header.revision);
    assert!(!client.commit(&change).await.expect("an answer").succeeded, "the revision has moved on");
}

#[actix_rt::test]
async fn a_transaction_is_all_or_nothing() {
    let (client, prefix) = (client(), prefix("all"));
    let (one, two) = (format!("{prefix}one"), format!("{prefix}two"));
    let both = TxnRequest::default().put(&one, b"1".to_vec(), 0).put(&two, b"2".to_vec(), 0);
    assert!(client.commit(&both).await.expect("an answer").succeeded);
    let half = TxnRequest::default().expect(&one, 0).put(&one, b"x".to_vec(), 0).put(&two, b"x".to_vec(), 0);
    assert!(!client.commit(&half).await.expect("an answer").succeeded);
    let stored = client.range(&prefix, 0).await.expect("an answer").kvs;
    assert_eq!(stored.iter().map(|entry| entry.value.as_slice()).collect::<Vec<_>>(), [b"1", b"2"]);
    assert_eq!(stored[0].mod_revision, stored[1].mod_revision, "one write, one revision");
}

#[actix_rt::test]
async fn a_range_gives_what_is_newer_and_the_revision_read_at() {
    let (client, prefix) = (client(), prefix("range"));
    let mut revisions = Vec::new();
    for name in ["a", "b", "c"] {
        let put = TxnRequest::default().put(&format!("{prefix}{name}"), name.into(), 0);
        revisions.push(client.commit(&put).await.expect("an answer").header.revision);
    }
    let newer = client.range(&prefix, revisions[1]).await.expect("an answer");
    assert_eq!(newer.kvs.iter().map(|entry| entry.value.as_slice()).collect::<Vec<_>>(), [b"b", b"c"]);
    assert!(newer.header.revision >= revisions[2]);
    assert!(client.range(&format!("{prefix}nothing"), 0).await.expect("an answer").kvs.is_empty());
}

#[actix_rt::test]
async fn a_key_ends_with_its_lease() {
    let (client, prefix) = (client(), prefix("lease"));
    let key = format!("{prefix}held");
    let lease = client.grant_lease(2_000).await.expect("a lease");
    let put = TxnRequest::default().expect(&key, 0).put(&key, b"x".to_vec(), lease);
    assert!(client.commit(&put).await.expect("an answer").succeeded);
    client.renew_lease(lease).await.expect("it lives");
    // However slow the machine, the key is gone at some time after the lease was last renewed.
    while !client.get(&key).await.expect("an answer").kvs.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(client.renew_lease(lease).await, Err(PlatformError::LeaseNotFound));
    let lease = client.grant_lease(60_000).await.expect("a lease");
    let put = TxnRequest::default().expect(&key, 0).put(&key, b"x".to_vec(), lease);
    assert!(client.commit(&put).await.expect("an answer").succeeded, "an ended key does not exist");
    client.revoke_lease(lease).await.expect("it ends");
    assert!(client.get(&key).await.expect("an answer").kvs.is_empty());
}

#[actix_rt::test]
async fn a_watch_tells_of_writes_past_its_revision() {
    let (client, prefix) = (client(), prefix("watch"));
    let first =
        client.commit(&TxnRequest::default().put(&format!("{prefix}a"), b"1".to_vec(), 0)).await.expect("an answer");
    let since = first.header.revision;
    assert_eq!(client.watch(&prefix, since).await.expect("an event"), since, "what is there already counts");
    let (waiting, watched) = (client.clone(), prefix.clone());
    let watch = actix_rt::spawn(async move { waiting.watch(&watched, since + 1).await });
    let second =
        client.commit(&TxnRequest::default().put(&format!("{prefix}b"), b"2".to_vec(), 0)).await.expect("an answer");
    assert!(watch.await.expect("a task").expect("an event") >= second.header.revision);
}

/// Faults that only the stand-in can be told to have, and what the client makes of them.
#[actix_rt::test]
async fn failures_are_told_and_lost_answers_leave_the_write() {
    let (address, _) = start_kv(LOOPBACK).expect("a stand-in").spawn();
    let client = EtcdClient::new(address.to_string().into(), Arc::default());
    let set = async |fault: KvFault| {
        let request = awc::Client::default().put(format!("http://{address}/standin/fault"));
        request.send_json(&fault).await.expect("a fault");
    };
    let put = |name: &str| TxnRequest::default().expect(name, 0).put(name, b"x".to_vec(), 0);
    // Fault, whether the write is confirmed, and whether it took effect.
    let cases = [
        (KvFault::default(), true, true),
        (KvFault { down: true, ..KvFault::default() }, false, false),
        (KvFault { lose_answers: 1, ..KvFault::default() }, false, true),
        (KvFault { slow_ms: 50, ..KvFault::default() }, true, true),
        (KvFault { slow_ms: 5_000, ..KvFault::default() }, false, false),
    ];
    for (number, (fault, confirmed, effective)) in cases.into_iter().enumerate() {
        let key = format!("fault/{number}");
        set(fault).await;
        assert_eq!(client.commit(&put(&key)).await.is_ok(), confirmed, "{fault:?}");
        set(KvFault::default()).await;
        let stored = client.get(&key).await.expect("an answer").kvs;
        assert_eq!(!stored.is_empty(), effective, "{fault:?}");
    }
}
