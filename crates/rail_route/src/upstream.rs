//! Upstreams that have registered themselves.

use crate::table::ServiceId;
pub use rail_place::AdapterVersion;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Identity that an upstream registers with; a restart can keep it.
pub type UpstreamId = String;
/// Name of an adapter under its base model.
pub type AdapterName = String;
/// Version of the software that an upstream runs; versions have no order.
pub type SoftwareVersion = String;

/// A base model that is loaded on an engine, with the adapters that are loaded for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the base model.
    pub model: String,
    /// Adapters with the versions of their weights.
    pub adapters: Vec<(AdapterName, AdapterVersion)>,
}

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Identity that it registered with.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Time of its start in Unix milliseconds; a restart under the same identity changes it.
    pub started_unix_ms: Option<u64>,
    /// Version of its software; empty if it names none.
    pub software: SoftwareVersion,
    /// Models that are loaded on it; the report lags behind the engine.
    pub resident_models: Vec<ResidentModel>,
}

/// Registered upstreams by identity.
#[derive(Debug, Clone, Default)]
pub struct UpstreamTable {
    by_id: BTreeMap<UpstreamId, Arc<Upstream>>,
}

impl UpstreamTable {
    /// Adds or replaces an upstream.
    pub fn insert(&mut self, upstream: Upstream) {
        self.by_id.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Removes an upstream that is no longer registered.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Upstream>> {
        self.by_id.remove(id)
    }

    /// Finds an upstream by its identity.
    pub fn find(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Returns whether a later start of an upstream is registered at the id or the address of this
    /// start. The entry of an earlier start may lie beside it until it lapses.
    pub fn has_later_start(
        &self,
        id: &str,
        address: SocketAddr,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let is_same_place = |other: &&Arc<Upstream>| other.id == id || other.address == address;
        self.iter().filter(is_same_place).any(|other| {
            started_unix_ms.is_some_and(|started| other.started_unix_ms > Some(started))
        })
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }

    /// Iterates over the upstreams of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.by_id.values().filter(move |upstream| {
            upstream.service == service && upstream.state == UpstreamState::Ready
        })
    }

    /// Removes the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Upstream) -> bool) {
        self.by_id.retain(|_, upstream| keep(upstream));
    }
}
