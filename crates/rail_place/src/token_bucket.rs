//! Rate limit with a small burst.

use std::time::Duration;

/// Bucket that fills at a constant rate; each action costs one token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket, so that the grants of a new owner and of its predecessor together
    /// stay within the rate.
    pub fn new(rate_per_s: f64, burst: f64, now: Duration) -> Self {
        Self { rate_per_s, burst, tokens: 0.0, updated_at: now }
    }

    /// Changes the rate and the burst; tokens above the new burst are dropped.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64) {
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds the tokens for the time since the last call.
    pub fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated_at = now;
    }

    /// Spends one token if at least `needed` tokens are available.
    ///
    /// # Errors
    /// Returns the time until that many tokens are available.
    pub fn acquire(&mut self, needed: f64) -> Result<(), Duration> {
        let wait = self.time_until_available(needed);
        if wait.is_zero() {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait)
    }

    /// Returns the available tokens; negative after [`TokenBucket::spend`] used more than there were.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Spends tokens, even if fewer are available; later ones make up for them.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Refills the bucket and spends one token if there is one.
    ///
    /// # Errors
    /// Returns the time until a token is available.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        self.acquire(1.0)
    }

    /// Returns the time until `needed` tokens are available; zero if they are available now.
    pub fn time_until_available(&self, needed: f64) -> Duration {
        // Adds one nanosecond, so that rounding never ends a wait just before its token is available.
        let missing_tokens = needed - self.tokens;
        if missing_tokens <= f64::EPSILON * needed {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing_tokens / self.rate_per_s)
            .map_or(Duration::MAX, |wait| wait.saturating_add(Duration::from_nanos(1)))
    }
}
