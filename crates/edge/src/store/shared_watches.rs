//! One watch of the store for all daemons that ask the same.

use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use pimentoslip_platform::{Result, StoreClient, brings_changes};
use std::{cell::RefCell, collections::HashMap, rc::Rc};

/// Watches that are remembered; daemons follow three prefixes and are at most some changes apart.
const FLIGHTS_MAX: usize = 24;

type Passed = Result<(u16, Bytes)>;
type Flight = Shared<LocalBoxFuture<'static, Passed>>;

/// Watches on their way, and those that brought changes, by their whole call. Daemons that follow a prefix from the
/// same revision ask the same, so a daemon that comes later gets what the others got.
#[derive(Clone, Default)]
pub struct SharedWatches {
    flights: Rc<RefCell<HashMap<String, Flight>>>,
}

impl SharedWatches {
    /// The answer to the watch `name`, from the store or from a call that asks or asked the same.
    pub async fn pass_on(&self, client: &StoreClient, name: &str, wait_ms: u64) -> Passed {
        let known = self.flights.borrow().get(name).cloned();
        let flight = match known {
            Some(flight) => flight,
            None => self.begin(client, name, wait_ms),
        };
        let result = flight.await;
        let useful = matches!(&result, Ok((200, body)) if brings_changes(body));
        if !useful {
            self.flights.borrow_mut().remove(name);
        }
        result
    }

    fn begin(&self, client: &StoreClient, name: &str, wait_ms: u64) -> Flight {
        let (client, call) = (client.clone(), name.to_owned());
        let watch = async move { client.pass_on_watch(&call, wait_ms).await };
        let flight = watch.boxed_local().shared();
        let mut flights = self.flights.borrow_mut();
        if flights.len() >= FLIGHTS_MAX {
            flights.retain(|_, flight| flight.peek().is_none());
        }
        flights.insert(name.to_owned(), flight.clone());
        flight
    }
}
