//! What placement trades off: load stalls of urgent work against full batches.

use std::{str::FromStr, time::Duration};

/// Share of its time to the deadline that deferrable work gathers when only stalls count.
const MIN_GATHER_SHARE: f64 = 0.25;
/// The same when only full batches count.
const MAX_GATHER_SHARE: f64 = 0.75;
/// Share of its time to the deadline after which deferrable work may wait for urgent loads no more.
const PRESS_SHARE: f64 = 0.8;

/// Weights that are neither two non-negative numbers nor of a positive sum.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected STALL,BATCH: two weights that are not negative, such as 2,1")]
pub struct InvalidWeights;

/// Weights of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    stall_weight: f64,
    batch_weight: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { stall_weight: 1.0, batch_weight: 1.0 }
    }
}

impl Objective {
    /// Sets both weights; only their ratio counts.
    ///
    /// # Errors
    /// Refuses negative weights and a sum of zero.
    pub fn new(stall_weight: f64, batch_weight: f64) -> Result<Self, InvalidWeights> {
        let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
        let sum = stall_weight + batch_weight;
        if is_valid(stall_weight) && is_valid(batch_weight) && sum > 0.0 {
            return Ok(Self { stall_weight, batch_weight });
        }
        Err(InvalidWeights)
    }

    /// Gives the moment from which deferrable work gathers no longer.
    pub fn release_at(&self, arrived_at: Duration, expires_at: Duration) -> Duration {
        let patience = expires_at.saturating_sub(arrived_at);
        let share = MIN_GATHER_SHARE + self.batch_share() * (MAX_GATHER_SHARE - MIN_GATHER_SHARE);
        arrived_at + patience.mul_f64(share)
    }

    /// Gives the moment from which deferrable work is loaded like urgent work, so that it never starves.
    pub fn escalate_at(&self, arrived_at: Duration, expires_at: Duration) -> Duration {
        let patience = expires_at.saturating_sub(arrived_at);
        arrived_at + patience.mul_f64(PRESS_SHARE)
    }

    /// Gives the batch places that deferrable work leaves to urgent work.
    pub fn reserved_slots(&self, batch: usize) -> usize {
        let share = (1.0 - self.batch_share()) / 4.0;
        (batch as f64 * share).round() as usize
    }

    /// Gives the worth of a load for this many urgent requests and this share of a batch.
    pub fn load_worth(&self, urgent: u32, fill: f64) -> f64 {
        self.stall_weight * f64::from(urgent) + self.batch_weight * fill
    }

    fn batch_share(&self) -> f64 {
        self.batch_weight / (self.stall_weight + self.batch_weight)
    }
}

impl FromStr for Objective {
    type Err = InvalidWeights;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (stall, batch) = s.split_once(',').ok_or(InvalidWeights)?;
        let parse = |weight: &str| weight.trim().parse().map_err(|_error| InvalidWeights);
        Self::new(parse(stall)?, parse(batch)?)
    }
}
