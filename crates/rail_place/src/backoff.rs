//! Delays before failed loads are tried again.

use crate::residency::AdapterKey;
use std::{collections::HashMap, time::Duration};

/// Delay after the first failure.
const BASE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// Failures after which the delay grows no more.
const MAX_DOUBLINGS: u32 = 10;

#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    retry_at: Duration,
}

/// Exponential delay with jitter for each adapter.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: HashMap<AdapterKey, Failures>,
}

impl Backoff {
    /// Records a failure; `jitter` is uniform in 0..1 and spreads the delay over its upper half.
    pub fn record_failure(&mut self, adapter: &str, now: Duration, jitter: f64) -> Duration {
        let entry = self.failures.entry(adapter.to_owned());
        let failures = entry.or_insert(Failures { count: 0, retry_at: now });
        let full = (BASE_DELAY * 2_u32.pow(failures.count)).min(MAX_DELAY);
        let delay = full.mul_f64(0.5 + jitter / 2.0);
        failures.count = (failures.count + 1).min(MAX_DOUBLINGS);
        failures.retry_at = now + delay;
        delay
    }

    /// Forgets the failures of an adapter.
    pub fn reset(&mut self, adapter: &str) {
        self.failures.remove(adapter);
    }

    /// Gives the time left until an adapter may be tried again.
    pub fn remaining(&self, adapter: &str, now: Duration) -> Duration {
        self.failures.get(adapter).map_or(Duration::ZERO, |f| f.retry_at.saturating_sub(now))
    }
}
