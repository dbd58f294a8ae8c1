//! Registered upstreams.

use crate::table::ServiceId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Identity of one start of an upstream.
pub type UpstreamId = String;
/// Name of an adapter under its base model.
pub type AdapterName = String;
/// Version of an adapter's weights.
pub type AdapterVersion = u64;

/// A base model on an engine with the adapters loaded for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Base model.
    pub model: String,
    /// Adapters with the versions of their weights.
    pub adapters: Vec<(AdapterName, AdapterVersion)>,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Identity.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Time of its start in Unix milliseconds; a restart under the same identity changes it.
    pub started_unix_ms: Option<u64>,
    /// Models that it holds, as of some moments ago.
    pub resident_models: Vec<ResidentModel>,
}

/// Upstreams by identity, with those of one service side by side.
#[derive(Debug, Clone, Default)]
pub struct UpstreamTable {
    by_id: BTreeMap<UpstreamId, Arc<Upstream>>,
}

impl UpstreamTable {
    /// Adds or replaces an upstream.
    pub fn insert(&mut self, upstream: Upstream) {
        self.by_id.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Removes an upstream that is gone.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Upstream>> {
        self.by_id.remove(id)
    }

    /// Finds an upstream.
    pub fn find(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Lists all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }

    /// Lists the upstreams of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.by_id.values().filter(move |upstream| {
            upstream.service == service && upstream.state == UpstreamState::Ready
        })
    }

    /// Keeps only the upstreams for which this holds.
    pub fn retain(&mut self, keep: impl Fn(&Upstream) -> bool) {
        self.by_id.retain(|_, upstream| keep(upstream));
    }
}
