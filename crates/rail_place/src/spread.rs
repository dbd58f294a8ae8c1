//! In which order a host asks the homes of an adapter.
//!
//! The load that this answers: one adapter takes a fifth of all requests, several times what one
//! engine carries. If every request asks the same home first, its owner answers nothing but
//! refusals, and each request pays for a row of them. So a host remembers how many homes an adapter
//! needed lately and spreads its requests over so many.

use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time in which a width that no refusal confirmed loses half of what is above one.
const HALF_LIFE_S: f64 = 4.0;
/// Part of a width above a whole number that does not count as another home.
const MIN_PART: f64 = 0.1;
/// Homes by which a refusal widens an adapter, since homes that are just filled refuse again.
const WIDENING: f64 = 0.5;
/// Most homes that are remembered.
const MAX_WIDTH: f64 = 64.0;

/// Homes that one adapter needs, as this host saw it.
#[derive(Debug, Clone, Copy)]
struct Width {
    homes: f64,
    seen_at: Duration,
}

impl Width {
    fn at(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.seen_at).as_secs_f64();
        1.0 + (self.homes - 1.0) * (-age_s / HALF_LIFE_S).exp2()
    }
}

/// Widths of the adapters that need more than one home.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSpread {
    widths: HashMap<String, Width>,
}

impl ReplicaSpread {
    /// Orders the places `0..homes` of ranked homes for one request.
    pub fn order(&self, adapter: &str, request: &str, homes: usize, now: Duration) -> Vec<usize> {
        let width = self.widths.get(adapter).map_or(1.0, |width| width.at(now));
        let width = ((width - MIN_PART).ceil() as usize).clamp(1, homes.max(1));
        let first = (xxh3_64(request.as_bytes()) % width as u64) as usize;
        let within = (0..width).map(|step| (first + step) % width);
        within.chain(width..homes).take(homes).collect()
    }

    /// Takes that the home at this place of the ranking let a request go, after so many refusals
    /// for want of room.
    pub fn record_start(&mut self, adapter: &str, place: usize, refusals: usize, now: Duration) {
        let known = self.widths.get(adapter).map_or(1.0, |width| width.at(now));
        let needed = if refusals == 0 { known } else { (known + WIDENING).max((place + 1) as f64) };
        if needed < 1.0 + MIN_PART {
            self.widths.remove(adapter);
            return;
        }
        let width = Width { homes: needed.min(MAX_WIDTH), seen_at: now };
        self.widths.insert(adapter.to_owned(), width);
    }

    /// Takes that every home refused a request for want of room.
    pub fn record_all_refused(&mut self, adapter: &str, homes: usize, now: Duration) {
        let width = Width { homes: homes.max(1) as f64, seen_at: now };
        self.widths.insert(adapter.to_owned(), width);
    }

    /// Forgets adapters that need one home.
    pub fn prune(&mut self, now: Duration) {
        self.widths.retain(|_, width| width.at(now) >= 1.0 + MIN_PART);
    }

    /// Counts the adapters that need more than one home.
    pub fn len(&self) -> usize {
        self.widths.len()
    }

    /// Reports whether every adapter needs one home.
    pub fn is_empty(&self) -> bool {
        self.widths.is_empty()
    }
}
