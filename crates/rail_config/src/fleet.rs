//! Content of one generation of the configuration.

use crate::{change::Change, change::ChangeError, model_name::ModelName};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Number of an accepted configuration; incremented by one with each acceptance.
pub type Generation = u64;
/// Name of a base model.
pub type BaseId = String;
/// Name of an adapter within its base model.
pub type AdapterId = String;
/// Name of an upstream.
pub type UpstreamId = String;

/// Urgency of a request, which determines its priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A caller waits for the response.
    Urgent,
    /// The response may arrive at any time before the deadline of the request.
    Deferrable,
}

/// Settings of a base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Urgency of requests that do not specify one.
    pub urgency_default: Urgency,
}

/// An adapter of a base model, which requests select by one of its versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Names of the registered versions.
    pub versions: BTreeSet<String>,
}

/// Type of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine, which serves a base model and its adapters.
    Engine,
    /// A plain HTTP service without adapters.
    Service,
}

/// Address and capacity of one instance of an engine or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Whether the upstream is an engine or a plain service.
    pub kind: UpstreamKind,
    /// Name of the base model of an engine, or of the service.
    pub group: String,
    /// Address of the HTTP interface.
    pub address: SocketAddr,
    /// Availability zone in which the upstream runs.
    pub zone: String,
    /// Number of adapters that an engine can keep loaded.
    pub slots: u32,
    /// Maximum number of requests that the upstream runs at once.
    pub batch: u32,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether the upstream is drained and receives no new work.
    pub leaving: bool,
}

/// Limits of the loads that all engines together may run from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreBudget {
    /// Maximum number of loads that start per second.
    pub loads_per_s: u32,
    /// Burst size: number of loads that may start at once.
    pub at_once: u32,
    /// Maximum number of concurrent loads; more would slow each of them down.
    pub in_flight: u32,
}

impl Default for StoreBudget {
    fn default() -> Self {
        Self { loads_per_s: 2, at_once: 2, in_flight: 16 }
    }
}

/// One immutable generation of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of this generation.
    pub generation: Generation,
    /// Base models by name.
    pub bases: BTreeMap<BaseId, Base>,
    /// Adapters by base model and name.
    pub adapters: BTreeMap<BaseId, BTreeMap<AdapterId, Adapter>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Limits of loads from the weight store.
    pub store_budget: StoreBudget,
}

/// First part of a model name that is not registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The base model is not registered.
    #[error("unknown base model")]
    UnknownBase,
    /// The adapter is not registered.
    #[error("unknown adapter")]
    UnknownAdapter,
    /// The version is not registered.
    #[error("unknown version")]
    UnknownVersion,
}

impl Fleet {
    /// Returns the base model of a registered model name.
    ///
    /// # Errors
    /// Returns the first part of the name that is not registered.
    pub fn resolve(&self, name: &ModelName) -> Result<&Base, ResolveError> {
        let base = self.bases.get(&name.base).ok_or(ResolveError::UnknownBase)?;
        let adapter = self
            .adapters
            .get(&name.base)
            .and_then(|adapters| adapters.get(&name.adapter))
            .ok_or(ResolveError::UnknownAdapter)?;
        if adapter.versions.contains(&name.version) {
            Ok(base)
        } else {
            Err(ResolveError::UnknownVersion)
        }
    }

    /// Iterates over the engines of a base model that are not drained.
    pub fn engines_of<'a>(
        &'a self,
        base: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.available_upstreams(UpstreamKind::Engine, base)
    }

    /// Iterates over the instances of a plain service that are not drained.
    pub fn services_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.available_upstreams(UpstreamKind::Service, service)
    }

    /// Applies changes in order and returns the next generation.
    ///
    /// # Errors
    /// Refuses all changes if one of them is refused.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        for change in changes {
            change.apply_to(&mut next)?;
        }
        next.generation += 1;
        Ok(next)
    }

    fn available_upstreams<'a>(
        &'a self,
        kind: UpstreamKind,
        group: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.upstreams.iter().filter(move |(_, upstream)| {
            upstream.kind == kind && upstream.group == group && !upstream.leaving
        })
    }
}
