//! Load times of the weight store, by the formula of its stand-in.

use crate::profile::Profile;
use std::time::Duration;

/// Weight store in virtual time.
#[derive(Debug)]
pub struct Store {
    /// Time between the starts of two loads at the steady rate.
    interval: Duration,
    /// Time by which a burst may run ahead of the steady rate.
    burst: Duration,
    /// Duration of a load at full speed.
    load_time: Duration,
    /// Loads in flight above which each takes longer in proportion.
    max_full_speed_loads: u32,
    in_flight: u32,
    /// Start of the next load at the steady rate; a burst may start it earlier.
    next_start: Duration,
    over_rate: u64,
}

impl Store {
    /// Creates a store with no load in flight.
    pub fn new(profile: &Profile) -> Self {
        let interval = Duration::from_secs_f64(1.0 / profile.loads_per_s);
        Self {
            interval,
            burst: interval * profile.at_once.saturating_sub(1),
            load_time: profile.load,
            max_full_speed_loads: profile.in_flight,
            in_flight: 0,
            next_start: Duration::ZERO,
            over_rate: 0,
        }
    }

    /// Starts a load and returns its duration, the wait for the rate limit included.
    pub fn start_load(&mut self, now: Duration) -> Duration {
        self.in_flight += 1;
        let starts_at = self.next_start.max(now.saturating_sub(self.burst));
        self.next_start = starts_at + self.interval;
        let wait = starts_at.saturating_sub(now);
        self.over_rate += u64::from(wait > self.interval);
        let slowdown = f64::from(self.in_flight) / f64::from(self.max_full_speed_loads);
        wait + self.load_time.mul_f64(slowdown.max(1.0))
    }

    /// Records the end of a load.
    pub fn finish_load(&mut self) {
        self.in_flight -= 1;
    }

    /// Returns the number of loads that waited longer than one interval of the rate.
    pub fn over_rate(&self) -> u64 {
        self.over_rate
    }
}
