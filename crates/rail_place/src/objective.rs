//! What placement trades off: load stalls of urgent work against full batches.

use std::{str::FromStr, time::Duration};

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
        arrived_at + patience.mul_f64(self.batch_share() / 2.0)
    }

    /// Gives the batch places that deferrable work leaves to urgent work.
    pub fn reserved_places(&self, batch: usize) -> usize {
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
