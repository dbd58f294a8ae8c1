//! Operator RPC: accepts configuration by conditional write.
//!
//! [`operator`] serves the schema; [`accept`] turns changes into the next
//! generation on the thread that holds the platform client.

mod accept;
mod operator;

use rail_api::operator::operator_server::OperatorServer;
use rail_member::{Heartbeat, Role};
use rail_peer::{Gossip, PeerClient, follow_configuration, follow_sessions};
use rail_platform::{ConfigFollower, HostList, ObjectKind, PlatformClient, WatchCache};
use rail_runtime::{FleetSettings, Keys, Metrics, StopSignal, start_logging};
use std::{net::SocketAddr, time::Duration};
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// Longest time that one operator call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Log(#[from] rail_runtime::logs::LogError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    #[error(transparent)]
    Peer(#[from] rail_peer::Error),
    #[error(transparent)]
    Rpc(#[from] tonic::transport::Error),
}

#[actix_rt::main]
async fn main() -> Result<(), Error> {
    let settings = FleetSettings::open();
    let _logger = start_logging(&settings.log_level, settings.log_format)?;
    let stop = StopSignal::open()?;
    let keys = Keys::open(&settings.ca, &settings.cert, &settings.key)?;
    let metrics = Metrics::default();
    let peers = PeerClient::open(settings.ip, &keys)?;
    let address = SocketAddr::new(settings.ip, settings.operator_port);
    let mut own = Heartbeat::start(&settings.host, &settings.zone, Role::Admin);
    own.address = Some(address);
    let gossip = Gossip::spawn(peers.clone(), own, settings.heartbeat);
    gossip.set_seeds(settings.seeds());
    let platform = PlatformClient::open(settings.platform, settings.ip).with_metrics(&metrics);
    let config = ConfigFollower::spawn(platform.clone());
    let sessions = WatchCache::spawn(platform.clone(), ObjectKind::Session);
    actix_rt::spawn(follow_sessions(sessions, gossip.clone()));
    let hosts = HostList::spawn(platform.clone());
    actix_rt::spawn(follow_configuration(config.clone(), hosts, gossip.clone(), peers));
    let acceptor = accept::Acceptor::spawn(platform, config, &metrics);
    let tls = ServerTlsConfig::new()
        .identity(Identity::from_pem(&keys.cert_pem, &keys.key_pem))
        .client_ca_root(Certificate::from_pem(&keys.ca_pem));
    log::info!("admin of {} listens on {address}", settings.host);
    Server::builder()
        .tls_config(tls)?
        .timeout(CALL_TIMEOUT)
        .add_service(OperatorServer::new(operator::OperatorRpc::new(acceptor, gossip)))
        .serve_with_shutdown(address, async move { stop.wait().await })
        .await?;
    Ok(())
}
