//! TLS listener of the operator RPC.
//!
//! Each connection is checked against the keys in force when it is opened, so
//! a rotation of keys cuts no call in progress.

use rail_runtime::{LiveKeys, Metrics, keys, metrics::ReasonCounters};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::timeout,
};
use tokio_rustls::{TlsAcceptor, rustls, server::TlsStream};
use tokio_stream::wrappers::ReceiverStream;

/// Application protocol of the operator RPC.
const ALPN: &[u8] = b"h2";
/// Handshakes at once; further clients wait in the accept queue.
const MAX_HANDSHAKES: usize = 512;
/// Time in which a client must complete its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that wait for the server.
const QUEUE: usize = 64;
/// Pause after the system refuses to accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Connections whose clients are verified.
pub type Connections = ReceiverStream<io::Result<TlsStream<TcpStream>>>;

/// Binds the address and gives verified connections.
///
/// # Errors
/// Fails when the address can't be bound or the keys are refused.
pub async fn bind(
    address: SocketAddr,
    live: LiveKeys,
    metrics: &Metrics,
) -> Result<Connections, super::Error> {
    let listener = TcpListener::bind(address).await?;
    let acceptor = acceptor(&live)?;
    let refused =
        metrics.reason_counters("admin_handshake_refusals", "Connections refused before a call");
    let (sender, receiver) = mpsc::channel(QUEUE);
    tokio::spawn(accept(listener, live, acceptor, refused, sender));
    Ok(ReceiverStream::new(receiver))
}

fn acceptor(live: &LiveKeys) -> keys::Result<TlsAcceptor> {
    Ok(TlsAcceptor::from(Arc::new(live.current().server_config(ALPN)?)))
}

async fn accept(
    listener: TcpListener,
    live: LiveKeys,
    mut acceptor_in_force: TlsAcceptor,
    refused: ReasonCounters,
    sender: mpsc::Sender<io::Result<TlsStream<TcpStream>>>,
) {
    let slots = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let mut changes = live.subscribe();
    while let Ok(slot) = Arc::clone(&slots).acquire_owned().await {
        let tcp = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sender.closed() => return,
        };
        let Ok((tcp, _peer)) = tcp else {
            refused.count("accept_failed");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            if let Ok(acceptor) = acceptor(&live) {
                acceptor_in_force = acceptor;
            }
        }
        let (acceptor, sender, refused) =
            (acceptor_in_force.clone(), sender.clone(), refused.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, acceptor.accept(tcp)).await {
                // A closed channel means that the server is stopping.
                Ok(Ok(stream)) => drop(sender.send(Ok(stream)).await),
                Ok(Err(error)) => refused.count(reason(&error)),
                Err(_elapsed) => refused.count("handshake_timeout"),
            }
            drop(slot);
        });
    }
}

fn reason(error: &io::Error) -> &'static str {
    match error.get_ref().and_then(|cause| cause.downcast_ref::<rustls::Error>()) {
        Some(rustls::Error::InvalidCertificate(_)) => "certificate",
        Some(rustls::Error::NoCertificatesPresented) => "no_certificate",
        Some(_) => "not_tls",
        None => "connection_lost",
    }
}
