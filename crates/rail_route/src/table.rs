//! Routes and services of one accepted configuration.

use rail_workspace::WorkspaceTable;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a service in the configuration.
pub type ServiceId = String;

/// Whether requests may be retried after they may have run, and whether the response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// The answer is a stream of events; requests run at most once unless it can be resumed.
    Stream {
        /// Whether another upstream can resume the stream after the last event that was forwarded.
        resumable: bool,
    },
}

impl RouteKind {
    /// Reports whether a request may be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Reports whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route; 0 for no requests.
    pub weight: u32,
}

/// Rules for the requests to a host and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Value of the `Host` header, compared without case.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried, and whether the response is a stream.
    pub kind: RouteKind,
    /// Timeout of a request, after which its caller gets an error.
    pub timeout: Duration,
    /// Latency from which on a response is of less use to the caller.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream from which on its answer counts as late; `None`
    /// if pauses don't count.
    pub max_event_gap: Option<Duration>,
    /// Priority among the routes; 0 is the highest.
    pub priority: u8,
    /// Services that run the requests of the route.
    pub shares: Vec<ServiceShare>,
    /// Most attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Whether its requests need no key of a workspace.
    pub is_public: bool,
}

impl Route {
    /// Selects the service for one request by the hash of its id, so the same request always
    /// gets the same service.
    pub fn pick_service(&self, request_id: &str) -> Option<&ServiceId> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for share in &self.shares {
            if point < u64::from(share.weight) {
                return Some(&share.service);
            }
            point -= u64::from(share.weight);
        }
        None
    }
}

/// A base model that the engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    /// Name of the model in requests and orders.
    pub name: String,
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub load: Duration,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}

/// Capacity of each engine of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineShape {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Base models that the engines can load.
    pub models: Vec<BaseModel>,
    /// Memory for the weights of base models and adapters in megabytes.
    pub weights_mb: f64,
    /// Adapters that one engine can keep loaded.
    pub adapter_slots: usize,
    /// Loads of base models per second that the weight store allows for all engines together.
    pub loads_per_s: f64,
}

/// A group of upstreams that run the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Most connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Capacity of its engines; `None` for a plain service, whose upstreams are not model engines.
    pub engine: Option<EngineShape>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One accepted configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Version of the configuration; a greater one replaces a smaller one.
    pub version: u64,
    /// Routes by lower-case host, longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Workspaces and their keys; `None` if requests need no keys.
    pub workspaces: Option<Arc<WorkspaceTable>>,
}

impl RouteTable {
    /// Creates a table without workspaces, with the routes sorted for [`RouteTable::find`].
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host = BTreeMap::<String, Vec<Arc<Route>>>::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, routes: by_host, services, limits, workspaces: None }
    }

    /// Finds the route of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Lists all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
