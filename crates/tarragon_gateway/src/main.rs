//! Gateway: serves the HTTP API for callers and routes requests to the owners of engines.
//!
//! * [`caller`] has the HTTP handlers, [`body`] reads request bodies and [`problem`] defines the
//!   errors that callers receive.
//! * [`route`] finds candidate engines and their owners.
//! * [`completion_stream`] runs a request through its attempts, and [`resumed_stream`] resumes
//!   interrupted streams.
//! * [`services`] forwards calls to plain services.
//! * [`quarantine`] keeps requests that crash upstreams from running again.
//! * [`claims`] runs requests with an idempotency key at most once, and [`claim_gc`] deletes old
//!   claims.
//! * [`in_flight`] counts requests in progress, [`entry`] lists the gateways that callers may use,
//!   and [`phases`] controls startup and graceful shutdown.

mod body;
mod caller;
mod claim_gc;
mod claims;
mod completion_stream;
mod entry;
mod in_flight;
mod metrics;
mod phases;
mod problem;
mod quarantine;
mod resumed_stream;
mod route;
mod services;

use actix_web::{App, HttpServer, dev::Service, web};
use rail_member::{Heartbeat, Role};
use rail_peer::{Daemon, Gossip, PeerClient, StartError, follow_configuration, follow_sessions};
use rail_place::ReplicaHints;
use rail_platform::{ConfigFollower, HostList, ObjectKind, PlatformClient, WatchCache};
use rail_request::RetryBudget;
use rail_runtime::{FleetSettings, Metrics, ShutdownSignal};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time limit for requests in progress during a graceful shutdown, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 600;
/// Time within which a caller must send the request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the start during which requests wait for the first configuration.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for the first configuration.
const FIRST_CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of heartbeat intervals after which every gateway knows that this one is leaving.
const LEAVING_PROPAGATION_INTERVALS: u32 = 3;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// State that all handlers of the gateway share; clones share it too.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// Settings of this process.
    pub settings: FleetSettings,
    /// Applied configuration.
    pub config: ConfigFollower,
    /// Ownership records of engines, as stored on the platform.
    pub owners: WatchCache,
    /// Client of the platform's object API.
    pub platform: PlatformClient,
    /// Requests that crash their upstreams.
    pub quarantine: quarantine::Quarantine,
    /// Retry budget of this process.
    pub retry_budget: Rc<RefCell<RetryBudget>>,
    /// Numbers of engines over which the requests of hot adapters are spread, as owners reported
    /// them.
    pub replica_hints: Rc<RefCell<ReplicaHints>>,
    /// Gossip membership, which also sends the heartbeat of this process.
    pub gossip: Gossip,
    /// Client for calls to schedulers.
    pub peers: PeerClient,
    /// Counters of the gateway.
    pub metrics: metrics::GatewayMetrics,
    /// Registry of all metrics of the process.
    pub registry: Metrics,
    /// Signal that the process is shutting down.
    pub stop: ShutdownSignal,
    /// Client for calls to plain services.
    pub services: services::Services,
    /// Time at which this value was created, shortly before the server accepts requests.
    pub started_at: Instant,
}

/// Parts of the gateway that are created before the server thread and passed to it.
#[derive(Debug, Clone)]
struct SharedParts {
    settings: FleetSettings,
    gossip: Gossip,
    peers: PeerClient,
    metrics: metrics::GatewayMetrics,
    registry: Metrics,
    stop: ShutdownSignal,
}

impl Gateway {
    /// Creates the gateway and starts its background tasks on the current actix thread.
    fn open(parts: SharedParts) -> Self {
        let platform = PlatformClient::open(parts.settings.platform, parts.settings.ip)
            .with_metrics(&parts.registry);
        let gateway = Self {
            config: ConfigFollower::spawn(platform.clone()),
            owners: WatchCache::spawn(platform.clone(), ObjectKind::Owner),
            quarantine: quarantine::Quarantine::spawn(
                platform.clone(),
                parts.metrics.crashes.clone(),
            ),
            retry_budget: Rc::default(),
            replica_hints: Rc::default(),
            platform: platform.clone(),
            services: services::Services::open(parts.metrics.ejections.clone()),
            settings: parts.settings,
            gossip: parts.gossip,
            peers: parts.peers,
            metrics: parts.metrics,
            registry: parts.registry,
            stop: parts.stop,
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
        let polling = gateway.services.clone().poll_loads(gateway.config.clone());
        actix_rt::spawn(polling);
        actix_rt::spawn(claim_gc::delete_expired_claims(gateway.clone()));
        gateway
    }

    /// Delays a request that arrives right after the start until a configuration is confirmed.
    async fn wait_for_configuration(&self) {
        while self.started_at.elapsed() < FIRST_CONFIG_TIMEOUT
            && self.check_configuration().is_err()
        {
            actix_rt::time::sleep(FIRST_CONFIG_POLL_INTERVAL).await;
        }
    }
}

#[actix_web::main]
async fn main() -> Result<(), Error> {
    let daemon = Daemon::open()?;
    let Daemon { settings, stop, metrics: registry, peers, .. } = &daemon;
    let address = SocketAddr::new(settings.ip, settings.caller_port);
    let mut heartbeat = Heartbeat::start(&settings.host, &settings.zone, Role::Gateway);
    heartbeat.address = Some(address);
    let gossip = Gossip::spawn(peers.clone(), heartbeat, settings.heartbeat);
    gossip.set_seeds(settings.seeds());
    let in_flight = in_flight::InFlightCounter::new(gossip.clone());
    // Other gateways list this one to callers until they know that it is leaving, and callers use
    // such a list for `entry_lifetime`.
    let leaving_time = settings.entry_lifetime + settings.heartbeat * LEAVING_PROPAGATION_INTERVALS;
    let phases = phases::PhaseController::open(gossip.clone(), registry);
    let parts = SharedParts {
        metrics: metrics::GatewayMetrics::register(registry),
        settings: settings.clone(),
        gossip,
        peers: peers.clone(),
        registry: registry.clone(),
        stop: stop.clone(),
    };
    // The platform client can't be shared between threads, so the server thread creates it.
    let server = HttpServer::new(move || {
        let in_flight = in_flight.clone();
        let gateway = Gateway::open(parts.clone());
        let waiting_gateway = gateway.clone();
        App::new()
            .wrap_fn(move |request, service| {
                let guard = in_flight.start_request();
                let waiting_gateway = waiting_gateway.clone();
                let response = service.call(request);
                async move {
                    waiting_gateway.wait_for_configuration().await;
                    Ok(response.await?.map_body(|_, body| guard.into_body(body)))
                }
            })
            .app_data(web::Data::new(gateway))
            .app_data(web::PayloadConfig::new(body::MAX_BODY_BYTES))
            .configure(caller::routes)
    })
    .workers(1)
    .tcp_nodelay(true)
    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .disable_signals()
    .bind(address)?
    .run();
    let handle = server.handle();
    log::info!("gateway listens on {address}");
    actix_rt::spawn(phases.run(stop.clone(), leaving_time, handle));
    server.await?;
    Ok(())
}
