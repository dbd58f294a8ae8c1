//! Monotonic time as the input of the crates that decide without reading a clock.

use std::time::{Duration, Instant};

/// Time since an epoch local to the process; not comparable between processes.
pub type MonoTime = Duration;

/// Reads the monotonic clock relative to the moment when this value was created.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    epoch: Instant,
}

impl MonotonicClock {
    /// Creates a clock whose epoch is now.
    pub fn start() -> Self {
        Self { epoch: Instant::now() }
    }

    /// Returns the time since the epoch.
    pub fn now(&self) -> MonoTime {
        self.epoch.elapsed()
    }
}
