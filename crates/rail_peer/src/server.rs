//! The listening side of peer links.

use crate::{
    error::{Error, Result},
    format::LinkFormat,
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

/// Calls queued for the process; further ones wait on their link, up to its stream limit.
pub(crate) const MAX_QUEUED_CALLS: usize = 1024;
/// Time without any packet after which a link is considered lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between packets that keep an idle link open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Handshakes that may wait to be accepted; further clients are refused.
const MAX_PENDING_HANDSHAKES: usize = 1024;
/// Bytes buffered for all pending handshakes together.
const HANDSHAKE_BUFFER_BYTES: u64 = 4 << 20;
/// Bytes that may be received but unread on one link, over all its streams.
const LINK_WINDOW_BYTES: u32 = 16 << 20;
/// Time within which a peer must send its request after opening a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Listening endpoint; dropping it closes all of its links.
#[derive(Debug)]
pub struct PeerServer {
    endpoint: Endpoint,
}

/// A call received from a peer.
#[derive(Debug)]
pub struct IncomingCall {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Request of the peer.
    pub request: PeerRequest,
    /// Sends the replies; dropping it ends the call.
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
    /// [`Error::Lost`] when the link was lost or the peer cancelled the call.
    pub async fn send(&mut self, reply: &PeerReply) -> Result<()> {
        frame::write(&mut self.writer, reply).await
    }

    /// Ends the call after its last reply.
    pub fn finish(mut self) {
        // Fails only if the peer has already cancelled the call.
        let _stopped = self.writer.get_mut().finish();
    }

    /// Waits until the link is lost or the peer has cancelled the call.
    pub async fn closed(&mut self) {
        // Any result means that the peer reads no further replies.
        let _reason = self.writer.get_mut().stopped().await;
    }

    /// Waits until the peer cancels the call; returns its code, or none if the link was lost.
    pub async fn stop_code(&mut self) -> Option<u64> {
        match self.writer.get_mut().stopped().await {
            Ok(Some(code)) => Some(code.into_inner()),
            Ok(None) | Err(_) => None,
        }
    }

    /// Waits until the peer reads no further replies; returns true if the peer cancelled the call
    /// and false if the link was lost.
    pub async fn closed_by_peer(&mut self) -> bool {
        matches!(self.writer.get_mut().stopped().await, Ok(Some(_code)))
    }
}

impl PeerServer {
    /// Binds the endpoint and sends incoming calls to the returned channel.
    ///
    /// # Errors
    /// Fails when the keys are not usable for TLS or the address can't be bound.
    pub fn bind(address: SocketAddr, keys: &Keys) -> Result<(Self, mpsc::Receiver<IncomingCall>)> {
        let endpoint = Endpoint::server(server_config(keys, LinkFormat::NEWEST)?, address)
            .map_err(Error::Bind)?;
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        tokio::spawn(accept_links(endpoint.clone(), keys.clone(), sender));
        Ok((Self { endpoint }, receiver))
    }

    /// Starts using replaced keys for new links; open links keep their keys.
    pub fn follow_keys(&self, keys: &LiveKeys) {
        let (endpoint, mut changes) = (self.endpoint.clone(), keys.subscribe());
        tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                let keys = changes.borrow_and_update().clone();
                if let Ok(config) = server_config(&keys, LinkFormat::NEWEST) {
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

pub(crate) fn server_config(keys: &Keys, newest: LinkFormat) -> Result<ServerConfig> {
    let tls = QuicServerConfig::try_from(keys.server_config(newest.offered())?)
        .map_err(|_error| Error::IncompatibleTls)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(Arc::new(transport_config()));
    config.max_incoming(MAX_PENDING_HANDSHAKES);
    config.incoming_buffer_size_total(HANDSHAKE_BUFFER_BYTES);
    Ok(config)
}

/// Reports whether the other side has a host's certificate. Operators have certificates of the
/// same authority but may not call peers.
pub(crate) fn is_host(connection: &Connection) -> bool {
    let identity = connection.peer_identity().and_then(|id| id.downcast().ok());
    identity.is_some_and(|chain: Box<Vec<CertificateDer<'static>>>| {
        chain.first().and_then(KeyRole::from_certificate) == Some(KeyRole::Host)
    })
}

pub(crate) fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    // Each concurrent call of a peer needs one stream.
    transport.max_concurrent_bidi_streams(4096_u32.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport.receive_window(LINK_WINDOW_BYTES.into());
    transport
}

async fn accept_links(endpoint: Endpoint, keys: Keys, sender: mpsc::Sender<IncomingCall>) {
    while let Some(handshake) = endpoint.accept().await {
        let (sender, keys) = (sender.clone(), keys.clone());
        tokio::spawn(async move {
            match handshake.await {
                Ok(connection) if is_host(&connection) => accept_calls(connection, sender).await,
                Ok(_other_role) => keys.count_refusal("not_a_host"),
                // The certificate verifier has already counted a refused certificate.
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
                // The channel is closed only when the process is shutting down.
                let _closed = sender.send(IncomingCall { peer, request, replies }).await;
            }
        });
    }
}
