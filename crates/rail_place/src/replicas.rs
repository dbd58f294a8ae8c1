//! How many engines serve a hot adapter, and which of them takes a request.

use crate::residency::AdapterKey;
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Share of an engine's batch above which an adapter spreads to one more engine.
const WIDEN_ABOVE: f64 = 0.75;
/// Share below which an adapter that lost one engine would still be quiet.
const NARROW_BELOW: f64 = 0.35;
/// Time between two changes of one width.
const DWELL: Duration = Duration::from_secs(5);
/// Age after which a width that no answer confirmed is forgotten.
const HINT_LIFETIME: Duration = Duration::from_secs(30);
/// Widths that a gateway remembers.
const MAX_HINTS: usize = 256;
/// Factor over the mean load above which an engine is passed over.
const LOAD_BOUND: f64 = 1.25;

/// Number of engines that serve one adapter.
pub type ReplicaCount = u32;

#[derive(Debug, Clone, Copy)]
struct Wide {
    width: ReplicaCount,
    changed_at: Duration,
}

/// Widths decided by the owner of each adapter's first candidate.
#[derive(Debug, Clone, Default)]
pub struct ReplicaController {
    wide: BTreeMap<AdapterKey, Wide>,
}

impl ReplicaController {
    /// Takes in the share of the batch that an adapter uses here; gives its width.
    pub fn update(&mut self, adapter: &str, share: f64, now: Duration) -> ReplicaCount {
        let known = self.wide.get(adapter).copied();
        let wide = known.unwrap_or(Wide { width: 1, changed_at: Duration::ZERO });
        if known.is_some() && now.saturating_sub(wide.changed_at) < DWELL {
            return wide.width;
        }
        let width = next_width(wide.width, share);
        if width == 1 {
            self.wide.remove(adapter);
        } else if width != wide.width {
            self.wide.insert(adapter.to_owned(), Wide { width, changed_at: now });
        }
        width
    }
}

fn next_width(width: ReplicaCount, share: f64) -> ReplicaCount {
    if share > WIDEN_ABOVE {
        return width + 1;
    }
    let narrowed = share * f64::from(width) / f64::from(width.saturating_sub(1).max(1));
    if width > 1 && narrowed < NARROW_BELOW { width - 1 } else { width }
}

/// Widths that came back with answers; holds only hot adapters.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHints {
    hints: BTreeMap<AdapterKey, (ReplicaCount, Duration)>,
}

impl ReplicaHints {
    /// Takes in the width that an answer carried.
    pub fn record(&mut self, adapter: &str, width: ReplicaCount, now: Duration) {
        if width <= 1 {
            self.hints.remove(adapter);
            return;
        }
        if self.hints.len() >= MAX_HINTS {
            self.hints.retain(|_, (_, seen_at)| now.saturating_sub(*seen_at) < HINT_LIFETIME);
        }
        if self.hints.len() < MAX_HINTS || self.hints.contains_key(adapter) {
            self.hints.insert(adapter.to_owned(), (width, now));
        }
    }

    /// Gives the width of an adapter; 1 unless a recent answer said more.
    pub fn replicas(&self, adapter: &str, now: Duration) -> ReplicaCount {
        let hint = self.hints.get(adapter);
        let fresh = hint.filter(|(_, seen_at)| now.saturating_sub(*seen_at) < HINT_LIFETIME);
        fresh.map_or(1, |(width, _)| *width)
    }
}

/// Orders ranked engines for one request: spread over the width, engines within the bound first.
///
/// `loads` gives the share of the batch that each ranked engine is known to use or queue.
pub fn choose_engines(loads: &[f64], width: ReplicaCount, request_id: u128) -> Vec<usize> {
    let count = loads.len();
    let width = (width as usize).clamp(1, count.max(1));
    let first = (xxh3_64(&request_id.to_le_bytes()) % width as u64) as usize;
    let mean = loads.iter().sum::<f64>() / count.max(1) as f64;
    let bound = (mean * LOAD_BOUND).max(1.0);
    let mut order: Vec<usize> =
        (0..width).map(|step| (first + step) % width).chain(width..count).collect();
    order.sort_by_key(|engine| loads[*engine] > bound);
    order
}
