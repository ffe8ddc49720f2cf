//! One watch for all daemons that ask the same.

use super::{ChangeFeed, change_feed::change_message};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use pimentoslip_platform::{Result, StoreError, WatchBatch};
use pimentoslip_wire::peer::{ChangesRequest, ChangesResponse};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// Watches that are remembered; daemons follow three prefixes and are at most some changes apart.
const FLIGHTS_MAX: usize = 24;

type Flight = Shared<LocalBoxFuture<'static, Rc<Result<WatchBatch>>>>;

/// Watches on their way, and those that brought changes. Daemons that follow a prefix from the same revision ask the
/// same, so a daemon that comes later gets what the others got.
#[derive(Clone)]
pub struct ChangeHub {
    feed: ChangeFeed,
    flights: Rc<RefCell<HashMap<(String, u64), Flight>>>,
}

impl std::fmt::Debug for ChangeHub {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("NewsHub").finish_non_exhaustive()
    }
}

impl ChangeHub {
    /// Asks `feed` for all.
    #[must_use]
    pub fn new(feed: ChangeFeed) -> Self {
        Self { feed, flights: Rc::default() }
    }

    /// Answers another daemon: with changes as soon as there are any, with none when its time is up.
    pub async fn answer(&self, request: ChangesRequest) -> ChangesResponse {
        let key = (request.prefix, request.revision);
        let flight = self.join(&key);
        let news = match actix_rt::time::timeout(Duration::from_millis(request.wait_ms), flight).await {
            Ok(news) => news,
            Err(_) => Rc::new(Ok(WatchBatch { changes: Vec::new(), revision: key.1 })),
        };
        match &*news {
            Ok(news) => ChangesResponse::Changes {
                changes: news.changes.iter().map(change_message).collect(),
                revision: news.revision,
            },
            Err(StoreError::HistoryCompacted) => ChangesResponse::HistoryCompacted,
            Err(_) => ChangesResponse::StoreUnreachable,
        }
    }

    fn join(&self, key: &(String, u64)) -> Flight {
        if let Some(flight) = self.flights.borrow().get(key) {
            return flight.clone();
        }
        let (hub, key) = (self.clone(), key.clone());
        let asked = key.clone();
        let watch = async move {
            let news = hub.feed.next_changes(&key.0, key.1).await;
            if !news.as_ref().is_ok_and(|news| !news.changes.is_empty()) {
                hub.flights.borrow_mut().remove(&key);
            }
            Rc::new(news)
        };
        let flight = watch.boxed_local().shared();
        {
            let mut flights = self.flights.borrow_mut();
            if flights.len() >= FLIGHTS_MAX {
                flights.retain(|_, flight| flight.peek().is_none());
            }
            flights.insert(asked, flight.clone());
        }
        // The watch goes on when those who asked have left.
        actix_rt::spawn(flight.clone().map(drop));
        flight
    }
}
