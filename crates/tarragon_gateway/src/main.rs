//! Caller API: routes requests to the owners of engines.
//!
//! [`caller`] holds the HTTP handlers, [`route`] finds the owner of a
//! candidate engine, [`answer`] follows the request to its outcome, [`load`]
//! counts requests in progress, [`phases`] leads from start to stop,
//! [`services`] passes calls to plain upstreams,
//! [`resume`] reads broken streams on, [`quarantine`] holds back requests that
//! crash upstreams, [`claims`] runs keyed requests at most once, [`collect`]
//! removes old claims, [`problem`] writes errors.

mod answer;
mod body;
mod caller;
mod claims;
mod collect;
mod entry;
mod load;
mod metrics;
mod phases;
mod problem;
mod quarantine;
mod resume;
mod route;
mod services;

use actix_web::{App, HttpServer, dev::Service, web};
use rail_member::{Heartbeat, Role};
use rail_peer::{Daemon, Gossip, PeerClient, StartError, follow_configuration, follow_sessions};
use rail_place::ReplicaHints;
use rail_platform::{ConfigFollower, HostList, ObjectKind, PlatformClient, WatchCache};
use rail_request::RetryBudget;
use rail_runtime::{FleetSettings, Metrics, StopSignal};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest time that a graceful stop waits for requests in progress, in seconds.
const STOP_TIMEOUT_S: u64 = 600;
/// Time in which a caller must send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the start in which requests wait for the first configuration.
const START_LIMIT: Duration = Duration::from_secs(2);
/// Interval between looks at the configuration meanwhile.
const START_INTERVAL: Duration = Duration::from_millis(20);
/// Heartbeat intervals in which a leaving mark reaches every gateway.
const LEAVING_SPREAD_INTERVALS: u32 = 3;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
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
    /// Widths of hot adapters.
    pub widths: Rc<RefCell<ReplicaHints>>,
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
    /// Time at which the process began to serve.
    pub started_at: Instant,
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
        let platform = PlatformClient::open(shared.settings.platform, shared.settings.ip)
            .with_metrics(&shared.registry);
        let gateway = Self {
            config: ConfigFollower::spawn(platform.clone()),
            owners: WatchCache::spawn(platform.clone(), ObjectKind::Owner),
            quarantine: quarantine::Quarantine::spawn(
                platform.clone(),
                shared.metrics.crashes.clone(),
            ),
            budget: Rc::default(),
            widths: Rc::default(),
            platform: platform.clone(),
            services: services::Services::open(shared.metrics.ejections.clone()),
            settings: shared.settings,
            gossip: shared.gossip,
            peers: shared.peers,
            metrics: shared.metrics,
            registry: shared.registry,
            stop: shared.stop,
            started_at: Instant::now(),
        };
        let sessions = WatchCache::spawn(platform.clone(), ObjectKind::Session);
        actix_rt::spawn(follow_sessions(sessions, gateway.gossip.clone()));
        actix_rt::spawn(follow_configuration(
            gateway.config.clone(),
            HostList::spawn(platform),
            gateway.gossip.clone(),
            gateway.peers.clone(),
        ));
        let loads = gateway.services.clone().follow_loads(gateway.config.clone());
        actix_rt::spawn(loads);
        actix_rt::spawn(collect::collect_claims(gateway.clone()));
        gateway
    }

    /// Holds requests of the first seconds until the configuration is confirmed.
    async fn wait_for_configuration(&self) {
        while self.started_at.elapsed() < START_LIMIT && self.check_configuration().is_err() {
            actix_rt::time::sleep(START_INTERVAL).await;
        }
    }
}

#[actix_web::main]
async fn main() -> Result<(), Error> {
    let daemon = Daemon::open()?;
    let Daemon { settings, stop, metrics: registry, peers, .. } = &daemon;
    let address = SocketAddr::new(settings.ip, settings.caller_port);
    let mut own = Heartbeat::start(&settings.host, &settings.zone, Role::Gateway);
    own.address = Some(address);
    let gossip = Gossip::spawn(peers.clone(), own, settings.heartbeat);
    gossip.set_seeds(settings.seeds());
    let load = load::Load::new(gossip.clone());
    // Answers of other gateways may name this one until the mark has reached them.
    let lifetime = settings.entry_lifetime + settings.heartbeat * LEAVING_SPREAD_INTERVALS;
    let phases = phases::Phases::open(gossip.clone(), registry);
    let shared = Shared {
        metrics: metrics::GatewayMetrics::register(registry),
        settings: settings.clone(),
        gossip,
        peers: peers.clone(),
        registry: registry.clone(),
        stop: stop.clone(),
    };
    // The platform client is not shared between threads, so its thread opens it.
    let server = HttpServer::new(move || {
        let load = load.clone();
        let gateway = Gateway::open(shared.clone());
        let starting = gateway.clone();
        App::new()
            .wrap_fn(move |request, service| {
                let in_flight = load.start_request();
                let starting = starting.clone();
                let reply = service.call(request);
                async move {
                    starting.wait_for_configuration().await;
                    Ok(reply.await?.map_body(|_, body| in_flight.count(body)))
                }
            })
            .app_data(web::Data::new(gateway))
            .app_data(web::PayloadConfig::new(body::MAX_BODY_BYTES))
            .configure(caller::routes)
    })
    .workers(1)
    .tcp_nodelay(true)
    .client_request_timeout(HEAD_TIMEOUT)
    .shutdown_timeout(STOP_TIMEOUT_S)
    .disable_signals()
    .bind(address)?
    .run();
    let handle = server.handle();
    log::info!("gateway listens on {address}");
    actix_rt::spawn(phases.run(stop.clone(), lifetime, handle));
    server.await?;
    Ok(())
}
