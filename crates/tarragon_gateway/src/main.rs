//! Caller API: routes requests to the owners of engines.
//!
//! [`caller`] holds the HTTP handlers, [`route`] finds the owner of a
//! candidate engine, [`answer`] follows the request to its outcome, [`services`] passes calls to
//! plain upstreams, [`resume`] reads broken streams on, [`quarantine`] holds
//! back requests that crash upstreams, [`claims`] runs keyed requests at most
//! once, [`collect`] removes old claims, [`problem`] writes errors.

mod answer;
mod caller;
mod claims;
mod collect;
mod entry;
mod metrics;
mod problem;
mod quarantine;
mod resume;
mod route;
mod services;

use actix_web::{App, HttpServer, web};
use rail_lease::SessionRecord;
use rail_member::{Heartbeat, Role};
use rail_peer::{Gossip, PeerClient};
use rail_platform::{ConfigFollower, ObjectKind, PlatformClient, WatchCache};
use rail_request::RetryBudget;
use rail_runtime::{FleetSettings, Keys, Metrics, StopSignal, start_logging};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Largest body of a caller's request in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest time that a graceful stop waits for requests in progress, in seconds.
const STOP_TIMEOUT_S: u64 = 600;
/// Time in which a caller must send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between looks at the addresses of schedulers.
const PEER_INTERVAL: Duration = Duration::from_millis(200);

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
}

/// What every handler of the gateway uses.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// Settings of this process.
    pub settings: FleetSettings,
    /// Configuration in force.
    pub config: ConfigFollower,
    /// Owners of engines.
    pub owners: WatchCache,
    /// Platform object API.
    pub platform: PlatformClient,
    /// Requests that crash their upstreams.
    pub quarantine: quarantine::Quarantine,
    /// Retries that may still be made.
    pub budget: Rc<RefCell<RetryBudget>>,
    /// Known processes.
    pub gossip: Gossip,
    /// Links to schedulers.
    pub peers: PeerClient,
    /// Counters.
    pub metrics: metrics::GatewayMetrics,
    /// Metrics of the process.
    pub registry: Metrics,
    /// Tells whether the process is stopping.
    pub stop: StopSignal,
    /// Instances of plain services.
    pub services: services::Services,
}

/// Parts of the gateway that its threads share.
#[derive(Debug, Clone)]
struct Shared {
    settings: FleetSettings,
    gossip: Gossip,
    peers: PeerClient,
    metrics: metrics::GatewayMetrics,
    registry: Metrics,
    stop: StopSignal,
}

impl Gateway {
    /// Opens the platform's watches on the current actix thread.
    fn open(shared: Shared) -> Self {
        let platform = PlatformClient::open(shared.settings.platform, shared.settings.ip);
        let gateway = Self {
            config: ConfigFollower::spawn(platform.clone()),
            owners: WatchCache::spawn(platform.clone(), ObjectKind::Owner),
            quarantine: quarantine::Quarantine::spawn(
                platform.clone(),
                shared.metrics.crashes.clone(),
            ),
            budget: Rc::default(),
            platform: platform.clone(),
            services: services::Services::default(),
            settings: shared.settings,
            gossip: shared.gossip,
            peers: shared.peers,
            metrics: shared.metrics,
            registry: shared.registry,
            stop: shared.stop,
        };
        let sessions = WatchCache::spawn(platform, ObjectKind::Session);
        actix_rt::spawn(gateway.clone().follow_peers(sessions));
        actix_rt::spawn(collect::collect_claims(gateway.clone()));
        gateway
    }

    /// Exchanges heartbeats with every scheduler that has a session.
    async fn follow_peers(self, sessions: WatchCache) {
        loop {
            let records = sessions.objects();
            let live = records
                .iter()
                .filter_map(|o| serde_json::from_str::<SessionRecord>(&o.value).ok())
                .filter(|record| !record.revoked);
            self.gossip.set_peers(live.map(|record| record.address).collect());
            let generation = self.config.current().generation;
            self.gossip.update_own(|own| own.generation = generation);
            actix_rt::time::sleep(PEER_INTERVAL).await;
        }
    }
}

#[actix_web::main]
async fn main() -> Result<(), Error> {
    let settings = FleetSettings::open();
    let _logger = start_logging(&settings.log_level, settings.log_format)?;
    let stop = StopSignal::open()?;
    let keys = Keys::open(&settings.ca, &settings.cert, &settings.key)?;
    let registry = Metrics::default();
    let peers = PeerClient::open(settings.ip, &keys)?;
    let own = Heartbeat::start(&settings.host, &settings.zone, Role::Gateway);
    let gossip = Gossip::spawn(peers.clone(), own, settings.heartbeat);
    let address = SocketAddr::new(settings.ip, settings.caller_port);
    let lifetime = settings.entry_lifetime;
    let shared = Shared {
        metrics: metrics::GatewayMetrics::register(&registry),
        settings,
        gossip: gossip.clone(),
        peers,
        registry,
        stop: stop.clone(),
    };
    // The platform client is not shared between threads, so its thread opens it.
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Gateway::open(shared.clone())))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(caller::routes)
    })
    .workers(1)
    .client_request_timeout(HEAD_TIMEOUT)
    .shutdown_timeout(STOP_TIMEOUT_S)
    .disable_signals()
    .bind(address)?
    .run();
    let handle = server.handle();
    log::info!("gateway listens on {address}");
    actix_rt::spawn(async move {
        stop.wait().await;
        log::info!("gateway is leaving");
        gossip.update_own(|own| own.leaving = true);
        actix_rt::time::sleep(lifetime).await;
        handle.stop(true).await;
    });
    server.await?;
    Ok(())
}
