//! Number of engines that serve a hot adapter, and the choice of the engine for a request.

use crate::residency::AdapterKey;
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Share of an engine's batch above which an adapter gets one more replica.
const SCALE_UP_SHARE: f64 = 0.75;
/// An adapter loses a replica when the remaining ones would each use less than this share of a
/// batch. The gap to [`SCALE_UP_SHARE`] is the hysteresis.
const SCALE_DOWN_SHARE: f64 = 0.35;
/// Shortest time between two changes of the replica count of one adapter.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a replica count is used after the last response that contained it.
const HINT_LIFETIME: Duration = Duration::from_secs(30);
/// Most adapters for which the replica counts from responses are stored.
const MAX_TRACKED_ADAPTERS: usize = 256;
/// Factor over the mean load above which an engine is chosen last.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// Number of engines over which one adapter is spread.
pub type ReplicaCount = u32;

#[derive(Debug, Clone, Copy)]
struct ScaledAdapter {
    replicas: ReplicaCount,
    changed_at: Duration,
}

/// Decides the replica counts of the adapters whose most preferred engine this process owns.
#[derive(Debug, Clone, Default)]
pub struct ReplicaController {
    adapters: BTreeMap<AdapterKey, ScaledAdapter>,
}

impl ReplicaController {
    /// Updates the replica count of an adapter from the share of the batch that it uses or waits
    /// for on its most preferred engine, and returns the count.
    pub fn update(&mut self, adapter: &str, share: f64, now: Duration) -> ReplicaCount {
        let known = self.adapters.get(adapter).copied();
        let current = known.unwrap_or(ScaledAdapter { replicas: 1, changed_at: Duration::ZERO });
        if known.is_some() && now.saturating_sub(current.changed_at) < MIN_CHANGE_INTERVAL {
            return current.replicas;
        }
        let replicas = next_replicas(current.replicas, share);
        if replicas == 1 {
            self.adapters.remove(adapter);
        } else if replicas != current.replicas {
            self.adapters.insert(adapter.to_owned(), ScaledAdapter { replicas, changed_at: now });
        }
        replicas
    }
}

fn next_replicas(replicas: ReplicaCount, share: f64) -> ReplicaCount {
    if share > SCALE_UP_SHARE {
        return replicas + 1;
    }
    let share_after_removal =
        share * f64::from(replicas) / f64::from(replicas.saturating_sub(1).max(1));
    if replicas > 1 && share_after_removal < SCALE_DOWN_SHARE { replicas - 1 } else { replicas }
}

/// Replica counts received with responses; stores only adapters with more than one replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHints {
    hints: BTreeMap<AdapterKey, (ReplicaCount, Duration)>,
}

impl ReplicaHints {
    /// Records the replica count received with a response.
    pub fn record(&mut self, adapter: &str, replicas: ReplicaCount, now: Duration) {
        if replicas <= 1 {
            self.hints.remove(adapter);
            return;
        }
        if self.hints.len() >= MAX_TRACKED_ADAPTERS {
            self.hints.retain(|_, (_, seen_at)| now.saturating_sub(*seen_at) < HINT_LIFETIME);
        }
        if self.hints.len() < MAX_TRACKED_ADAPTERS || self.hints.contains_key(adapter) {
            self.hints.insert(adapter.to_owned(), (replicas, now));
        }
    }

    /// Returns the replica count of an adapter; 1 unless a recent response contained more.
    pub fn replicas(&self, adapter: &str, now: Duration) -> ReplicaCount {
        let hint = self.hints.get(adapter);
        let fresh = hint.filter(|(_, seen_at)| now.saturating_sub(*seen_at) < HINT_LIFETIME);
        fresh.map_or(1, |(replicas, _)| *replicas)
    }
}

/// Orders ranked engines for one request, best first, and returns their positions.
///
/// Requests are spread by `request_id` over the first `replicas` engines. Engines whose load is
/// above the bound come last. `loads` contains the share of its batch that each ranked engine uses
/// or queues, as far as the caller knows.
pub fn choose_engines(loads: &[f64], replicas: ReplicaCount, request_id: u128) -> Vec<usize> {
    let count = loads.len();
    let replicas = (replicas as usize).clamp(1, count.max(1));
    let first = (xxh3_64(&request_id.to_le_bytes()) % replicas as u64) as usize;
    let mean = loads.iter().sum::<f64>() / count.max(1) as f64;
    let bound = (mean * MAX_LOAD_FACTOR).max(1.0);
    let mut order: Vec<usize> =
        (0..replicas).map(|step| (first + step) % replicas).chain(replicas..count).collect();
    order.sort_by_key(|engine| loads[*engine] > bound);
    order
}
