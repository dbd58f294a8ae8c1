//! Links between many small hosts, over one port.

use crate::{
    client::{ReplyStream, call_on_link, client_config},
    error::{Error, Result},
    format::LinkFormat,
    message::PeerRequest,
    server::{IncomingCall, MAX_QUEUED_CALLS, accept_calls, is_host, server_config},
};
use quinn::{ClientConfig, Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig};
use rail_runtime::{Keys, keys::FLEET_SERVER_NAME};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};
use tokio::sync::mpsc;

/// Timeout for opening a link, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without any packet after which a link is closed. There are no keep-alive packets, so that
/// idle links cost no traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Concurrent calls of one peer. Each possible call costs memory on every link, used or not.
const MAX_CONCURRENT_CALLS: u32 = 64;
/// Bytes that may be received but unread on one link.
const LINK_WINDOW_BYTES: u32 = 2 << 20;

type Links = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

/// One endpoint that both connects and listens; each link carries calls of both sides.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    endpoint: Endpoint,
    newest: LinkFormat,
    config: Arc<RwLock<ClientConfig>>,
    links: Links,
    incoming: mpsc::Sender<IncomingCall>,
}

impl PeerMesh {
    /// Binds the endpoint and sends incoming calls to the returned channel.
    ///
    /// # Errors
    /// Fails when the keys are not usable for TLS or the address can't be bound.
    pub fn bind(address: SocketAddr, keys: &Keys) -> Result<(Self, mpsc::Receiver<IncomingCall>)> {
        Self::bind_up_to(LinkFormat::NEWEST, address, keys)
    }

    /// Binds the endpoint as [`PeerMesh::bind`] does, and uses no newer format than this one, as an
    /// earlier build does.
    ///
    /// # Errors
    /// Fails when the keys are not usable for TLS or the address can't be bound.
    pub fn bind_up_to(
        newest: LinkFormat,
        address: SocketAddr,
        keys: &Keys,
    ) -> Result<(Self, mpsc::Receiver<IncomingCall>)> {
        let (server, client) = configs(keys, newest)?;
        let endpoint = Endpoint::server(server, address).map_err(Error::Bind)?;
        let (incoming, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        let config = Arc::new(RwLock::new(client));
        let mesh = Self { endpoint, newest, config, links: Links::default(), incoming };
        tokio::spawn(mesh.clone().accept_links(keys.clone()));
        Ok((mesh, receiver))
    }

    /// Uses other keys for new links; open links keep theirs.
    ///
    /// # Errors
    /// Fails when the keys are not usable for TLS; the earlier ones stay in use.
    pub fn replace_keys(&self, keys: &Keys) -> Result<()> {
        let (server, client) = configs(keys, self.newest)?;
        self.endpoint.set_server_config(Some(server));
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Sends a request to a peer, over the open link if there is one.
    ///
    /// # Errors
    /// [`Error::Connect`] when the peer has received nothing of the request,
    /// [`Error::Lost`] when it may have received it,
    /// [`Error::OldFormat`] when its build does not know this kind of request.
    pub async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<ReplyStream> {
        let link = self.open_link(peer).await?;
        let result = call_on_link(&link, request).await;
        if !matches!(result, Ok(_) | Err(Error::OldFormat)) {
            self.remove_link(peer);
        }
        result
    }

    /// Removes the link to a peer that does not respond, so that the next call opens a new one.
    /// Calls in progress continue on the old link.
    pub fn remove_link(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Counts the links to peers.
    pub fn link_count(&self) -> usize {
        self.lock().len()
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<Connection> {
        let open = self.lock().get(&peer).cloned();
        if let Some(link) = open.filter(|link| link.close_reason().is_none()) {
            return Ok(link);
        }
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner).clone();
        let handshake = self
            .endpoint
            .connect_with(config, peer, FLEET_SERVER_NAME)
            .map_err(|_error| Error::Connect)?;
        let link = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_elapsed| Error::Connect)?
            .map_err(|_error| Error::Connect)?;
        self.lock().insert(peer, link.clone());
        tokio::spawn(accept_calls(link.clone(), self.incoming.clone()));
        Ok(link)
    }

    async fn accept_links(self, keys: Keys) {
        while let Some(handshake) = self.endpoint.accept().await {
            let (mesh, keys) = (self.clone(), keys.clone());
            tokio::spawn(async move {
                match handshake.await {
                    Ok(link) if is_host(&link) => {
                        mesh.lock().insert(link.remote_address(), link.clone());
                        accept_calls(link, mesh.incoming.clone()).await;
                    }
                    Ok(_other_role) => keys.count_refusal("not_a_host"),
                    // The certificate verifier has already counted a refused certificate.
                    Err(_error) => {}
                }
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn configs(keys: &Keys, newest: LinkFormat) -> Result<(ServerConfig, ClientConfig)> {
    let transport = Arc::new(transport_config());
    let (mut server, mut client) = (server_config(keys, newest)?, client_config(keys, newest)?);
    server.transport_config(Arc::clone(&transport));
    client.transport_config(transport);
    Ok((server, client))
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_CALLS.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport.receive_window(LINK_WINDOW_BYTES.into());
    transport.mtu_discovery_config(None);
    transport
}
