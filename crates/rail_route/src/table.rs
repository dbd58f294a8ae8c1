//! One accepted configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Name of a service.
pub type ServiceId = String;

/// What may be repeated, and the form of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a series of events; runs at most once unless it can be resumed.
    Stream {
        /// Whether another upstream can continue after the last event that was passed on.
        resumable: bool,
    },
}

impl RouteKind {
    /// Reports whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Reports whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceId,
    /// Part relative to the other shares.
    pub weight: u32,
}

/// Where requests of a host and a path prefix go, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path, from slash to slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is of full use.
    pub target_latency: Duration,
    /// Rank among the routes; 0 goes first.
    pub rank: u8,
    /// Services that run its requests.
    pub shares: Vec<ServiceShare>,
    /// Upstreams that one arrival may be sent to.
    pub max_attempts: u32,
}

impl Route {
    /// Picks the service for one request; the same request always gets the same.
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

/// A base model that engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    /// Name.
    pub name: String,
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Time to load it from the weight store.
    pub load: Duration,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineShape {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Base models.
    pub models: Vec<BaseModel>,
    /// Memory for weights and adapters in megabytes.
    pub weights_mb: f64,
    /// Adapters that one engine holds at once.
    pub adapter_slots: usize,
    /// Base model loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
}

/// A group of upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Shape of its engines; none for a plain service.
    pub engine: Option<EngineShape>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time in which a request head must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version; a greater one replaces a smaller one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds on requests.
    pub limits: Limits,
}

impl RouteTable {
    /// Sorts routes for look-up.
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
        Self { version, routes: by_host, services, limits }
    }

    /// Finds the route with the longest prefix of this path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Lists all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
