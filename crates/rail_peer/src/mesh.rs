//! Links among many small hosts, over one port.

use crate::{
    client::{ReplyStream, call_over, client_config},
    error::{Error, Result},
    message::PeerRequest,
    server::{INCOMING_QUEUE, IncomingCall, accept_calls, is_host, server_config},
};
use quinn::{ClientConfig, Connection, Endpoint, IdleTimeout, TransportConfig};
use rail_runtime::{Keys, keys::FLEET_SERVER_NAME};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::mpsc;

/// Time in which a link must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without any packet after which a link is closed; links that are not used need no packets.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Calls of one peer at once; each costs memory on every link, used or not.
const MAX_CALLS: u32 = 64;
/// Bytes that one link may hold unread.
const LINK_WINDOW_BYTES: u32 = 2 << 20;

type Links = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

/// One endpoint that dials and listens; a link serves calls of both sides.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    endpoint: Endpoint,
    config: ClientConfig,
    links: Links,
    incoming: mpsc::Sender<IncomingCall>,
}

impl PeerMesh {
    /// Binds the endpoint and gives incoming calls through the channel.
    ///
    /// # Errors
    /// Fails when the keys are refused or the address can't be bound.
    pub fn bind(address: SocketAddr, keys: &Keys) -> Result<(Self, mpsc::Receiver<IncomingCall>)> {
        let transport = Arc::new(transport());
        let mut server = server_config(keys)?;
        server.transport_config(Arc::clone(&transport));
        let mut config = client_config(keys)?;
        config.transport_config(transport);
        let endpoint = Endpoint::server(server, address).map_err(Error::Bind)?;
        let (incoming, receiver) = mpsc::channel(INCOMING_QUEUE);
        let mesh = Self { endpoint, config, links: Links::default(), incoming };
        tokio::spawn(mesh.clone().accept(keys.clone()));
        Ok((mesh, receiver))
    }

    /// Sends a request to a peer, over the open link if there is one.
    ///
    /// # Errors
    /// [`Error::Connect`] when the peer has seen nothing of the request,
    /// [`Error::Lost`] when it may have.
    pub async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<ReplyStream> {
        let link = self.link(peer).await?;
        let called = call_over(&link, request).await;
        if called.is_err() {
            self.remove_link(peer);
        }
        called
    }

    /// Opens another link for the next call to a peer that does not react; calls in progress stay.
    pub fn remove_link(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Counts the links.
    pub fn link_count(&self) -> usize {
        self.lock().len()
    }

    async fn link(&self, peer: SocketAddr) -> Result<Connection> {
        let open = self.lock().get(&peer).cloned();
        if let Some(link) = open.filter(|link| link.close_reason().is_none()) {
            return Ok(link);
        }
        let connecting = self
            .endpoint
            .connect_with(self.config.clone(), peer, FLEET_SERVER_NAME)
            .map_err(|_error| Error::Connect)?;
        let link = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_elapsed| Error::Connect)?
            .map_err(|_error| Error::Connect)?;
        self.lock().insert(peer, link.clone());
        tokio::spawn(accept_calls(link.clone(), self.incoming.clone()));
        Ok(link)
    }

    async fn accept(self, keys: Keys) {
        while let Some(connecting) = self.endpoint.accept().await {
            let (mesh, keys) = (self.clone(), keys.clone());
            tokio::spawn(async move {
                match connecting.await {
                    Ok(link) if is_host(&link) => {
                        mesh.lock().insert(link.remote_address(), link.clone());
                        accept_calls(link, mesh.incoming.clone()).await;
                    }
                    Ok(_other_role) => keys.count_refusal("not_a_host"),
                    // The verifier has counted a refused certificate.
                    Err(_error) => {}
                }
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.max_concurrent_bidi_streams(MAX_CALLS.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport.receive_window(LINK_WINDOW_BYTES.into());
    transport.mtu_discovery_config(None);
    transport
}
