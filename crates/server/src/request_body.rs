//! Body of a request, which is read from the connection only as it is needed.

use crate::client_connection::ClientConnection;
use actix_http::{Payload, error::PayloadError};
use bytes::Bytes;
use futures_util::Stream;
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Body of a request. The connection is read on while the handler waits for more of it.
pub struct RequestBody {
    payload: Payload,
    connection: Rc<ClientConnection>,
}

impl RequestBody {
    /// Wraps `payload`, the body of the request in progress on `connection`.
    pub fn new(payload: Payload, connection: Rc<ClientConnection>) -> Self {
        Self { payload, connection }
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.payload).poll_next(context);
        match &polled {
            Poll::Pending => this.connection.want_body(),
            Poll::Ready(None) => this.connection.body_ended(),
            Poll::Ready(Some(_)) => {}
        }
        polled
    }
}
