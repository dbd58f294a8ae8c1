//! Pauses between attempts: exponential, capped, with full jitter.

use rand::Rng;
use std::time::Duration;

/// First pause before jitter.
pub const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest pause before jitter.
pub const MAX_DELAY: Duration = Duration::from_secs(2);

/// Sequence of pauses of one repeated call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Gives the pause after one more failure: between half and all of a doubling bound.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doubled = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_DELAY).mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
