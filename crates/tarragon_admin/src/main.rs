//! Operator RPC: accepts configuration changes by conditional writes to the platform.
//!
//! [`listener`] verifies client certificates, [`operator`] implements the RPC and checks the role
//! of each caller, [`quarantine`] lists and releases quarantined requests, and [`accept`] writes
//! changes as the next generation. The platform client is not thread-safe, so the last two run on
//! the thread that owns it.

mod accept;
mod listener;
mod operator;
mod quarantine;

use rail_api::operator::operator_server::OperatorServer;
use rail_member::{Heartbeat, Role};
use rail_peer::{Daemon, Gossip, StartError, follow_configuration, follow_sessions};
use rail_platform::{ConfigFollower, HostList, ObjectKind, PlatformClient, WatchCache};
use rail_runtime::spawn_metrics_server;
use std::{net::SocketAddr, time::Duration};
use tonic::transport::Server;

/// Timeout of one operator call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Simultaneous calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 32;
/// Largest request in bytes; `apply` sends all changes of a fleet file in one.
const MAX_REQUEST_BYTES: usize = 4 << 20;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Rpc(#[from] tonic::transport::Error),
}

#[actix_rt::main]
async fn main() -> Result<(), Error> {
    let daemon = Daemon::open()?;
    let Daemon { settings, stop, metrics, keys, peers, .. } = &daemon;
    let address = SocketAddr::new(settings.ip, settings.operator_port);
    let mut own_heartbeat = Heartbeat::start(&settings.host, &settings.zone, Role::Admin);
    own_heartbeat.address = Some(address);
    let gossip = Gossip::spawn(peers.clone(), own_heartbeat, settings.heartbeat);
    gossip.set_seeds(settings.seeds());
    let platform = PlatformClient::open(settings.platform, settings.ip).with_metrics(metrics);
    let config = ConfigFollower::spawn(platform.clone());
    let sessions = WatchCache::spawn(platform.clone(), ObjectKind::Session);
    actix_rt::spawn(follow_sessions(sessions, gossip.clone()));
    let hosts = HostList::spawn(platform.clone());
    actix_rt::spawn(follow_configuration(config.clone(), hosts, gossip.clone(), peers.clone()));
    let quarantine = quarantine::Quarantine::spawn(platform.clone());
    let acceptor = accept::Acceptor::spawn(platform, config, metrics);
    let rpc = operator::OperatorRpc::new(acceptor, quarantine, gossip, metrics);
    let service = OperatorServer::new(rpc).max_decoding_message_size(MAX_REQUEST_BYTES);
    let metrics_address = SocketAddr::new(settings.ip, settings.admin_metrics_port);
    spawn_metrics_server(metrics_address, metrics.clone())?;
    let connections = listener::bind(address, keys.clone(), metrics).await?;
    log::info!("operator RPC of host {} listens on {address}", settings.host);
    Server::builder()
        .timeout(CALL_TIMEOUT)
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(service)
        .serve_with_incoming_shutdown(connections, async move { stop.wait().await })
        .await?;
    Ok(())
}
