//! The listening side of peer links.

use crate::{
    error::{Error, Result},
    frame::{self, Writer},
    message::{PeerReply, PeerRequest},
};
use quinn::{
    Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig,
    crypto::rustls::QuicServerConfig,
};
use rail_runtime::{KeyRole, Keys, LiveKeys};
use rustls_pki_types::CertificateDer;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Application protocol name in the TLS handshake.
pub(crate) const ALPN: &[u8] = b"tarragonrail/1";
/// Calls that wait for the process before the endpoint pushes back.
pub(crate) const INCOMING_QUEUE: usize = 1024;
/// Time without any packet after which a link counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between packets that keep an idle link open.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Handshakes that wait to be accepted; further clients are refused.
const MAX_HANDSHAKES: usize = 1024;
/// Bytes buffered for all of them.
const HANDSHAKE_BUFFER_BYTES: u64 = 4 << 20;
/// Bytes that one link may hold unread over all its streams.
const LINK_WINDOW_BYTES: u32 = 16 << 20;
/// Time in which a peer must send its request after opening a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Listening endpoint; dropping it closes every link.
#[derive(Debug)]
pub struct PeerServer {
    endpoint: Endpoint,
}

/// One call of a peer.
#[derive(Debug)]
pub struct IncomingCall {
    /// Where the peer is.
    pub peer: SocketAddr,
    /// What the peer asks.
    pub request: PeerRequest,
    /// Where replies go; dropping it ends the call.
    pub replies: ReplySender,
}

/// Sends the replies of one call.
#[derive(Debug)]
pub struct ReplySender {
    writer: Writer,
}

impl ReplySender {
    /// Sends one reply.
    ///
    /// # Errors
    /// [`Error::Lost`] when the peer is gone or waits no more.
    pub async fn send(&mut self, reply: &PeerReply) -> Result<()> {
        frame::write(&mut self.writer, reply).await
    }

    /// Ends the call after its last reply.
    pub fn finish(mut self) {
        // A stream that the peer has stopped needs no end mark.
        let _stopped = self.writer.get_mut().finish();
    }

    /// Waits until the peer is gone or waits no more.
    pub async fn closed(&mut self) {
        // Any result means that nobody reads further replies.
        let _reason = self.writer.get_mut().stopped().await;
    }

    /// Waits until the peer drops the call; gives its code, or none if the peer is gone.
    pub async fn stop_code(&mut self) -> Option<u64> {
        match self.writer.get_mut().stopped().await {
            Ok(Some(code)) => Some(code.into_inner()),
            Ok(None) | Err(_) => None,
        }
    }

    /// Waits until nobody reads further replies; gives whether the peer said so itself, rather
    /// than being lost.
    pub async fn closed_by_peer(&mut self) -> bool {
        matches!(self.writer.get_mut().stopped().await, Ok(Some(_code)))
    }
}

impl PeerServer {
    /// Binds the endpoint and gives incoming calls through the channel.
    ///
    /// # Errors
    /// Fails when the keys are refused or the address can't be bound.
    pub fn bind(address: SocketAddr, keys: &Keys) -> Result<(Self, mpsc::Receiver<IncomingCall>)> {
        let endpoint = Endpoint::server(server_config(keys)?, address).map_err(Error::Bind)?;
        let (sender, receiver) = mpsc::channel(INCOMING_QUEUE);
        tokio::spawn(accept_links(endpoint.clone(), keys.clone(), sender));
        Ok((Self { endpoint }, receiver))
    }

    /// Uses replaced keys for new links; open links stay.
    pub fn follow_keys(&self, keys: &LiveKeys) {
        let (endpoint, mut changes) = (self.endpoint.clone(), keys.subscribe());
        tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                let keys = changes.borrow_and_update().clone();
                if let Ok(config) = server_config(&keys) {
                    endpoint.set_server_config(Some(config));
                }
            }
        });
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.endpoint.close(0_u32.into(), b"stopping");
    }
}

pub(crate) fn server_config(keys: &Keys) -> Result<ServerConfig> {
    let tls = QuicServerConfig::try_from(keys.server_config(ALPN)?)
        .map_err(|_error| Error::IncompatibleTls)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(Arc::new(transport()));
    config.max_incoming(MAX_HANDSHAKES);
    config.incoming_buffer_size_total(HANDSHAKE_BUFFER_BYTES);
    Ok(config)
}

/// Tells whether the other side holds a host's certificate; operators call no peers.
pub(crate) fn is_host(connection: &Connection) -> bool {
    let identity = connection.peer_identity().and_then(|id| id.downcast().ok());
    identity.is_some_and(|chain: Box<Vec<CertificateDer<'static>>>| {
        chain.first().and_then(KeyRole::from_certificate) == Some(KeyRole::Host)
    })
}

pub(crate) fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(4096_u32.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport.receive_window(LINK_WINDOW_BYTES.into());
    transport
}

async fn accept_links(endpoint: Endpoint, keys: Keys, sender: mpsc::Sender<IncomingCall>) {
    while let Some(connecting) = endpoint.accept().await {
        let (sender, keys) = (sender.clone(), keys.clone());
        tokio::spawn(async move {
            match connecting.await {
                Ok(connection) if is_host(&connection) => accept_calls(connection, sender).await,
                Ok(_other_role) => keys.count_refusal("not_a_host"),
                // The verifier has counted a refused certificate.
                Err(_error) => {}
            }
        });
    }
}

pub(crate) async fn accept_calls(connection: Connection, sender: mpsc::Sender<IncomingCall>) {
    let peer = connection.remote_address();
    while let Ok((send, receive)) = connection.accept_bi().await {
        let sender = sender.clone();
        tokio::spawn(async move {
            let mut reader = frame::reader(receive);
            let read = frame::read::<PeerRequest>(&mut reader);
            if let Ok(Ok(Some(request))) = tokio::time::timeout(REQUEST_TIMEOUT, read).await {
                let replies = ReplySender { writer: frame::writer(send) };
                // A closed channel means that the process is ending.
                let _ended = sender.send(IncomingCall { peer, request, replies }).await;
            }
        });
    }
}
