//! Exponential backoff for adapters whose load failed.

use crate::residency::AdapterKey;
use std::{collections::HashMap, time::Duration};

/// Delay after the first failure, before jitter; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of the delay before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Bound on the exponent, so that the power of two can't overflow.
const MAX_DELAY_DOUBLINGS: u32 = 10;

#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    retry_at: Duration,
}

/// Tracks the consecutive load failures of each adapter and the earliest time of its next load.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: HashMap<AdapterKey, Failures>,
}

impl Backoff {
    /// Records a failed load and returns the delay before the next one.
    ///
    /// `jitter` is a random number in 0..1; it spreads the delay over the upper half of its range.
    pub fn record_failure(&mut self, adapter: &str, now: Duration, jitter: f64) -> Duration {
        let entry = self.failures.entry(adapter.to_owned());
        let failures = entry.or_insert(Failures { count: 0, retry_at: now });
        let full_delay = (FIRST_RETRY_DELAY * 2_u32.pow(failures.count)).min(MAX_RETRY_DELAY);
        let delay = full_delay.mul_f64(0.5 + jitter / 2.0);
        failures.count = (failures.count + 1).min(MAX_DELAY_DOUBLINGS);
        failures.retry_at = now + delay;
        delay
    }

    /// Clears the failures of an adapter after a successful load.
    pub fn reset(&mut self, adapter: &str) {
        self.failures.remove(adapter);
    }

    /// Returns the time until an adapter may be loaded again; zero if it may be loaded now.
    pub fn remaining(&self, adapter: &str, now: Duration) -> Duration {
        self.failures.get(adapter).map_or(Duration::ZERO, |f| f.retry_at.saturating_sub(now))
    }
}
