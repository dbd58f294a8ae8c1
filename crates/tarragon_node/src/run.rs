//! Startup, configuration reload and graceful shutdown of the process.

use crate::{
    bad_records::BadRecords,
    brittle_services, caller_requests, detour,
    dispatch::{self, Dispatch},
    dispatch_calls::DispatchPauses,
    drained_upstreams::DrainedUpstreams,
    engines::OwnedEngines,
    entry,
    error::Result,
    events::{Event, Events},
    flags::NodeFlags,
    hedges::Hedges,
    keys::{self, AuthorityRecord},
    lease,
    metrics::NodeMetrics,
    node::{Node, ReloadableSettings, SharedNode},
    peer_calls,
    peers::{self, Peers},
    quarantine::Quarantine,
    quarantine_news,
    quotas::{self, Quotas},
    record_sources, refresh,
    registry::Registry,
    send_permits::{self, SendPermits},
    shortage::ShortageReports,
    store_health::StoreHealth,
    store_return,
    stream_origins::{self, StreamOrigins},
    upstream_ends::UpstreamEnds,
};
use rail_dispatch::UpstreamLoads;
use rail_lease::{HostLease, ReturnGuard};
use rail_memory::{ConnectionTable, HostCapacity, HostLimits, MemoryAccount};
use rail_peer::IncomingCall;
use rail_runtime::MonotonicClock;
use rail_site::{MetadataStore, NodeSettings, settings::SettingsFile};
use rail_upstream::{ConnectionPool, ConnectionTimeouts};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc},
    task::JoinHandle,
};

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which bytes sent to an upstream may stay unacknowledged before the connection is
/// closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which buffered log lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the settings file is checked for changes that no signal announced.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which entries of removed upstreams and unused adapters are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time for which a stopping host still accepts requests, since callers may use a resolve
/// response from before the stop.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(2500);
/// Time before the end of the shutdown grace period at which the process stops waiting for
/// requests, so that it exits in time.
const STOP_TIME_RESERVE: Duration = Duration::from_millis(400);
/// Time in which the answers to requests that are left at the end of a stop are written.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Interval at which a stopping host checks whether its requests have finished.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the process until it receives SIGTERM and has shut down.
///
/// # Errors
/// Fails if the settings are invalid or a listener can't be bound.
pub async fn run(flags: NodeFlags) -> Result<()> {
    let file = SettingsFile::open()?;
    let settings = file.read()?;
    if flags.check {
        return Ok(());
    }
    // Handle both signals, since their default action would end the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let node = open_node(settings);
    let event = Event::Started {
        host: &node.settings.host,
        zone: &node.settings.zone,
        process: node.started_unix_ms,
    };
    node.events.important(&event);
    let listener = caller_requests::spawn(&node)?;
    entry::spawn(&node, node.settings.ready_address)?;
    if let Some(address) = node.settings.entry_address {
        entry::spawn(&node, address)?;
    }
    if flags.metrics_port != 0 {
        entry::spawn(&node, SocketAddr::new(node.settings.ip, flags.metrics_port))?;
    }
    store_return::follow_eras(&node);
    record_sources::spawn(&node);
    refresh::spawn(&node);
    lease::spawn(&node);
    quarantine_news::spawn(&node);
    stream_origins::spawn(&node);
    quotas::spawn(&node);
    detour::spawn(&node);
    OwnedEngines::spawn(&node);
    actix_rt::spawn(join_fleet(Rc::clone(&node)));
    actix_rt::spawn(prune(Rc::clone(&node)));
    actix_rt::spawn(flush(Rc::clone(&node)));
    actix_rt::spawn(reload(Rc::clone(&node), file, hangup));
    terminate.recv().await;
    shut_down(&node, &listener).await;
    Ok(())
}

/// Creates the state of the process without starting any task.
fn open_node(settings: NodeSettings) -> SharedNode {
    let clock = MonotonicClock::start();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_unix_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
    let timeouts =
        ConnectionTimeouts { connect: CONNECT_TIMEOUT, unacknowledged: UNACKNOWLEDGED_TIMEOUT };
    let order_delay = settings.bounds.order_handover_delay;
    let quotas = Quotas::open(&settings.host, started_unix_ms, settings.bounds.quota);
    let return_guard = ReturnGuard::new(lease::lease_ttl(), order_delay);
    let limits = HostLimits::of(&HostCapacity {
        memory_bytes: settings.memory_bytes as usize,
        max_sockets: settings.max_sockets() as usize,
        memory_fraction: settings.callers.memory_fraction,
        socket_fraction: settings.callers.socket_fraction,
    });
    Rc::new(Node {
        started_unix_ms,
        clock,
        store: MetadataStore::open(settings.store_address),
        links: ConnectionPool::new(timeouts),
        memory: MemoryAccount::new(limits.account),
        shortage_reports: ShortageReports::default(),
        caller_connections: ConnectionTable::new(limits.caller_connections),
        entry_connections: ConnectionTable::new(limits.entry_connections),
        store_health: StoreHealth::default(),
        confirmations: RefCell::default(),
        running_time: Cell::default(),
        registry: Registry::default(),
        drained_upstreams: DrainedUpstreams::default(),
        bad_records: BadRecords::default(),
        peers: Peers::default(),
        routes: RefCell::default(),
        upstreams: RefCell::default(),
        versions: RefCell::default(),
        outlier_detector: RefCell::default(),
        reach: RefCell::default(),
        cut_off_hosts: RefCell::default(),
        observed_adapters: RefCell::default(),
        replica_spread: RefCell::default(),
        hedges: Hedges::default(),
        retry_budgets: RefCell::default(),
        upstream_loads: UpstreamLoads::default(),
        dispatch: Dispatch::default(),
        dispatch_pauses: DispatchPauses::default(),
        send_permits: SendPermits::default(),
        brittle_services: RefCell::default(),
        stream_origins: StreamOrigins::default(),
        quotas,
        quarantine: Quarantine::default(),
        upstream_ends: UpstreamEnds::default(),
        hosts: RefCell::default(),
        owners: RefCell::default(),
        lease: RefCell::new(HostLease::new(started_unix_ms, lease::lease_ttl())),
        return_guard: RefCell::new(return_guard),
        engines: OwnedEngines::default(),
        in_flight: Cell::new(0),
        is_stopping: Cell::new(false),
        stops_at: Cell::new(None),
        ends_requests: Notify::new(),
        is_refusing_requests: Cell::new(false),
        records_confirmed: Notify::new(),
        records_changed: Notify::new(),
        workspace_labels: RefCell::default(),
        events: Events::open(clock),
        metrics: NodeMetrics::open(),
        reloadable_settings: Cell::new(ReloadableSettings::from_settings(&settings)),
        settings,
    })
}

/// Fetches the keys, opens the endpoint for other hosts and starts the exchange with them.
async fn join_fleet(node: SharedNode) {
    let open_result = open_links(&node).await;
    match open_result {
        Ok((authority, incoming)) => {
            actix_rt::spawn(peer_calls::serve(Rc::clone(&node), incoming));
            actix_rt::spawn(keys::maintain_authority(Rc::clone(&node), authority));
            peers::spawn(&node);
        }
        Err(reason) => {
            let host = &node.settings.host;
            node.events.important(&Event::BadRecord { kind: "keys", name: host, reason });
        }
    }
}

/// Opens the endpoint for links under the authority of the fleet.
async fn open_links(
    node: &SharedNode,
) -> std::result::Result<(AuthorityRecord, mpsc::Receiver<IncomingCall>), String> {
    let settings = &node.settings;
    let authority = keys::fetch_authority(&node.store).await.map_err(|error| error.to_string())?;
    let keys = authority.issue(&settings.host).map_err(|error| error.to_string())?;
    let opened = node.peers.open(settings.ip, settings.peer_port, &keys);
    Ok((authority, opened.map_err(|error| error.to_string())?))
}

/// Removes state about upstreams and adapters that are not in use any more.
async fn prune(node: SharedNode) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let now_ms = quarantine_news::now_ms(&node);
        node.quarantine.table.borrow_mut().prune(now_ms);
        send_permits::prune(&node);
        brittle_services::prune(&node);
        dispatch::prune(&node);
        node.hedges.prune(&node);
        stream_origins::prune(&node);
        let upstreams = node.upstreams.borrow();
        let is_known = |id: &str| upstreams.find(id).is_some();
        node.outlier_detector.borrow_mut().retain(is_known);
        node.upstream_loads.retain(is_known);
        node.observed_adapters.borrow_mut().prune(is_known, node.now());
        node.replica_spread.borrow_mut().prune(node.now());
        node.links.retain(|address| upstreams.iter().any(|known| known.address == *address));
    }
}

/// Writes buffered log lines at a fixed interval.
async fn flush(node: SharedNode) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        node.events.flush();
    }
}

/// Reloads the settings on SIGHUP, or when the file changed without a signal.
async fn reload(node: SharedNode, mut file: SettingsFile, mut hangup: tokio::signal::unix::Signal) {
    loop {
        tokio::select! {
            // The signal stream does not end while the process runs.
            _signal = hangup.recv() => {
                // Records the current state of the file, so that it isn't reloaded twice.
                file.has_changed();
            }
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => {
                if !file.has_changed() {
                    continue;
                }
            }
        }
        let outcome = apply_settings(&node, file.read());
        node.events.important(&Event::Reloaded { outcome: &outcome });
    }
}

/// Applies the reloadable settings and returns the outcome to log. Invalid settings change nothing.
fn apply_settings(node: &Node, read_result: rail_site::settings::Result<NodeSettings>) -> String {
    let settings = match read_result {
        Ok(settings) => settings,
        Err(error) => return error.to_string(),
    };
    let reloadable_settings = ReloadableSettings::from_settings(&settings);
    let is_changed = node.reloadable_settings.replace(reloadable_settings) != reloadable_settings;
    match (is_changed, node.settings.needs_restart(&settings)) {
        (false, false) => "unchanged".to_owned(),
        (true, false) => "in force".to_owned(),
        (_, true) => "limits in force; identity and listeners after a restart".to_owned(),
    }
}

/// Withdraws the host from resolve responses, waits for requests in progress, then returns.
async fn shut_down(node: &SharedNode, listener: &JoinHandle<std::io::Result<()>>) {
    let started_at = node.now();
    node.is_stopping.set(true);
    node.events.important(&Event::Stopping { in_flight: node.in_flight.get() });
    node.events.flush();
    let announcing_node = Rc::clone(node);
    actix_rt::spawn(async move { peers::announce_own_state(&announcing_node).await });
    let stop_time = node.bounds().shutdown_grace.saturating_sub(STOP_TIME_RESERVE);
    node.stops_at.set(Some(Instant::now() + stop_time));
    let stop_deadline = started_at + stop_time;
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        let now = node.now();
        if now >= started_at + MIN_ACCEPT_TIME && !node.is_refusing_requests.replace(true) {
            listener.abort();
        }
        let is_idle = node.in_flight.get() == 0 && node.is_refusing_requests.get();
        if is_idle || now >= stop_deadline {
            break;
        }
    }
    // What is left gets its answer.
    node.ends_requests.notify_waiters();
    tokio::time::sleep(LAST_ANSWERS_TIME).await;
    node.events.important(&Event::Stopped { in_flight: node.in_flight.get() });
    node.events.flush();
}
