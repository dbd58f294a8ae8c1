//! State of the process, shared by all its tasks on a single thread.

use crate::{
    bad_records::BadRecords, dispatch::Dispatch, dispatch_calls::DispatchPauses,
    drained_upstreams::DrainedUpstreams, engines::OwnedEngines, events::Events, hedges::Hedges,
    metrics::NodeMetrics, peers::Peers, quarantine::Quarantine, quotas::Quotas, registry::Registry,
    send_permits::SendPermits, shortage::ShortageReports, store_health::StoreHealth,
    stream_origins::StreamOrigins, upstream_ends::UpstreamEnds,
};
use rail_dispatch::UpstreamLoads;
use rail_hedge::HedgeShare;
use rail_lease::{ReturnGuard, host_lease::HostLease};
use rail_limit::BrittleServices;
use rail_member::{
    Confirmations, HostView, RecordAges, RecordBounds, RecordKind, RunningTime,
    refresh::RefreshBudget,
};
use rail_memory::{ConnectionTable, MemoryAccount};
use rail_peer::FeedItem;
use rail_place::{AdapterVersions, ReplicaSpread};
use rail_revision::{Era, Revision};
use rail_route::{
    CutOffHosts, ObservedAdapters, OutlierDetector, RetryBudget, RouteTable, ServiceId, Upstream,
    UpstreamId, UpstreamReach, UpstreamState, UpstreamTable,
};
use rail_runtime::{MonotonicClock, time_since_boot};
use rail_site::{MetadataStore, NodeSettings, settings::Bounds};
use rail_upstream::ConnectionPool;
use rail_workspace::WorkspaceLabels;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Record in the store that names the owner of an engine, which alone may send it orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Host that owns the engine.
    pub host: String,
    /// Epoch of the host's lease under which the ownership is valid.
    pub epoch: u64,
    /// Era of the store in which the host claimed the engine.
    #[serde(default)]
    pub era: Era,
}

/// An owner record with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ownership {
    /// Record as stored.
    pub record: OwnerRecord,
    /// Revision of the record in the store, from which engines get their fencing number.
    pub revision: Revision,
    /// Whether another host or process owned the engine before, as far as this process has seen.
    pub has_predecessor: bool,
}

/// Settings that take effect while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReloadableSettings {
    /// Limits and timeouts set by the operators.
    pub bounds: Bounds,
    /// Processor capacity of this host in cores.
    pub cores: f64,
    /// Bandwidth of this host's network link in Mbit/s.
    pub link_mbit_per_s: f64,
    /// Share of the requests that may get a second attempt beside a slow one.
    pub hedge_share: HedgeShare,
}

impl ReloadableSettings {
    /// Copies the reloadable part of the settings.
    pub fn from_settings(settings: &NodeSettings) -> Self {
        let NodeSettings { bounds, cores, link_mbit_per_s, hedge_share, .. } = *settings;
        Self { bounds, cores, link_mbit_per_s, hedge_share }
    }
}

/// State of the process.
#[derive(Debug)]
pub struct Node {
    /// Settings at the start. Values that may change later are in [`Node::reloadable_settings`].
    pub settings: NodeSettings,
    /// Settings that take effect while the process runs.
    pub reloadable_settings: Cell<ReloadableSettings>,
    /// Start of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Clock of all decisions except those about leases, which use the boot time.
    pub clock: MonotonicClock,
    /// Client of the metadata store.
    pub store: MetadataStore,
    /// Connection pool to upstreams.
    pub links: ConnectionPool,
    /// Memory that is held for callers.
    pub memory: MemoryAccount,
    /// Reports of a shortage of that memory.
    pub shortage_reports: ShortageReports,
    /// Connections of callers.
    pub caller_connections: ConnectionTable,
    /// Connections that ask for hosts, readiness or metrics.
    pub entry_connections: ConnectionTable,
    /// Whether the store answers this host.
    pub store_health: StoreHealth,
    /// How old the copies of the store's records are.
    pub confirmations: RefCell<Confirmations>,
    /// Since when this host has been running without a standstill.
    pub running_time: Cell<RunningTime>,
    /// Replica of the store's records.
    pub registry: Registry,
    /// Starts of upstreams that get no more requests.
    pub drained_upstreams: DrainedUpstreams,
    /// Records that can't be used.
    pub bad_records: BadRecords,
    /// Links to other hosts and their registered addresses.
    pub peers: Peers,
    /// Applied configuration; `None` until the first one is received.
    pub routes: RefCell<Option<Arc<RouteTable>>>,
    /// Registered upstreams.
    pub upstreams: RefCell<UpstreamTable>,
    /// Newest announced version of each adapter.
    pub versions: RefCell<AdapterVersions>,
    /// Failure statistics that eject upstreams.
    pub outlier_detector: RefCell<OutlierDetector>,
    /// Whether this host reaches upstreams.
    pub reach: RefCell<UpstreamReach>,
    /// Hosts that reach no upstream either.
    pub cut_off_hosts: RefCell<CutOffHosts>,
    /// Adapters that engines served through this host.
    pub observed_adapters: RefCell<ObservedAdapters>,
    /// Number of engines over which this host spreads each adapter.
    pub replica_spread: RefCell<ReplicaSpread>,
    /// Second attempts beside slow ones.
    pub hedges: Hedges,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Load of upstreams, as far as this host knows it.
    pub upstream_loads: UpstreamLoads,
    /// Plain services that this host dispatches, and the hosts that dispatch them.
    pub dispatch: Dispatch,
    /// Hosts that are not asked for instances of plain services.
    pub dispatch_pauses: DispatchPauses,
    /// Limits that upstreams name, and permits for requests to them.
    pub send_permits: SendPermits,
    /// Services whose upstreams fall over when they turn many requests away.
    pub brittle_services: RefCell<BrittleServices>,
    /// Software versions at which streams began.
    pub stream_origins: StreamOrigins,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Requests that crash their upstreams.
    pub quarantine: Quarantine,
    /// Checks whether upstreams that lost requests have ended.
    pub upstream_ends: UpstreamEnds,
    /// Hosts known from heartbeats.
    pub hosts: RefCell<HostView>,
    /// Owner of each engine.
    pub owners: RefCell<HashMap<UpstreamId, Ownership>>,
    /// Lease of this host, without which it may not order engines.
    pub lease: RefCell<HostLease>,
    /// What this host may claim and order after the store returned from an older copy.
    pub return_guard: RefCell<ReturnGuard>,
    /// Engines that this host owns.
    pub engines: OwnedEngines,
    /// Number of caller requests in progress.
    pub in_flight: Cell<u32>,
    /// Whether graceful shutdown has begun.
    pub is_stopping: Cell<bool>,
    /// Time at which a stopping process ends; `None` before the stop.
    pub stops_at: Cell<Option<Instant>>,
    /// Notified when a stopping process ends the requests that are left.
    pub ends_requests: Notify,
    /// Whether new requests are refused, since they might not finish before the process exits.
    pub is_refusing_requests: Cell<bool>,
    /// Notified when the ages of records are confirmed anew.
    pub records_confirmed: Notify,
    /// Notified when records of the store change, such as owners or upstreams.
    pub records_changed: Notify,
    /// Names of workspaces in metrics.
    pub workspace_labels: RefCell<WorkspaceLabels>,
    /// Event log.
    pub events: Events,
    /// Metrics of the process.
    pub metrics: NodeMetrics,
}

/// Shared reference to the state, as tasks keep it.
pub type SharedNode = Rc<Node>;

impl Node {
    /// Returns the current limits and timeouts of the operators.
    pub fn bounds(&self) -> Bounds {
        self.reloadable_settings.get().bounds
    }

    /// Returns the share of the requests that may get a second attempt beside a slow one.
    pub fn hedge_share(&self) -> HedgeShare {
        self.reloadable_settings.get().hedge_share
    }

    /// Returns the time since the start on [`Node::clock`].
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the store confirmed each kind of record.
    pub fn record_ages(&self) -> RecordAges {
        self.confirmations.borrow().ages(time_since_boot())
    }

    /// Returns an item for other hosts with the ages of the records now.
    pub fn ages_item(&self) -> FeedItem {
        self.registry.ages_item(&self.confirmations.borrow(), time_since_boot())
    }

    /// Returns the times within which changes of records must take effect.
    pub fn record_bounds(&self) -> RecordBounds {
        let bounds = self.bounds();
        let config = bounds.config_apply_timeout;
        RecordBounds {
            config: bounds.revocation_timeout.map_or(config, |timeout| timeout.min(config)),
            upstreams: bounds.drain_timeout,
            versions: bounds.version_rollout_timeout,
        }
    }

    /// Returns the kinds of records of this host that are so old that it must ask for newer ones.
    pub fn old_kinds(&self) -> Vec<RecordKind> {
        let ages = self.record_ages();
        let is_old = |kind: &RecordKind| !self.is_younger(&ages, *kind, RefreshBudget::refresh_age);
        RecordKind::ALL.into_iter().filter(is_old).collect()
    }

    /// Returns whether this host's records of upstreams are so recent that they show those which have
    /// joined.
    pub fn are_upstreams_recent(&self) -> bool {
        self.is_younger(&self.record_ages(), RecordKind::Upstreams, RefreshBudget::recent_age)
    }

    /// Returns whether records of these ages are recent enough to follow their host. The kinds with
    /// the shortest bounds decide.
    pub fn are_recent(&self, record_ages: &RecordAges) -> bool {
        [RecordKind::Config, RecordKind::Upstreams]
            .into_iter()
            .all(|kind| self.is_younger(record_ages, kind, RefreshBudget::recent_age))
    }

    /// Returns whether this host's records are recent enough for other hosts to follow it.
    pub fn has_recent_records(&self) -> bool {
        self.are_recent(&self.record_ages())
    }

    fn is_younger(
        &self,
        record_ages: &RecordAges,
        kind: RecordKind,
        part: fn(&RefreshBudget) -> Duration,
    ) -> bool {
        let budget = self.record_bounds().budget(kind);
        record_ages.of(kind).is_some_and(|age| age < part(&budget))
    }

    /// Returns whether callers should use this host: it knows routes and upstreams and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        let knows_upstreams = self.registry.knows_upstreams();
        self.routes.borrow().is_some() && knows_upstreams && !self.is_stopping.get()
    }

    /// Returns the version of the applied configuration, 0 before the first one.
    pub fn config_version(&self) -> u64 {
        self.routes.borrow().as_ref().map_or(0, |routes| routes.version)
    }

    /// Returns the fencing number for orders to an engine, or `None` if this host does not own the
    /// engine under a valid lease.
    pub fn current_fence(&self, engine: &str) -> Option<u64> {
        let lease = self.lease.borrow();
        let epoch = lease.epoch()?;
        let owners = self.owners.borrow();
        let owner = owners.get(engine)?;
        let is_own = owner.record.host == self.settings.host && owner.record.epoch == epoch;
        let may_order = self.return_guard.borrow().may_order(engine, owner.record.era);
        let is_valid = is_own && may_order && lease.is_valid(time_since_boot());
        is_valid.then(|| owner.revision.fence())
    }

    /// Returns whether an upstream that was chosen earlier still accepts requests: it is ready, and
    /// neither its address nor its start time has changed.
    pub fn accepts_requests(&self, upstream: &Upstream) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.find(&upstream.id).is_some_and(|current| {
            current.state == UpstreamState::Ready
                && current.address == upstream.address
                && current.started_unix_ms == upstream.started_unix_ms
        })
    }

    /// Returns whether this host presumes that it reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.reach.borrow().is_cut_off(self.now())
    }

    /// Returns whether a request with this deadline is refused, since it might not finish before the
    /// process ends.
    pub fn refuses_requests_until(&self, deadline: Instant) -> bool {
        let outlasts_process = self.stops_at.get().is_some_and(|stops_at| deadline > stops_at);
        self.is_refusing_requests.get() || outlasts_process
    }

    /// Uses one retry of a service's budget; returns whether the budget allowed it.
    pub fn try_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let allowed = retry_budgets
            .get_mut(service)
            .is_some_and(|budget: &mut RetryBudget| budget.try_retry(now));
        if !allowed {
            self.metrics.retries_denied.inc();
        }
        allowed
    }

    /// Counts a caller's request towards the retry budget of its service.
    pub fn record_request(&self, service: &str) {
        let now = self.now();
        let bounds = self.bounds();
        let min_retries = bounds.retry_allowance / self.estimated_fleet_size();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.to_owned()).or_insert_with(|| {
            RetryBudget::new(bounds.retry_window, bounds.retry_ratio, min_retries)
        });
        budget.set_min_retries(min_retries);
        budget.record_request(now);
    }

    /// Returns the number of hosts by which shared budgets are divided: the known hosts times
    /// a factor for hosts that are not known yet, but at least 3.
    fn estimated_fleet_size(&self) -> f64 {
        const UNKNOWN_HOSTS_FACTOR: f64 = 1.35;
        (self.hosts.borrow().len().max(1) as f64 * UNKNOWN_HOSTS_FACTOR).max(3.0)
    }
}
