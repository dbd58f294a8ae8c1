//! Owns engines: admission, residency and dispatch.
//!
//! One process runs on each entry host. [`session`] renews the session and
//! acquires engines, [`ownership`] fences them, [`witness`] asks peers to confirm
//! the session while the platform is unreachable, [`engine`] runs one owned
//! engine, and [`serve`] handles the calls of peers.

mod collect;
mod engine;
mod leaving;
mod metrics;
mod ownership;
mod serve;
mod session;
mod witness;

use engine::{permit::PermitBroker, settings::PlacementSettings};
use rail_lease::SessionRecord;
use rail_member::{Heartbeat, Role};
use rail_peer::{Daemon, Gossip, PeerServer, StartError, follow_configuration};
use rail_platform::{ConfigFollower, HostList, PlatformClient};
use rail_runtime::{MonotonicClock, spawn_metrics_server};
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Peer(#[from] rail_peer::Error),
    #[error("--policy: {0}")]
    Policy(#[from] rail_place::UnknownPolicy),
    #[error("--admission: {0}")]
    Admission(#[from] rail_admit::UnknownQueuePolicy),
    #[error("--weights: {0}")]
    Weights(#[from] rail_place::InvalidWeights),
}

#[actix_web::main]
async fn main() -> Result<(), Error> {
    let daemon = Daemon::open()?;
    let Daemon { settings, stop, metrics: registry, keys, peers: client, .. } = &daemon;
    let counters = metrics::SchedulerMetrics::register(registry);
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let (server, incoming) = PeerServer::bind(address, &keys.current())?;
    server.follow_keys(keys);
    PlacementSettings {
        policy: settings.policy.parse()?,
        objective: settings.weights.parse()?,
        admission: settings.admission.parse()?,
    }
    .install();
    let platform = PlatformClient::open(settings.platform, settings.ip).with_metrics(registry);
    let config = ConfigFollower::spawn(platform.clone());
    let mut own = Heartbeat::start(&settings.host, &settings.zone, Role::Scheduler);
    own.address = Some(address);
    let gossip = Gossip::spawn(client.clone(), own, settings.heartbeat);
    gossip.set_seeds(settings.seeds());
    let hosts = HostList::spawn(platform.clone());
    actix_rt::spawn(follow_configuration(config.clone(), hosts, gossip.clone(), client.clone()));
    let record = SessionRecord {
        session_id: rand::random(),
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address,
        ttl_ms: settings.session_ttl.as_millis() as u64,
        renewals: 0,
        leaving: false,
        revoked: false,
        witnesses: Vec::new(),
    };
    let clock = MonotonicClock::start();
    let session = session::Session::spawn(
        record,
        clock,
        platform,
        client.clone(),
        config.clone(),
        gossip.clone(),
        counters.clone(),
    );
    collect::spawn(session.clone(), settings.session_retention);
    PermitBroker::spawn(clock, client.clone(), session.clone(), config.clone(), counters.clone());
    spawn_metrics_server(SocketAddr::new(settings.ip, settings.metrics_port), registry.clone())?;
    leaving::spawn(session.clone(), config.clone());
    serve::spawn(incoming, session.clone(), gossip.clone(), config, counters);
    log::info!("scheduler of {} listens on {address}", settings.host);
    stop.wait().await;
    log::info!("scheduler of {} is leaving", settings.host);
    gossip.update_own_heartbeat(|own| own.leaving = true);
    session.shut_down().await;
    drop(server);
    Ok(())
}
