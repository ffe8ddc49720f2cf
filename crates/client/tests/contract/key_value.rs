//! Contract of the key-value service: transactions, ranges, leases and watches.

use super::endpoint;
use pimentoslip_client::{EtcdClient, KeyValueClient, PlatformError};
use pimentoslip_standin::{KvFault, start_kv};
use pimentoslip_wire::kv::TxnRequest;
use std::{sync::Arc, time::Duration};

const LOOPBACK: &str = "127.0.0.1:0";

fn client() -> EtcdClient {
    EtcdClient::new(endpoint("KV", || start_kv(LOOPBACK)), Arc::default())
}

/// Prefix for the keys of a test. Contains the process id, because an earlier run may have left keys in the store.
fn prefix(test: &str) -> String {
    format!("contract/{test}/{}/", std::process::id())
}

#[actix_rt::test]
async fn a_write_is_applied_only_if_its_comparison_holds() {
    let (client, prefix) = (client(), prefix("cas"));
    let key = format!("{prefix}one");
    let create = TxnRequest::default().expect(&key, 0).put(&key, b"a".to_vec(), 0);
    let created = client.commit(&create).await.expect("a response");
    assert!(created.succeeded);
    assert!(
        !client.commit(&create).await.expect("a response").succeeded,
        "a key that exists must not be created again"
    );
    let stored = client.get(&key).await.expect("a response").kvs.remove(0);
    assert_eq!((stored.value.as_slice(), stored.mod_revision), (&b"a"[..], created.header.revision));
    let change = TxnRequest::default().expect(&key, stored.mod_revision).put(&key, b"b".to_vec(), 0);
    let changed = client.commit(&change).await.expect("a response");
    assert!(changed.succeeded && changed.header.revision > created.header.revision);
    assert!(!client.commit(&change).await.expect("a response").succeeded, "an outdated revision must be refused");
}

#[actix_rt::test]
async fn a_transaction_with_a_failed_comparison_writes_no_entry() {
    let (client, prefix) = (client(), prefix("all"));
    let (one, two) = (format!("{prefix}one"), format!("{prefix}two"));
    let both = TxnRequest::default().put(&one, b"1".to_vec(), 0).put(&two, b"2".to_vec(), 0);
    assert!(client.commit(&both).await.expect("a response").succeeded);
    let conflicting = TxnRequest::default().expect(&one, 0).put(&one, b"x".to_vec(), 0).put(&two, b"x".to_vec(), 0);
    assert!(!client.commit(&conflicting).await.expect("a response").succeeded);
    let stored = client.range(&prefix, 0).await.expect("a response").kvs;
    assert_eq!(stored.iter().map(|entry| entry.value.as_slice()).collect::<Vec<_>>(), [b"1", b"2"]);
    assert_eq!(stored[0].mod_revision, stored[1].mod_revision, "entries of one transaction have one revision");
}

#[actix_rt::test]
async fn a_range_returns_entries_since_a_revision_and_the_revision_of_the_read() {
    let (client, prefix) = (client(), prefix("range"));
    let mut revisions = Vec::new();
    for name in ["a", "b", "c"] {
        let put = TxnRequest::default().put(&format!("{prefix}{name}"), name.into(), 0);
        revisions.push(client.commit(&put).await.expect("a response").header.revision);
    }
    let newer = client.range(&prefix, revisions[1]).await.expect("a response");
    assert_eq!(newer.kvs.iter().map(|entry| entry.value.as_slice()).collect::<Vec<_>>(), [b"b", b"c"]);
    assert!(newer.header.revision >= revisions[2]);
    assert!(client.range(&format!("{prefix}nothing"), 0).await.expect("a response").kvs.is_empty());
}

#[actix_rt::test]
async fn a_key_is_removed_when_its_lease_ends() {
    let (client, prefix) = (client(), prefix("lease"));
    let key = format!("{prefix}held");
    let lease = client.grant_lease(2_000).await.expect("a lease");
    let put = TxnRequest::default().expect(&key, 0).put(&key, b"x".to_vec(), lease);
    assert!(client.commit(&put).await.expect("a response").succeeded);
    client.renew_lease(lease).await.expect("the lease is renewed");
    // No upper bound: on a slow machine too, the key is removed at some time after the last renewal of the lease.
    while !client.get(&key).await.expect("a response").kvs.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(client.renew_lease(lease).await, Err(PlatformError::LeaseNotFound));
    let lease = client.grant_lease(60_000).await.expect("a lease");
    let put = TxnRequest::default().expect(&key, 0).put(&key, b"x".to_vec(), lease);
    assert!(client.commit(&put).await.expect("a response").succeeded, "a key whose lease has ended does not exist");
    client.revoke_lease(lease).await.expect("the lease is revoked");
    assert!(client.get(&key).await.expect("a response").kvs.is_empty());
}

#[actix_rt::test]
async fn a_watch_returns_writes_since_its_revision() {
    let (client, prefix) = (client(), prefix("watch"));
    let first =
        client.commit(&TxnRequest::default().put(&format!("{prefix}a"), b"1".to_vec(), 0)).await.expect("a response");
    let since = first.header.revision;
    assert_eq!(
        client.watch(&prefix, since).await.expect("an event"),
        since,
        "an earlier write at the start revision is returned"
    );
    let (watching_client, watched_prefix) = (client.clone(), prefix.clone());
    let watch = actix_rt::spawn(async move { watching_client.watch(&watched_prefix, since + 1).await });
    let second =
        client.commit(&TxnRequest::default().put(&format!("{prefix}b"), b"2".to_vec(), 0)).await.expect("a response");
    assert!(watch.await.expect("a task").expect("an event") >= second.header.revision);
}

/// Results of the client under faults that only the stand-in can simulate. A lost response must be reported as an
/// error, although the write was applied.
#[actix_rt::test]
async fn a_failed_call_is_reported_and_a_lost_response_does_not_undo_the_write() {
    let (address, _) = start_kv(LOOPBACK).expect("a stand-in").spawn();
    let client = EtcdClient::new(address.to_string().into(), Arc::default());
    let set_fault = async |fault: KvFault| {
        let request = awc::Client::default().put(format!("http://{address}/standin/fault"));
        request.send_json(&fault).await.expect("a fault");
    };
    let put = |name: &str| TxnRequest::default().expect(name, 0).put(name, b"x".to_vec(), 0);
    // Fault, whether the client confirms the write, and whether the write was applied.
    let cases = [
        (KvFault::default(), true, true),
        (KvFault { down: true, ..KvFault::default() }, false, false),
        (KvFault { lose_answers: 1, ..KvFault::default() }, false, true),
        (KvFault { slow_ms: 50, ..KvFault::default() }, true, true),
        (KvFault { slow_ms: 5_000, ..KvFault::default() }, false, false),
    ];
    for (number, (fault, confirmed, applied)) in cases.into_iter().enumerate() {
        let key = format!("fault/{number}");
        set_fault(fault).await;
        assert_eq!(client.commit(&put(&key)).await.is_ok(), confirmed, "{fault:?}");
        set_fault(KvFault::default()).await;
        let stored = client.get(&key).await.expect("a response").kvs;
        assert_eq!(!stored.is_empty(), applied, "{fault:?}");
    }
}
