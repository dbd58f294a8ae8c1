//! One generation of the configuration.

use crate::{change::Change, change::ChangeError, model_name::ModelName};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Number of an accepted configuration; grows by one with each.
pub type Generation = u64;
/// Name of a base model.
pub type BaseId = String;
/// Name of an adapter within its base model.
pub type AdapterId = String;
/// Name of an upstream.
pub type UpstreamId = String;

/// How soon an answer is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Somebody waits for the answer.
    Urgent,
    /// The answer may come any time before its deadline.
    Deferrable,
}

/// A base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Urgency of requests that name none.
    pub urgency_default: Urgency,
}

/// An adapter and its versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Registered versions.
    pub versions: BTreeSet<String>,
}

/// What an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine with adapter slots.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it runs.
    pub kind: UpstreamKind,
    /// Base model of an engine, or name of a service.
    pub group: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Adapter slots of an engine.
    pub slots: u32,
    /// Requests that it runs at once.
    pub batch: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What the weight store allows to all engines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreBudget {
    /// Loads a second.
    pub loads_per_s: u32,
    /// Loads at once at full speed.
    pub at_once: u32,
    /// Loads in flight up to which each runs at full speed.
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
    /// What the weight store allows.
    pub store_budget: StoreBudget,
}

/// Part of a model name that is not registered.
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
    /// Looks up a model name.
    ///
    /// # Errors
    /// Names the first part that is not registered.
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

    /// Iterates over the engines of a base model that take new work.
    pub fn engines_of<'a>(
        &'a self,
        base: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.members_of(UpstreamKind::Engine, base)
    }

    /// Iterates over the instances of a plain service that take new work.
    pub fn services_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.members_of(UpstreamKind::Service, service)
    }

    /// Applies changes in order and gives the next generation.
    ///
    /// # Errors
    /// Refuses all changes when one is not valid.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        for change in changes {
            change.apply_to(&mut next)?;
        }
        next.generation += 1;
        Ok(next)
    }

    fn members_of<'a>(
        &'a self,
        kind: UpstreamKind,
        group: &'a str,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a Upstream)> {
        self.upstreams.iter().filter(move |(_, u)| u.kind == kind && u.group == group && !u.leaving)
    }
}
