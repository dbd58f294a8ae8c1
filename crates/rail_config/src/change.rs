//! Changes that operators submit.

use crate::{
    fleet::{
        AdapterId, Base, BaseId, Fleet, StoreBudget, Upstream, UpstreamId, UpstreamKind, Urgency,
    },
    model_name::{ModelNameError, check_part},
};
use serde::{Deserialize, Serialize};

/// Result of checking a change.
pub type Result<T> = std::result::Result<T, ChangeError>;

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Registers a base model.
    RegisterBase {
        /// Name.
        base: BaseId,
        /// Urgency of requests that name none.
        urgency_default: Urgency,
    },
    /// Registers an adapter.
    RegisterAdapter {
        /// Base model.
        base: BaseId,
        /// Name.
        adapter: AdapterId,
    },
    /// Registers a version.
    RegisterVersion {
        /// Base model.
        base: BaseId,
        /// Adapter.
        adapter: AdapterId,
        /// Version.
        version: String,
    },
    /// Registers or replaces an upstream.
    RegisterUpstream {
        /// Name.
        name: UpstreamId,
        /// Description.
        upstream: Upstream,
    },
    /// Sets the urgency of requests that name none.
    SetUrgencyDefault {
        /// Base model.
        base: BaseId,
        /// Urgency.
        urgency: Urgency,
    },
    /// Marks an upstream as leaving or live.
    DrainUpstream {
        /// Name.
        name: UpstreamId,
        /// Whether it takes no new work.
        leaving: bool,
    },
    /// Sets what the weight store allows.
    SetStoreBudget {
        /// Budget.
        store_budget: StoreBudget,
    },
}

/// Reasons why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A name is not valid.
    #[error("name {name:?} is not valid: {source}")]
    Name {
        /// Name as given.
        name: String,
        /// Cause.
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
    /// An engine needs at least one slot, and every upstream a batch of at least one.
    #[error("upstream {0:?} has no capacity: slots and batch must be at least 1")]
    NoCapacity(UpstreamId),
    /// A budget of nothing would stop every load.
    #[error("store budget allows no load: each value must be at least 1")]
    EmptyStoreBudget,
}

impl Change {
    /// Applies this change to a fleet.
    ///
    /// # Errors
    /// Refuses names that are not valid or not registered.
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
