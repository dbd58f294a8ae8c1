//! HTTP listeners that run on the process's single thread.
//!
//! `actix-http` is used directly, without `actix-web`: connections then stay on this thread, can't
//! be half closed, and end as soon as the caller disconnects.

use crate::{
    caller_connection::CallerConnection,
    connection_flow::{self, CloseCause, ConnectionFlow},
    events::Events,
    node::Node,
};
use actix_http::{Extensions, HttpService, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory, fn_service};
use rail_memory::{ConnectionTable, Holder, MemoryAccount};
use rail_runtime::{MonotonicClock, metrics::ReasonCounters};
use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which a connection must close after its last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Unsent bytes that the system keeps for a connection, so that what a caller reads shows soon.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Bytes of an answer that the runtime keeps for a connection before it asks for more.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// What bounds the connections of a listener.
#[derive(Debug, Clone)]
pub struct ListenBounds {
    connections: ConnectionTable,
    memory: MemoryAccount,
    clock: MonotonicClock,
    unread_timeout: Duration,
    closes: ReasonCounters,
    events: Events,
}

impl ListenBounds {
    /// Bounds connections by a table and the memory account of a host.
    pub fn new(node: &Node, connections: &ConnectionTable) -> Self {
        Self {
            connections: connections.clone(),
            memory: node.memory.clone(),
            clock: node.clock,
            unread_timeout: node.settings.callers.unread_timeout,
            closes: node.metrics.caller_closes.clone(),
            events: node.events.clone(),
        }
    }

    /// Counts and logs a connection that was closed to protect the host.
    pub fn report_close(&self, cause: CloseCause, caller: IpAddr) {
        self.closes.count(cause.name());
        connection_flow::log_close(&self.events, cause, caller);
    }

    /// Wraps an accepted connection; closes it if all connections are in use.
    fn admit(&self, stream: TcpStream, peer: SocketAddr) -> Option<CallerConnection> {
        let Some(slot) = self.connections.admit(peer.ip(), self.clock.now()) else {
            self.report_close(CloseCause::NoConnection, peer.ip());
            return None;
        };
        let flow = ConnectionFlow::new(slot, self.clock);
        let memory = self.memory.start(Holder::Connection);
        Some(CallerConnection::new(stream, flow, memory, self.unread_timeout))
    }
}

/// Timeouts of a listener's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenTimeouts {
    /// Time in which a complete request head must arrive.
    pub request_head: Duration,
    /// Time for which a connection may stay idle between requests.
    pub idle: Duration,
}

/// Binds a TCP listener with address reuse, so that a restarted process can bind at once.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Connections inherit the size. Where the system doesn't set it, its own applies.
    let _unsupported = socket.set_send_buffer_size(SEND_BUFFER_BYTES as u32);
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves connections until dropped. `timeouts` is evaluated for each new connection, so that a new
/// configuration applies without a restart.
pub async fn serve<H, F>(
    listener: Rc<TcpListener>,
    timeouts: impl Fn() -> ListenTimeouts,
    bounds: ListenBounds,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    loop {
        let current = timeouts();
        let handler = handler.clone();
        let service = fn_service(move |request: Request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let factory = HttpService::<CallerConnection, _, _>::build()
            .keep_alive(current.idle)
            .client_request_timeout(current.request_head)
            .client_disconnect_timeout(CLOSE_TIMEOUT)
            .h1_allow_half_closed(false)
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(|connection: &CallerConnection, data: &mut Extensions| {
                data.insert(connection.end_handle());
                data.insert(connection.flow());
            })
            .h1(service);
        let Ok(connections) = factory.new_service(()).await else {
            return Err(std::io::Error::other(
                "HTTP service of the listener could not be configured",
            ));
        };
        while timeouts() == current {
            let Ok((stream, peer)) = listener.accept().await else {
                // Out of file descriptors: wait for connections to close.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let socket = socket2::SockRef::from(&stream);
            // Where the system lacks these options, the callers' own timeouts still apply.
            let _unsupported = stream.set_nodelay(true);
            let _unsupported = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
            let Some(connection) = bounds.admit(stream, peer) else { continue };
            let (flow, bounds) = (connection.flow(), bounds.clone());
            let connection = connections.call((connection, Some(peer)));
            actix_rt::spawn(async move {
                // The caller disconnected or sent a malformed request, to which `actix-http` has
                // responded.
                let _ended = connection.await;
                flow.report_close(&bounds);
            });
        }
    }
}
