//! Order in which a host requests grants from the preferred engines of an adapter.
//!
//! One adapter can receive a fifth of all requests, which is several times the capacity of one
//! engine. If every request tried the most preferred engine first, its owner would refuse most of
//! them, and each request would wait for several refusals in a row. Each host therefore tracks how
//! many engines an adapter needed recently and spreads its requests over that many.

use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time in which half of the replicas above one are dropped while no refusal confirms them.
const SURPLUS_HALF_LIFE_S: f64 = 4.0;
/// Estimates are rounded up to whole replicas unless they exceed the next lower number by at most
/// this fraction.
const MIN_REPLICA_FRACTION: f64 = 0.1;
/// Replicas added to the estimate when a request was granted only after refusals. Engines that have
/// just filled up will refuse the next requests too, so the estimate grows ahead of the demand.
const REPLICAS_PER_REFUSAL: f64 = 0.5;
/// Upper bound of the estimate.
const MAX_REPLICAS: f64 = 64.0;

/// Estimate of the replicas that one adapter needs, from the refusals that this host received.
#[derive(Debug, Clone, Copy)]
struct NeededReplicas {
    replicas: f64,
    updated_at: Duration,
}

impl NeededReplicas {
    fn at(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        1.0 + (self.replicas - 1.0) * (-age_s / SURPLUS_HALF_LIFE_S).exp2()
    }
}

/// Estimates for the adapters that need more than one replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSpread {
    needed: HashMap<String, NeededReplicas>,
}

impl ReplicaSpread {
    /// Returns the order in which one request tries its preferred engines, as positions
    /// `0..engines` in their ranking. Each request tries the engines within the estimated replicas in
    /// an order of its own, so that a full one doesn't pass all its requests on to the same next one.
    pub fn order(&self, adapter: &str, request: &str, engines: usize, now: Duration) -> Vec<usize> {
        let replicas = self.needed.get(adapter).map_or(1.0, |needed| needed.at(now));
        let replicas = ((replicas - MIN_REPLICA_FRACTION).ceil() as usize).clamp(1, engines.max(1));
        let mut order: Vec<usize> = (0..engines).collect();
        let seed = xxh3_64(request.as_bytes());
        let within = &mut order[..replicas.min(engines)];
        within.sort_by_cached_key(|position| xxh3_64_with_seed(&position.to_le_bytes(), seed));
        order
    }

    /// Records that the preferred engine at `position` granted a request after `refusals` other
    /// engines had refused it for lack of capacity.
    pub fn record_start(&mut self, adapter: &str, position: usize, refusals: usize, now: Duration) {
        let current = self.needed.get(adapter).map_or(1.0, |needed| needed.at(now));
        let replicas = if refusals == 0 {
            current
        } else {
            (current + REPLICAS_PER_REFUSAL).max((position + 1) as f64)
        };
        if replicas < 1.0 + MIN_REPLICA_FRACTION {
            self.needed.remove(adapter);
            return;
        }
        let replicas = NeededReplicas { replicas: replicas.min(MAX_REPLICAS), updated_at: now };
        self.needed.insert(adapter.to_owned(), replicas);
    }

    /// Records that all engines that a request asked refused it for lack of capacity.
    pub fn record_all_refused(&mut self, adapter: &str, engines: usize, now: Duration) {
        let current = self.needed.get(adapter).map_or(1.0, |needed| needed.at(now));
        let replicas = NeededReplicas { replicas: current.max(engines as f64), updated_at: now };
        self.needed.insert(adapter.to_owned(), replicas);
    }

    /// Removes the adapters that need only one replica by now.
    pub fn prune(&mut self, now: Duration) {
        self.needed.retain(|_, needed| needed.at(now) >= 1.0 + MIN_REPLICA_FRACTION);
    }

    /// Returns the number of adapters that need more than one replica.
    pub fn len(&self) -> usize {
        self.needed.len()
    }

    /// Reports whether no adapter needs more than one replica.
    pub fn is_empty(&self) -> bool {
        self.needed.is_empty()
    }
}
