//! Trade-off between load stalls of urgent work and full batches.

use std::{str::FromStr, time::Duration};

/// Share of its time to the deadline for which deferrable work is held back to form batches when
/// only stalls have a weight.
const MIN_BATCHING_SHARE: f64 = 0.25;
/// The same share when only full batches have a weight.
const MAX_BATCHING_SHARE: f64 = 0.75;
/// Share of its time to the deadline after which deferrable work no longer yields to urgent loads.
const ESCALATION_SHARE: f64 = 0.8;

/// Error for weights that are not two non-negative numbers with a positive sum.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected STALL,BATCH: two weights that are not negative, such as 2,1")]
pub struct InvalidWeights;

/// Weights of a deployment for load stalls and for batch utilization.
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
    /// Creates an objective from both weights; only their ratio matters.
    ///
    /// # Errors
    /// Returns [`InvalidWeights`] for negative or infinite weights and for a sum of zero.
    pub fn new(stall_weight: f64, batch_weight: f64) -> Result<Self, InvalidWeights> {
        let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
        let sum = stall_weight + batch_weight;
        if is_valid(stall_weight) && is_valid(batch_weight) && sum > 0.0 {
            return Ok(Self { stall_weight, batch_weight });
        }
        Err(InvalidWeights)
    }

    /// Returns the time at which deferrable work is no longer held back to form a batch.
    pub fn release_at(&self, arrived_at: Duration, deadline: Duration) -> Duration {
        let time_to_deadline = deadline.saturating_sub(arrived_at);
        let share = MIN_BATCHING_SHARE
            + self.batch_weight_share() * (MAX_BATCHING_SHARE - MIN_BATCHING_SHARE);
        arrived_at + time_to_deadline.mul_f64(share)
    }

    /// Returns the time from which deferrable work is loaded like urgent work, so that it never
    /// starves.
    pub fn escalate_at(&self, arrived_at: Duration, deadline: Duration) -> Duration {
        let time_to_deadline = deadline.saturating_sub(arrived_at);
        arrived_at + time_to_deadline.mul_f64(ESCALATION_SHARE)
    }

    /// Returns the number of slots of a batch that deferrable work leaves free for urgent work.
    pub fn reserved_slots(&self, slots: usize) -> usize {
        let share = (1.0 - self.batch_weight_share()) / 4.0;
        (slots as f64 * share).round() as usize
    }

    /// Returns the worth of a load for which `urgent` requests wait and whose deferrable requests
    /// fill the share `batch_fill` of a batch. Loads of greater worth go first.
    pub fn load_worth(&self, urgent: u32, batch_fill: f64) -> f64 {
        self.stall_weight * f64::from(urgent) + self.batch_weight * batch_fill
    }

    fn batch_weight_share(&self) -> f64 {
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
