//! Connections of clients at one thread of a listener.

use crate::{
    buffer_budget::BufferBudget,
    client_connection::{CONNECTION_BYTES, ClientConnection},
    client_stream::ClientStream,
    http_listener::LimitObserver,
};
use actix_rt::net::TcpStream;
use pimentoslip_kernel::{ClientSample, yielding_client};
use pimentoslip_telemetry::LogLine;
use socket2::SockRef;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

/// Time of a tick, by which the progress of clients is judged.
const TICK: Duration = Duration::from_secs(1);
/// Size of a socket's buffers of received bytes and of bytes to send. The system may take twice as much.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Open connections.
#[derive(Debug)]
pub struct ClientTable<O> {
    /// Name of the listener in logs.
    listener: &'static str,
    connections_max: usize,
    budget: Arc<BufferBudget>,
    observer: O,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    is_ticking: Cell<bool>,
}

impl<O: LimitObserver> ClientTable<O> {
    /// Creates an empty table for `connections_max` connections.
    pub fn new(listener: &'static str, connections_max: usize, budget: Arc<BufferBudget>, observer: O) -> Rc<Self> {
        Rc::new(Self {
            listener,
            connections_max,
            budget,
            observer,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            is_ticking: Cell::new(false),
        })
    }

    /// Adds an accepted connection, if necessary in the place of another. Fails if there is neither room nor memory for it.
    pub fn add(self: &Rc<Self>, socket: TcpStream) -> io::Result<ClientStream<O>> {
        self.start_ticking();
        let mut share = self.budget.share();
        let is_full = self.connections.borrow().len() >= self.connections_max;
        let is_admitted = if is_full {
            self.yield_for_new("connections") && share.grow(CONNECTION_BYTES)
        } else {
            share.grow(CONNECTION_BYTES) || (self.yield_for_new("memory") && share.grow(CONNECTION_BYTES))
        };
        if !is_admitted {
            self.observer.connection_closed("refused");
            LogLine::new("client_refused")
                .field("listener", self.listener)
                .field("connections", self.connections.borrow().len())
                .field("connections_max", self.connections_max)
                .warn();
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        // The system keeps its own sizes if it refuses these.
        let _ = SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES);
        let connection = ClientConnection::new(socket, share);
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.connections.borrow_mut().insert(number, connection.clone());
        Ok(ClientStream::new(connection, self.clone(), number))
    }

    /// Removes the connection with the number `number`.
    pub fn remove(&self, number: u64) {
        self.connections.borrow_mut().remove(&number);
    }

    /// Closes the connection that may yield, if there is one, for lack of `reason`.
    fn yield_for_new(&self, reason: &'static str) -> bool {
        let number = {
            let connections = self.connections.borrow();
            yielding_client(connections.iter().map(|(number, connection)| (*number, connection.sample())))
        };
        number.is_some_and(|number| self.close(number, reason))
    }

    /// Closes a connection. Returns whether it was open.
    fn close(&self, number: u64, reason: &'static str) -> bool {
        let Some(connection) = self.connections.borrow_mut().remove(&number) else { return false };
        let ClientSample { phase, ticks } = connection.sample();
        self.observer.connection_closed(reason);
        LogLine::new("client_closed")
            .field("listener", self.listener)
            .field("reason", reason)
            .field("phase", format!("{phase:?}").to_lowercase())
            .field("waited_s", ticks)
            .field("connections", self.connections.borrow().len())
            .warn();
        connection.close();
        true
    }

    /// Starts the task that judges the progress of clients, once.
    fn start_ticking(self: &Rc<Self>) {
        if !self.is_ticking.replace(true) {
            actix_rt::spawn(tick(Rc::downgrade(self)));
        }
    }

    /// Closes the connections whose clients make no progress.
    fn close_expired(&self) {
        let connections: Vec<(u64, Rc<ClientConnection>)> =
            self.connections.borrow().iter().map(|(number, connection)| (*number, connection.clone())).collect();
        for (number, connection) in connections {
            if connection.tick().is_expired() && !connection.prolong() {
                self.close(number, "no_progress");
            }
        }
    }
}

/// Judges the progress of clients at each tick. A process that was suspended has one tick for that time.
async fn tick<O: LimitObserver>(table: Weak<ClientTable<O>>) {
    loop {
        actix_rt::time::sleep(TICK).await;
        let Some(table) = table.upgrade() else { return };
        table.close_expired();
    }
}
