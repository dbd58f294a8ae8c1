//! HTTP listeners that run on the process's single thread.
//!
//! `actix-http` is used directly, without `actix-web`: connections then stay on this thread, can't
//! be half closed, and end as soon as the caller disconnects.

use crate::caller_connection::CallerConnection;
use actix_http::{Extensions, HttpService, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory, fn_service};
use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which a connection must close after its last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

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
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves connections until dropped. `timeouts` is evaluated for each new connection, so that a new
/// configuration applies without a restart.
pub async fn serve<H, F>(
    listener: Rc<TcpListener>,
    timeouts: impl Fn() -> ListenTimeouts,
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
            .on_connect_ext(|connection: &CallerConnection, data: &mut Extensions| {
                data.insert(connection.end_handle());
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
            let connection = connections.call((CallerConnection::new(stream), Some(peer)));
            actix_rt::spawn(async move {
                // The caller disconnected or sent a malformed request, to which `actix-http` has
                // responded.
                let _ended = connection.await;
            });
        }
    }
}
