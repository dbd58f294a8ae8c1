//! State of the process, shared by all its tasks on one thread.

use crate::{
    engines::OwnedEngines, events::Events, metrics::NodeMetrics, peers::Peers,
    record_sources::StoreHealth, registry::Registry, upstream_loads::UpstreamLoads,
};
use rail_lease::host_lease::HostLease;
use rail_member::{HostView, RecordKind};
use rail_place::ReplicaSpread;
use rail_route::{
    AdapterVersions, ObservedAdapters, OutlierDetector, RetryBudget, RouteTable, ServiceId,
    Upstream, UpstreamId, UpstreamState, UpstreamTable,
};
use rail_runtime::{MonotonicClock, boot_time};
use rail_site::{MetadataStore, NodeSettings, settings::Bounds};
use rail_upstream::LinkPool;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::Notify;

/// Who may order an engine, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Host.
    pub host: String,
    /// Epoch of the host's lease under which it counts.
    pub epoch: u64,
}

/// An owner record with the revision that is its fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ownership {
    /// Who owns the engine.
    pub record: OwnerRecord,
    /// Revision of the record.
    pub fence: u64,
}

/// Settings that take effect while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReloadableSettings {
    /// Bounds that the operators state.
    pub bounds: Bounds,
    /// Processor share of this host, in cores.
    pub cores: f64,
    /// Rate of this host's link in Mbit/s.
    pub link_mbit_per_s: f64,
}

impl ReloadableSettings {
    /// Takes the part of the settings that may change.
    pub fn from_settings(settings: &NodeSettings) -> Self {
        let NodeSettings { bounds, cores, link_mbit_per_s, .. } = *settings;
        Self { bounds, cores, link_mbit_per_s }
    }
}

/// State of the process.
#[derive(Debug)]
pub struct Node {
    /// Settings at the start; what may change since is in [`Node::reloadable_settings`].
    pub settings: NodeSettings,
    /// Settings that take effect while the process runs.
    pub reloadable_settings: Cell<ReloadableSettings>,
    /// Start of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Clock of all decisions but leases.
    pub clock: MonotonicClock,
    /// Client of the store.
    pub store: MetadataStore,
    /// Connections to upstreams.
    pub links: LinkPool,
    /// What is known of the link to the store.
    pub store_health: StoreHealth,
    /// The store's records.
    pub registry: Registry,
    /// Links to other hosts.
    pub peers: Peers,
    /// Configuration in force.
    pub routes: RefCell<Option<Arc<RouteTable>>>,
    /// Upstreams as registered.
    pub upstreams: RefCell<UpstreamTable>,
    /// Announced adapter versions.
    pub versions: RefCell<AdapterVersions>,
    /// Trust in upstreams.
    pub outlier_detector: RefCell<OutlierDetector>,
    /// Adapters that this host has seen on engines.
    pub observed_adapters: RefCell<ObservedAdapters>,
    /// Homes that adapters needed lately.
    pub replica_spread: RefCell<ReplicaSpread>,
    /// Retry budget by service.
    pub retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Requests on upstreams as this host knows them.
    pub upstream_loads: UpstreamLoads,
    /// Hosts that are alive.
    pub hosts: RefCell<HostView>,
    /// Owners of engines.
    pub owners: RefCell<HashMap<UpstreamId, Ownership>>,
    /// The lease of this host.
    pub lease: RefCell<HostLease>,
    /// Engines that this host owns.
    pub engines: OwnedEngines,
    /// Requests in progress.
    pub in_flight: Cell<u32>,
    /// Whether the process is stopping.
    pub is_stopping: Cell<bool>,
    /// Whether it takes no new requests, since they might not end before it does.
    pub is_refusing_requests: Cell<bool>,
    /// Wakes tasks that wait for a change of owners or upstreams.
    pub records_changed: Notify,
    /// Event lines.
    pub events: Events,
    /// Counters.
    pub metrics: NodeMetrics,
}

/// The state as tasks hold it.
pub type SharedNode = Rc<Node>;

impl Node {
    /// Gives the bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.reloadable_settings.get().bounds
    }

    /// Gives the time of all decisions but leases.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Reports whether callers should be sent here: routes and upstreams are known.
    pub fn is_ready(&self) -> bool {
        let knows_upstreams = self.registry.revision(RecordKind::Upstreams) > 0;
        self.routes.borrow().is_some() && knows_upstreams && !self.is_stopping.get()
    }

    /// Reports whether this host may order an engine now, and with which fencing number.
    pub fn current_fence(&self, engine: &str) -> Option<u64> {
        let lease = self.lease.borrow();
        let epoch = lease.epoch()?;
        let owners = self.owners.borrow();
        let owner = owners.get(engine)?;
        let is_own = owner.record.host == self.settings.host && owner.record.epoch == epoch;
        (is_own && lease.is_valid(boot_time())).then_some(owner.fence)
    }

    /// Reports whether an upstream that was chosen some time ago still takes new work.
    pub fn accepts_requests(&self, upstream: &Upstream) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.find(&upstream.id).is_some_and(|current| {
            current.state == UpstreamState::Ready
                && current.address == upstream.address
                && current.started_unix_ms == upstream.started_unix_ms
        })
    }

    /// Takes one repeat of a request from the shared budget of a service.
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

    /// Counts a request of a caller for the budget of its service.
    pub fn record_request(&self, service: &str) {
        let now = self.now();
        let bounds = self.bounds();
        let slack = bounds.retry_allowance / self.estimated_fleet_size();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(bounds.retry_window, bounds.retry_ratio, slack));
        budget.set_slack(slack);
        budget.record_request(now);
    }

    /// Gives the hosts among which shared budgets are divided, with room for some that are not
    /// known yet.
    fn estimated_fleet_size(&self) -> f64 {
        const UNKNOWN_HOSTS_FACTOR: f64 = 1.35;
        (self.hosts.borrow().len().max(1) as f64 * UNKNOWN_HOSTS_FACTOR).max(3.0)
    }
}
