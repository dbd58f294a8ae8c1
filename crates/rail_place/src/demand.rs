//! Request counts of adapters with exponential decay.

use crate::residency::AdapterKey;
use std::{collections::HashMap, time::Duration};

/// Time in which a request loses half its weight in the count.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(180);
/// Decayed count below which an adapter may be dropped from the table.
const MIN_TRACKED_DEMAND: f64 = 0.01;
/// Size of the table from which on adapters of little demand are dropped.
const MAX_TRACKED_ADAPTERS: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    value: f64,
    updated_at: Duration,
}

/// Exponentially decayed number of requests for each adapter.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    counts: HashMap<AdapterKey, DecayingCount>,
}

impl Demand {
    /// Counts one request for an adapter.
    pub fn record(&mut self, adapter: &str, now: Duration) {
        if self.counts.len() >= MAX_TRACKED_ADAPTERS && !self.counts.contains_key(adapter) {
            self.counts.retain(|_, level| decayed(*level, now) >= MIN_TRACKED_DEMAND);
        }
        let value = self.level(adapter, now) + 1.0;
        self.counts.insert(adapter.to_owned(), DecayingCount { value, updated_at: now });
    }

    /// Returns the decayed number of requests for an adapter; zero if it is not tracked.
    pub fn level(&self, adapter: &str, now: Duration) -> f64 {
        self.counts.get(adapter).map_or(0.0, |level| decayed(*level, now))
    }
}

fn decayed(level: DecayingCount, now: Duration) -> f64 {
    let age_s = now.saturating_sub(level.updated_at).as_secs_f64();
    level.value * (-age_s / DEMAND_HALF_LIFE.as_secs_f64()).exp2()
}
