//! HTTP servers that start with the limits of their process.

use crate::{
    answer_body::AnswerBody,
    buffer_budget::BufferBudget,
    client_connection::{ClientConnection, RequestTurn},
    client_stream::ClientStream,
    client_table::ClientTable,
    client_watch::ClientWatch,
    request_body::RequestBody,
};
use actix_http::{
    ConnectionType, HttpService, Payload, Protocol, Request, Response, body::MessageBody, error::DispatchError,
};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerBuilder};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service, map_config,
};
use actix_web::{Error, HttpResponse, dev::AppConfig};
use std::{fmt::Debug, future::Future, io, net::TcpListener, rc::Rc, sync::Arc, time::Duration};

/// Time in which an answer is followed by the close of its connection, if the rest of the request is not read.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of a listener.
#[derive(Clone, Debug)]
pub struct ListenerOptions {
    /// Name of the listener in logs.
    pub name: &'static str,
    /// Number of threads that serve its connections.
    pub workers: usize,
    /// Most connections that are open at a time.
    pub connections_max: usize,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Time in which the last responses are written when the server is stopped, in seconds.
    pub shutdown_timeout_s: u64,
    /// Memory of all clients.
    pub budget: Arc<BufferBudget>,
}

/// Daemon that a listener belongs to.
pub trait LimitObserver: Clone + Send + 'static {
    /// Counts a connection that was closed or refused because of a limit, by its reason.
    fn connection_closed(&self, reason: &'static str);

    /// Counts a request for which there is no memory, and creates its response.
    fn request_refused(&self) -> HttpResponse;
}

/// A listening socket and its settings.
#[derive(Debug)]
pub struct HttpListener<O> {
    listener: TcpListener,
    options: ListenerOptions,
    observer: O,
}

impl<O: LimitObserver> HttpListener<O> {
    /// Serves the clients of `listener` under the limits in `options`.
    #[must_use]
    pub fn new(listener: TcpListener, options: ListenerOptions, observer: O) -> Self {
        Self { listener, options, observer }
    }

    /// Starts the server. Each thread calls `create_app` for its own application.
    pub fn serve<F, I, S, B>(self, create_app: F) -> io::Result<Server>
    where
        F: Fn() -> I + Send + Clone + 'static,
        I: IntoServiceFactory<S, Request>,
        S: ServiceFactory<Request, Config = AppConfig> + 'static,
        S::Error: Into<Error> + 'static,
        S::InitError: Debug,
        S::Response: Into<Response<B>> + 'static,
        <S::Service as Service<Request>>::Future: 'static,
        S::Service: 'static,
        B: MessageBody + 'static,
    {
        let Self { listener, options, observer } = self;
        let builder = ServerBuilder::default();
        let shutdown_signal = builder.graceful_shutdown_signal();
        let name = options.name;
        let builder = builder
            .workers(options.workers)
            .shutdown_timeout(options.shutdown_timeout_s)
            .disable_signals()
            .listen(name, listener, move || {
            let observer = observer.clone();
            let connections_max = options.connections_max.div_ceil(options.workers);
            let table = ClientTable::new(name, connections_max, options.budget.clone(), observer.clone());
            let shutdown_signal = shutdown_signal.clone();
            let app = create_app().into_factory().map_err(|error| error.into().error_response());
            let app = map_config(app, |()| AppConfig::default());
            let app = apply_fn_factory(app, move |request, app: &_| serve_request(request, app, observer.clone()));
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let signal = shutdown_signal.clone();
                    async move { signal.notified().await }
                })
                .keep_alive(options.keep_alive)
                // The table of clients closes those whose heads are late.
                .client_request_timeout(Duration::ZERO)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .on_connect_ext(|stream: &ClientStream<O>, extensions| {
                    extensions.insert(stream.watch());
                })
                .finish(app);
            fn_service(move |socket: TcpStream| {
                let client = socket.peer_addr().ok();
                let stream = table.add(socket);
                async move { Ok((stream.map_err(DispatchError::Io)?, Protocol::Http1, client)) }
            })
            .and_then(http)
        })?;
        Ok(builder.run())
    }
}

/// Serves a request in its connection's turn. If there is no memory for it, it is refused.
fn serve_request<S, B, O>(
    mut request: Request,
    app: &S,
    observer: O,
) -> impl Future<Output = Result<Response<AnswerBody>, HttpResponse>> + use<S, B, O>
where
    S: Service<Request, Error = HttpResponse>,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
    O: LimitObserver,
{
    let started = begin_request(&mut request).map(|(connection, turn)| (connection, turn, app.call(request)));
    async move {
        let Some((connection, turn, answer)) = started else {
            let mut response = observer.request_refused();
            response.head_mut().set_connection_type(ConnectionType::Close);
            return Err(response);
        };
        let response: Response<B> = answer.await?.into();
        let mut response = response.map_body(|_, body| AnswerBody::new(body.boxed(), turn));
        if connection.has_unread_body() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }
}

/// Begins the request in the turn of its connection, whose body is then read as it is needed. `None` if there is no memory for it.
fn begin_request(request: &mut Request) -> Option<(Rc<ClientConnection>, RequestTurn)> {
    let connection = request.conn_data::<ClientWatch>()?.connection().clone();
    let turn = connection.begin_request(request)?;
    let payload = request.take_payload();
    if !matches!(payload, Payload::None) {
        *request.payload() = Payload::Stream { payload: Box::pin(RequestBody::new(payload, connection.clone())) };
    }
    Some((connection, turn))
}
