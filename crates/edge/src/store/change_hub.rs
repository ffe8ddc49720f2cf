//! Serves store changes to other daemons, with one watch for all that request the same changes.

use super::{ChangeFeed, change_feed::change_message};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use pimentoslip_platform::{Result, StoreError, WatchBatch};
use pimentoslip_wire::peer::{ChangesRequest, ChangesResponse};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// Number of cached watches beyond which completed ones are dropped; daemons follow three prefixes and are at most some
/// changes apart.
const CACHED_WATCHES_MAX: usize = 24;

/// A watch whose result several requests can await.
type SharedWatch = Shared<LocalBoxFuture<'static, Rc<Result<WatchBatch>>>>;

/// Pending watches, and completed ones that returned changes, by prefix and revision. Daemons that follow a prefix from
/// the same revision share one watch, and a later request receives the batch that the earlier ones received.
#[derive(Clone)]
pub struct ChangeHub {
    feed: ChangeFeed,
    watches: Rc<RefCell<HashMap<(String, u64), SharedWatch>>>,
}

impl std::fmt::Debug for ChangeHub {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ChangeHub").finish_non_exhaustive()
    }
}

impl ChangeHub {
    /// Creates a hub that reads all changes from `feed`.
    #[must_use]
    pub fn new(feed: ChangeFeed) -> Self {
        Self { feed, watches: Rc::default() }
    }

    /// The response to another daemon's request: changes as soon as there are any, or none once the requested wait has
    /// passed.
    pub async fn changes_response(&self, request: ChangesRequest) -> ChangesResponse {
        let key = (request.prefix, request.revision);
        let shared_watch = self.join_watch(&key);
        let batch = match actix_rt::time::timeout(Duration::from_millis(request.wait_ms), shared_watch).await {
            Ok(batch) => batch,
            Err(_) => Rc::new(Ok(WatchBatch { changes: Vec::new(), revision: key.1 })),
        };
        match &*batch {
            Ok(batch) => ChangesResponse::Changes {
                changes: batch.changes.iter().map(change_message).collect(),
                revision: batch.revision,
            },
            Err(StoreError::HistoryCompacted) => ChangesResponse::HistoryCompacted,
            Err(_) => ChangesResponse::StoreUnreachable,
        }
    }

    /// The cached watch for the prefix and revision of `key`, or else a new one.
    fn join_watch(&self, key: &(String, u64)) -> SharedWatch {
        if let Some(shared_watch) = self.watches.borrow().get(key) {
            return shared_watch.clone();
        }
        let (hub, key) = (self.clone(), key.clone());
        let inserted_key = key.clone();
        let watch = async move {
            let batch = hub.feed.next_changes(&key.0, key.1).await;
            if !batch.as_ref().is_ok_and(|batch| !batch.changes.is_empty()) {
                hub.watches.borrow_mut().remove(&key);
            }
            Rc::new(batch)
        };
        let shared_watch = watch.boxed_local().shared();
        {
            let mut watches = self.watches.borrow_mut();
            if watches.len() >= CACHED_WATCHES_MAX {
                watches.retain(|_, shared_watch| shared_watch.peek().is_none());
            }
            watches.insert(inserted_key, shared_watch.clone());
        }
        // Spawned, so that the watch continues when the requests that wait for it have timed out.
        actix_rt::spawn(shared_watch.clone().map(drop));
        shared_watch
    }
}
