//! TLS listener of the operator RPC.
//!
//! Each connection is verified with the keys that are current when it opens, so key rotation does
//! not interrupt calls in progress.

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
/// Simultaneous handshakes; further clients wait in the accept queue of the system.
const MAX_HANDSHAKES: usize = 512;
/// Time within which a client must complete its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Verified connections that wait for the RPC server.
const MAX_QUEUED_CONNECTIONS: usize = 64;
/// Delay after the system fails to accept a connection, for example without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Stream of connections whose client certificate is verified.
pub type Connections = ReceiverStream<io::Result<TlsStream<TcpStream>>>;

/// Binds the address and returns its verified connections.
///
/// # Errors
/// Returns an error if the address cannot be bound or the keys are not usable.
pub async fn bind(
    address: SocketAddr,
    live_keys: LiveKeys,
    metrics: &Metrics,
) -> Result<Connections, super::Error> {
    let listener = TcpListener::bind(address).await?;
    let acceptor = new_acceptor(&live_keys)?;
    let refused =
        metrics.reason_counters("admin_handshake_refusals", "Connections refused before a call");
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(accept(listener, live_keys, acceptor, refused, sender));
    Ok(ReceiverStream::new(receiver))
}

fn new_acceptor(live_keys: &LiveKeys) -> keys::Result<TlsAcceptor> {
    Ok(TlsAcceptor::from(Arc::new(live_keys.current().server_config(&[ALPN])?)))
}

async fn accept(
    listener: TcpListener,
    live_keys: LiveKeys,
    mut current_acceptor: TlsAcceptor,
    refused: ReasonCounters,
    sender: mpsc::Sender<io::Result<TlsStream<TcpStream>>>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let mut key_changes = live_keys.subscribe();
    while let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await {
        let tcp = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sender.closed() => return,
        };
        let Ok((tcp, _peer)) = tcp else {
            refused.count("accept_failed");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if key_changes.has_changed().unwrap_or(false) {
            key_changes.mark_unchanged();
            if let Ok(acceptor) = new_acceptor(&live_keys) {
                current_acceptor = acceptor;
            }
        }
        let (acceptor, sender, refused) =
            (current_acceptor.clone(), sender.clone(), refused.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, acceptor.accept(tcp)).await {
                // Sending fails only when the server is shutting down.
                Ok(Ok(stream)) => drop(sender.send(Ok(stream)).await),
                Ok(Err(error)) => refused.count(refusal_reason(&error)),
                Err(_elapsed) => refused.count("handshake_timeout"),
            }
            drop(permit);
        });
    }
}

fn refusal_reason(error: &io::Error) -> &'static str {
    match error.get_ref().and_then(|cause| cause.downcast_ref::<rustls::Error>()) {
        Some(rustls::Error::InvalidCertificate(_)) => "certificate",
        Some(rustls::Error::NoCertificatesPresented) => "no_certificate",
        Some(_) => "not_tls",
        None => "connection_lost",
    }
}
