//! Load permits within the weight store's rate.

use std::time::Duration;

/// Token bucket over loads.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
}

impl LoadBudget {
    /// Starts an empty bucket, so that a new owner never adds to what its predecessor granted.
    pub fn new(rate_per_s: f64, burst: f64, now: Duration) -> Self {
        Self { rate_per_s, burst, tokens: 0.0, updated_at: now }
    }

    /// Changes rate and burst; permits saved so far are kept up to the burst.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64) {
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Takes one permit, or tells how long to wait for one.
    ///
    /// # Errors
    /// Returns the time after which a permit is free.
    pub fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate_per_s))
    }
}
