//! Selectable placement policies: the product's own and its baselines.

use std::str::FromStr;

/// Name that is not a policy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected rendezvous, hash-lru, hash-lfu, least-loaded or no-permits")]
pub struct UnknownPolicy;

/// Placement policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Bounded-load rendezvous, demand-based eviction, gathering and permits by priority.
    #[default]
    Rendezvous,
    /// Hash to one engine; evicts the least recently used.
    HashLru,
    /// Hash to one engine; evicts the least frequently used.
    HashLfu,
    /// The least loaded engine, whatever it holds; evicts the least recently used.
    LeastLoaded,
    /// Hash to one engine; evicts the least recently used; loads without permits.
    NoPermits,
}

/// Order in which idle adapters are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// Smallest decayed demand times reload cost.
    LeastWorth,
    /// Longest unused.
    LeastRecentlyUsed,
    /// Fewest uses since its load.
    LeastFrequentlyUsed,
}

impl Policy {
    /// Gives the order of eviction.
    pub fn eviction(self) -> Eviction {
        match self {
            Self::Rendezvous => Eviction::LeastWorth,
            Self::HashLru | Self::LeastLoaded | Self::NoPermits => Eviction::LeastRecentlyUsed,
            Self::HashLfu => Eviction::LeastFrequentlyUsed,
        }
    }

    /// Reports whether loads need a permit.
    pub fn needs_permits(self) -> bool {
        self != Self::NoPermits
    }

    /// Reports whether deferrable work gathers, and urgent loads go first.
    pub fn uses_objective(self) -> bool {
        self == Self::Rendezvous
    }
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "rendezvous" => Ok(Self::Rendezvous),
            "hash-lru" => Ok(Self::HashLru),
            "hash-lfu" => Ok(Self::HashLfu),
            "least-loaded" => Ok(Self::LeastLoaded),
            "no-permits" => Ok(Self::NoPermits),
            _ => Err(UnknownPolicy),
        }
    }
}
