//! Grants load permits by urgency and worth.

use crate::budget::LoadBudget;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Identity of one request for a permit.
pub type PermitId = u64;

/// What the weight store allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Loads a second.
    pub rate_per_s: f64,
    /// Loads at once at full speed.
    pub burst: f64,
    /// Loads in flight up to which each runs at full speed.
    pub in_flight: usize,
    /// Tokens that only urgent loads may use, when the burst allows it.
    pub urgent_reserve: f64,
}

/// A standing request for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingPermit {
    /// Whether urgent work waits for the load.
    pub urgent: bool,
    /// Worth of the load; greater goes first.
    pub worth: f64,
    /// When it was asked.
    pub requested_at: Duration,
}

impl PendingPermit {
    /// Grows the worth with the wait, so that every request has its turn within its class.
    fn worth_at(&self, now: Duration) -> f64 {
        self.worth * (1.0 + now.saturating_sub(self.requested_at).as_secs_f64())
    }
}

/// Grants permits of one weight store; starts with an empty bucket.
#[derive(Debug, Clone)]
pub struct PermitOwner {
    limits: StoreLimits,
    budget: LoadBudget,
    asks: BTreeMap<PermitId, PendingPermit>,
    granted: BTreeSet<PermitId>,
}

impl PermitOwner {
    /// Starts with no permit to give, so that nothing adds to what a predecessor granted.
    pub fn new(limits: StoreLimits, now: Duration) -> Self {
        let budget = LoadBudget::new(limits.rate_per_s, limits.burst, now);
        Self { limits, budget, asks: BTreeMap::new(), granted: BTreeSet::new() }
    }

    /// Changes the limits; permits saved so far are kept up to the burst.
    pub fn set_limits(&mut self, limits: StoreLimits, now: Duration) {
        self.budget.refill(now);
        self.budget.set_rate(limits.rate_per_s, limits.burst);
        self.limits = limits;
    }

    /// Adds or changes a standing request.
    pub fn request(&mut self, id: PermitId, ask: PendingPermit) {
        let ask = match self.asks.get(&id) {
            Some(known) => PendingPermit { requested_at: known.requested_at, ..ask },
            None => ask,
        };
        self.asks.insert(id, ask);
    }

    /// Ends a request or a load; the asker is gone or done.
    pub fn finish(&mut self, id: PermitId) {
        self.asks.remove(&id);
        self.granted.remove(&id);
    }

    /// Counts loads that hold a permit.
    pub fn in_flight(&self) -> usize {
        self.granted.len()
    }

    /// Grants the next permit, if one is free and somebody asks.
    pub fn grant(&mut self, now: Duration) -> Option<PermitId> {
        self.budget.refill(now);
        if self.granted.len() >= self.limits.in_flight {
            return None;
        }
        let best = self.asks.iter().max_by(|(_, a), (_, b)| {
            let worth = a.worth_at(now).total_cmp(&b.worth_at(now));
            a.urgent.cmp(&b.urgent).then(worth).then(b.requested_at.cmp(&a.requested_at))
        });
        let (id, ask) = best.map(|(id, ask)| (*id, *ask))?;
        if self.budget.acquire(self.needed_tokens(&ask)).is_err() {
            return None;
        }
        self.asks.remove(&id);
        self.granted.insert(id);
        Some(id)
    }

    /// Gives the time until a permit may be free for the standing requests; none when nobody asks.
    pub fn time_until_grant(&self) -> Option<Duration> {
        let needed = self.asks.values().map(|ask| self.needed_tokens(ask));
        needed.min_by(f64::total_cmp).map(|tokens| self.budget.time_until_available(tokens))
    }

    fn needed_tokens(&self, ask: &PendingPermit) -> f64 {
        let reserve = if ask.urgent { 0.0 } else { self.limits.urgent_reserve };
        (1.0 + reserve).min(self.limits.burst)
    }
}
