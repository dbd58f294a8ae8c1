//! Monotonic time as the decision crates take it.

use std::time::{Duration, Instant};

/// Time since a process-local epoch; never compared between processes.
pub type MonoTime = Duration;

/// Reads the monotonic clock relative to the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    epoch: Instant,
}

impl MonotonicClock {
    /// Starts a clock whose epoch is now.
    pub fn start() -> Self {
        Self { epoch: Instant::now() }
    }

    /// Returns the time since the epoch.
    pub fn now(&self) -> MonoTime {
        self.epoch.elapsed()
    }
}
