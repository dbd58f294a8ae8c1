//! Demand for adapters, decayed over time.

use crate::residency::AdapterKey;
use std::{collections::HashMap, time::Duration};

/// Time in which old demand loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(180);
/// Demand below which an adapter is forgotten.
const FORGET_BELOW: f64 = 0.01;
/// Adapters that are remembered before the faint ones are forgotten.
const MAX_REMEMBERED: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct Level {
    value: f64,
    updated_at: Duration,
}

/// Decayed count of requests for each adapter.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    levels: HashMap<AdapterKey, Level>,
}

impl Demand {
    /// Counts one request.
    pub fn record(&mut self, adapter: &str, now: Duration) {
        if self.levels.len() >= MAX_REMEMBERED && !self.levels.contains_key(adapter) {
            self.levels.retain(|_, level| decayed(*level, now) >= FORGET_BELOW);
        }
        let value = self.level(adapter, now) + 1.0;
        self.levels.insert(adapter.to_owned(), Level { value, updated_at: now });
    }

    /// Gives the decayed count of an adapter.
    pub fn level(&self, adapter: &str, now: Duration) -> f64 {
        self.levels.get(adapter).map_or(0.0, |level| decayed(*level, now))
    }
}

fn decayed(level: Level, now: Duration) -> f64 {
    let age_s = now.saturating_sub(level.updated_at).as_secs_f64();
    level.value * (-age_s / HALF_LIFE.as_secs_f64()).exp2()
}
