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
        self.tokens = self.tokens.min(burst);
    }

    /// Adds the tokens of the time since the last call.
    pub fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated_at = now;
    }

    /// Takes one permit while at least `needed` tokens are saved, or tells how long to wait.
    ///
    /// # Errors
    /// Returns the time after which that many tokens are saved.
    pub fn acquire(&mut self, needed: f64) -> Result<(), Duration> {
        let wait = self.time_until_available(needed);
        if wait.is_zero() {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait)
    }

    /// Takes one permit, or tells how long to wait for one.
    ///
    /// # Errors
    /// Returns the time after which a permit is free.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        self.acquire(1.0)
    }

    /// Gives the time until this many tokens are saved.
    pub fn time_until_available(&self, needed: f64) -> Duration {
        // Nanoseconds are rounded up, so that a wait never ends just before its token.
        let missing = needed - self.tokens;
        if missing <= f64::EPSILON * needed {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.rate_per_s) + Duration::from_nanos(1)
    }
}
