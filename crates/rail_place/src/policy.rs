//! Placement policies: the default one and the baselines that it is compared with.

use std::str::FromStr;

/// Error for a name that is not a policy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected rendezvous, hash-lru, hash-lfu, least-loaded or no-permits")]
pub struct UnknownPolicy;

/// Rules by which requests are routed and adapters loaded and evicted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Bounded-load rendezvous hashing, eviction by demand, batching of deferrable work, and load
    /// permits by urgency and worth.
    #[default]
    Rendezvous,
    /// Hashes each adapter to one engine; evicts the least recently used adapter.
    HashLru,
    /// Hashes each adapter to one engine; evicts the least frequently used adapter.
    HashLfu,
    /// Chooses the least loaded engine whatever is loaded there; evicts the least recently used
    /// adapter.
    LeastLoaded,
    /// Like [`Policy::HashLru`], but loads without permits.
    NoPermits,
}

/// Rule that selects which idle adapter is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The adapter with the smallest product of decayed demand and reload cost.
    LeastWorth,
    /// The adapter that has been unused for the longest time.
    LeastRecentlyUsed,
    /// The adapter with the fewest uses since its load.
    LeastFrequentlyUsed,
}

impl Policy {
    /// Returns the eviction rule of this policy.
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

    /// Reports whether the weights of the [`Objective`](crate::Objective) apply: deferrable work is
    /// held back to form batches, and urgent loads go first.
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
