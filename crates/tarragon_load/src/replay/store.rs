//! Load times of the weight store, by the formula of its stand-in.

use crate::profile::Profile;
use std::time::Duration;

/// Weight store in virtual time.
#[derive(Debug)]
pub struct Store {
    interval: Duration,
    burst: Duration,
    load: Duration,
    full_speed: u32,
    in_flight: u32,
    next_free: Duration,
    over_rate: u64,
}

impl Store {
    /// Starts idle.
    pub fn new(profile: &Profile) -> Self {
        let interval = Duration::from_secs_f64(1.0 / profile.loads_per_s);
        Self {
            interval,
            burst: interval * profile.at_once.saturating_sub(1),
            load: profile.load,
            full_speed: profile.in_flight,
            in_flight: 0,
            next_free: Duration::ZERO,
            over_rate: 0,
        }
    }

    /// Books a load; gives the time that it takes.
    pub fn book(&mut self, now: Duration) -> Duration {
        self.in_flight += 1;
        let start = self.next_free.max(now.saturating_sub(self.burst));
        self.next_free = start + self.interval;
        let wait = start.saturating_sub(now);
        self.over_rate += u64::from(wait > self.interval);
        let slowdown = f64::from(self.in_flight) / f64::from(self.full_speed);
        wait + self.load.mul_f64(slowdown.max(1.0))
    }

    /// Ends a load.
    pub fn finish(&mut self) {
        self.in_flight -= 1;
    }

    /// Counts loads that had to wait because the rate was exceeded.
    pub fn over_rate(&self) -> u64 {
        self.over_rate
    }
}
