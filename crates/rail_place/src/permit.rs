//! Permits for loads from the weight store, granted by urgency and worth.

use crate::token_bucket::TokenBucket;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Identifies one request for a permit, and later the load that it was granted for.
pub type PermitId = u64;

/// Limits of the weight store that all engines share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Loads started per second on average.
    pub rate_per_s: f64,
    /// Loads that may start at once after an idle time.
    pub burst: f64,
    /// Most loads in flight; with more, the store slows each of them down.
    pub in_flight: usize,
    /// Tokens that only urgent loads may spend, as far as the burst is large enough.
    pub urgent_reserve: f64,
}

/// A request that waits for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingPermit {
    /// Whether urgent work waits for the load; urgent loads go first.
    pub urgent: bool,
    /// Worth of the load (see [`Objective::load_worth`](crate::Objective::load_worth)); loads of
    /// greater worth go first.
    pub worth: f64,
    /// Time of the first request; it stays when the request is updated.
    pub requested_at: Duration,
}

impl PendingPermit {
    /// Returns the worth grown with the wait, so that no request starves within its class.
    fn worth_at(&self, now: Duration) -> f64 {
        self.worth * (1.0 + now.saturating_sub(self.requested_at).as_secs_f64())
    }
}

/// Grants the permits of one weight store.
#[derive(Debug, Clone)]
pub struct PermitOwner {
    limits: StoreLimits,
    budget: TokenBucket,
    pending: BTreeMap<PermitId, PendingPermit>,
    granted: BTreeSet<PermitId>,
}

impl PermitOwner {
    /// Creates an owner with an empty bucket, so that its grants and those of a predecessor
    /// together stay within the rate.
    pub fn new(limits: StoreLimits, now: Duration) -> Self {
        let budget = TokenBucket::new(limits.rate_per_s, limits.burst, now);
        Self { limits, budget, pending: BTreeMap::new(), granted: BTreeSet::new() }
    }

    /// Changes the limits; tokens above the new burst are dropped.
    pub fn set_limits(&mut self, limits: StoreLimits, now: Duration) {
        self.budget.refill(now);
        self.budget.set_rate(limits.rate_per_s, limits.burst);
        self.limits = limits;
    }

    /// Adds a request for a permit, or updates its urgency and worth.
    pub fn request(&mut self, id: PermitId, permit: PendingPermit) {
        let permit = match self.pending.get(&id) {
            Some(earlier) => PendingPermit { requested_at: earlier.requested_at, ..permit },
            None => permit,
        };
        self.pending.insert(id, permit);
    }

    /// Removes a request that was withdrawn, or ends a load that held a permit.
    pub fn finish(&mut self, id: PermitId) {
        self.pending.remove(&id);
        self.granted.remove(&id);
    }

    /// Returns the number of loads that hold a permit.
    pub fn in_flight(&self) -> usize {
        self.granted.len()
    }

    /// Grants the next permit, if a request is pending and the limits allow a load.
    pub fn grant(&mut self, now: Duration) -> Option<PermitId> {
        self.budget.refill(now);
        if self.granted.len() >= self.limits.in_flight {
            return None;
        }
        let next = self.pending.iter().max_by(|(_, a), (_, b)| {
            let worth = a.worth_at(now).total_cmp(&b.worth_at(now));
            a.urgent.cmp(&b.urgent).then(worth).then(b.requested_at.cmp(&a.requested_at))
        });
        let (id, permit) = next.map(|(id, permit)| (*id, *permit))?;
        if self.budget.acquire(self.needed_tokens(&permit)).is_err() {
            return None;
        }
        self.pending.remove(&id);
        self.granted.insert(id);
        Some(id)
    }

    /// Returns the time until the next permit may be granted; none when no request is pending.
    pub fn time_until_grant(&self) -> Option<Duration> {
        let needed = self.pending.values().map(|permit| self.needed_tokens(permit));
        needed.min_by(f64::total_cmp).map(|tokens| self.budget.time_until_available(tokens))
    }

    fn needed_tokens(&self, permit: &PendingPermit) -> f64 {
        let reserve = if permit.urgent { 0.0 } else { self.limits.urgent_reserve };
        (1.0 + reserve).min(self.limits.burst)
    }
}
