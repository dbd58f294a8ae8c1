//! Changes of the configuration that operators submit.

use crate::{
    fleet::{
        AdapterId, Base, BaseId, Fleet, StoreBudget, Upstream, UpstreamId, UpstreamKind, Urgency,
    },
    model_name::{ModelNameError, check_part},
};
use serde::{Deserialize, Serialize};

/// Result of applying a change.
pub type Result<T> = std::result::Result<T, ChangeError>;

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Registers a base model, or replaces its settings.
    RegisterBase {
        /// Name of the base model.
        base: BaseId,
        /// Urgency of requests that do not specify one.
        urgency_default: Urgency,
    },
    /// Registers an adapter without versions; has no effect on a registered one.
    RegisterAdapter {
        /// Name of the base model.
        base: BaseId,
        /// Name of the adapter.
        adapter: AdapterId,
    },
    /// Registers a version of an adapter.
    RegisterVersion {
        /// Name of the base model.
        base: BaseId,
        /// Name of the adapter.
        adapter: AdapterId,
        /// Name of the version.
        version: String,
    },
    /// Registers or replaces an upstream.
    RegisterUpstream {
        /// Name of the upstream.
        name: UpstreamId,
        /// Complete description of the upstream.
        upstream: Upstream,
    },
    /// Sets the urgency of requests that do not specify one.
    SetUrgencyDefault {
        /// Name of the base model.
        base: BaseId,
        /// Default urgency of requests to the base model.
        urgency: Urgency,
    },
    /// Drains an upstream, or returns it to service.
    DrainUpstream {
        /// Name of the upstream.
        name: UpstreamId,
        /// Whether the upstream is drained and receives no new work.
        leaving: bool,
    },
    /// Sets the limits of loads from the weight store.
    SetStoreBudget {
        /// New limits, which replace all current ones.
        store_budget: StoreBudget,
    },
}

/// Reason why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A name is empty, too long or contains a character that is not allowed.
    #[error("name {name:?} is not valid: {source}")]
    Name {
        /// Name in the change.
        name: String,
        /// Rule that the name violates.
        source: ModelNameError,
    },
    /// The base model is not registered.
    #[error("unknown base model {0:?}")]
    UnknownBase(BaseId),
    /// The adapter is not registered.
    #[error("unknown adapter {0:?}")]
    UnknownAdapter(AdapterId),
    /// The upstream is not registered.
    #[error("unknown upstream {0:?}")]
    UnknownUpstream(UpstreamId),
    /// An engine without slots, or an upstream with a batch of 0, could not run any request.
    #[error("upstream {0:?} has no capacity: slots and batch must be at least 1")]
    NoCapacity(UpstreamId),
    /// A limit of 0 would prevent every load.
    #[error("store budget allows no load: each value must be at least 1")]
    EmptyStoreBudget,
}

impl Change {
    /// Applies this change to a fleet, which is unchanged on an error.
    ///
    /// # Errors
    /// Refuses names that are not valid or not registered, upstreams without capacity and limits
    /// of 0.
    pub fn apply_to(&self, fleet: &mut Fleet) -> Result<()> {
        match self {
            Self::RegisterBase { base, urgency_default } => {
                check_name(base)?;
                fleet.bases.insert(base.clone(), Base { urgency_default: *urgency_default });
            }
            Self::RegisterAdapter { base, adapter } => {
                check_name(adapter)?;
                require_base(fleet, base)?;
                fleet.adapters.entry(base.clone()).or_default().entry(adapter.clone()).or_default();
            }
            Self::RegisterVersion { base, adapter, version } => {
                check_name(version)?;
                require_base(fleet, base)?;
                fleet
                    .adapters
                    .get_mut(base)
                    .and_then(|adapters| adapters.get_mut(adapter))
                    .ok_or_else(|| ChangeError::UnknownAdapter(adapter.clone()))?
                    .versions
                    .insert(version.clone());
            }
            Self::RegisterUpstream { name, upstream } => {
                check_name(name)?;
                check_name(&upstream.group)?;
                let is_engine = upstream.kind == UpstreamKind::Engine;
                if upstream.batch == 0 || (is_engine && upstream.slots == 0) {
                    return Err(ChangeError::NoCapacity(name.clone()));
                }
                if is_engine {
                    require_base(fleet, &upstream.group)?;
                }
                fleet.upstreams.insert(name.clone(), upstream.clone());
            }
            Self::SetUrgencyDefault { base, urgency } => {
                let entry = fleet.bases.get_mut(base);
                entry.ok_or_else(|| ChangeError::UnknownBase(base.clone()))?.urgency_default =
                    *urgency;
            }
            Self::DrainUpstream { name, leaving } => {
                let entry = fleet.upstreams.get_mut(name);
                entry.ok_or_else(|| ChangeError::UnknownUpstream(name.clone()))?.leaving = *leaving;
            }
            Self::SetStoreBudget { store_budget } => {
                let StoreBudget { loads_per_s, at_once, in_flight } = *store_budget;
                if loads_per_s == 0 || at_once == 0 || in_flight == 0 {
                    return Err(ChangeError::EmptyStoreBudget);
                }
                fleet.store_budget = *store_budget;
            }
        }
        Ok(())
    }
}

fn check_name(name: &str) -> Result<()> {
    check_part(name).map_err(|source| ChangeError::Name { name: name.to_owned(), source })
}

fn require_base(fleet: &Fleet, base: &str) -> Result<()> {
    if fleet.bases.contains_key(base) {
        Ok(())
    } else {
        Err(ChangeError::UnknownBase(base.to_owned()))
    }
}
