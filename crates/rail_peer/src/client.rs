//! The calling side of peer links.

use crate::{
    error::{Error, Result},
    format::LinkFormat,
    frame::{self, Reader},
    message::{PeerReply, PeerRequest},
    server::transport_config,
};
use quinn::{ClientConfig, Connection, Endpoint, VarInt, crypto::rustls::QuicClientConfig};
use rail_runtime::{Keys, LiveKeys, Metrics, keys::FLEET_SERVER_NAME};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};
use tokio::sync::Mutex;

/// Timeout for opening a link, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the bytes on the links are added to the metric.
const BYTE_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Calls peers over links that it opens on demand; clones share the links.
#[derive(Debug, Clone)]
pub struct PeerClient {
    endpoint: Endpoint,
    config: Arc<RwLock<ClientConfig>>,
    links: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

/// Replies of one call; dropping it cancels the call at the peer.
#[derive(Debug)]
pub struct ReplyStream {
    reader: Reader,
}

impl ReplyStream {
    /// Waits for the next reply; returns none when the peer has finished.
    ///
    /// # Errors
    /// [`Error::Lost`] when the link was lost or the peer aborted the call,
    /// [`Error::InvalidMessage`] when the reply can't be decoded.
    pub async fn next(&mut self) -> Result<Option<PeerReply>> {
        frame::read(&mut self.reader).await
    }

    /// Cancels the call with this code of 62 bits at most, which the peer reads by
    /// `ReplySender::stop_code`.
    pub fn stop(mut self, code: u64) {
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // Fails only if the peer has already finished the call.
        let _finished = self.reader.get_mut().stop(code);
    }
}

impl PeerClient {
    /// Opens an endpoint that connects to peers from this address.
    ///
    /// # Errors
    /// Fails when the keys are not usable for TLS or the address can't be bound.
    pub fn open(ip: IpAddr, keys: &Keys) -> Result<Self> {
        let config = Arc::new(RwLock::new(client_config(keys, LinkFormat::NEWEST)?));
        let endpoint = Endpoint::client(SocketAddr::new(ip, 0)).map_err(Error::Bind)?;
        Ok(Self { endpoint, config, links: Arc::default() })
    }

    /// Starts using replaced keys for new links; open links keep their keys.
    pub fn follow_keys(&self, keys: &LiveKeys) {
        let (config, mut changes) = (Arc::clone(&self.config), keys.subscribe());
        tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                let keys = changes.borrow_and_update().clone();
                if let Ok(replaced) = client_config(&keys, LinkFormat::NEWEST) {
                    *config.write().unwrap_or_else(PoisonError::into_inner) = replaced;
                }
            }
        });
    }

    /// Counts the bytes sent and received on the links of this client in `peer_bytes`.
    pub fn with_metrics(self, metrics: &Metrics) -> Self {
        let counter = metrics.counter("peer_bytes", "Bytes on links to peers, both directions");
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            let mut counted_bytes = HashMap::new();
            loop {
                for link in links.lock().await.values() {
                    let stats = link.stats();
                    let bytes = stats.udp_tx.bytes + stats.udp_rx.bytes;
                    let previous = counted_bytes.insert(link.stable_id(), bytes).unwrap_or(0);
                    counter.inc_by(bytes.saturating_sub(previous));
                }
                tokio::time::sleep(BYTE_COUNT_INTERVAL).await;
            }
        });
        self
    }

    /// Sends a request to this peer, over the open link if there is one.
    ///
    /// # Errors
    /// [`Error::Connect`] when the peer has received nothing of the request,
    /// [`Error::Lost`] when it may have received it,
    /// [`Error::OldFormat`] when its build does not know this kind of request.
    pub async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<ReplyStream> {
        let link = self.open_link(peer).await?;
        let result = call_on_link(&link, request).await;
        if matches!(result, Err(Error::Connect)) {
            self.links.lock().await.remove(&peer);
        }
        result
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<Connection> {
        if let Some(link) = self.links.lock().await.get(&peer)
            && link.close_reason().is_none()
        {
            return Ok(link.clone());
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
        self.links.lock().await.insert(peer, link.clone());
        Ok(link)
    }
}

/// Sends a request over an open link.
pub(crate) async fn call_on_link(link: &Connection, request: &PeerRequest) -> Result<ReplyStream> {
    if request.format() > LinkFormat::of(link) {
        return Err(Error::OldFormat);
    }
    let (send, receive) = link.open_bi().await.map_err(|_lost| Error::Connect)?;
    let mut writer = frame::writer(send);
    frame::write(&mut writer, request).await?;
    // Fails if the peer has already stopped the stream; reading then reports that.
    let _stopped = writer.get_mut().finish();
    Ok(ReplyStream { reader: frame::reader(receive) })
}

pub(crate) fn client_config(keys: &Keys, newest: LinkFormat) -> Result<ClientConfig> {
    let tls = QuicClientConfig::try_from(keys.client_config(newest.offered())?)
        .map_err(|_error| Error::IncompatibleTls)?;
    let mut config = ClientConfig::new(Arc::new(tls));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}
