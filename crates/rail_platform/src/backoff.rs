//! Exponential backoff with a cap and jitter.

use rand::Rng;
use std::time::Duration;

/// Upper bound of the first delay, before jitter.
pub const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of every delay, before jitter.
pub const MAX_DELAY: Duration = Duration::from_secs(2);

/// Delays between the attempts of one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The delay is drawn from the upper half of a bound that doubles with each failure.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doubled = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_DELAY).mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Resets the delay to its initial bound after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
