//! How fast an engine finishes requests.

use std::time::Duration;

/// Weight of the newest window in the average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Shortest time over which finished requests are counted.
const WINDOW: Duration = Duration::from_millis(500);

/// Moving average of finished requests a second while work was waiting.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    per_s: Option<f64>,
    window_started_at: Option<Duration>,
    finished: u32,
}

impl ServiceRate {
    /// Counts a finished request; `busy` tells whether others waited meanwhile.
    ///
    /// A rate measured while nothing waited is only a lower bound, so an idle window starts anew.
    pub fn record_completion(&mut self, now: Duration, busy: bool) {
        let Some(started_at) = self.window_started_at.filter(|_| busy) else {
            self.window_started_at = busy.then_some(now);
            self.finished = 0;
            return;
        };
        self.finished += 1;
        let elapsed = now.saturating_sub(started_at);
        if elapsed < WINDOW {
            return;
        }
        let newest = f64::from(self.finished) / elapsed.as_secs_f64();
        let smoothed = self.per_s.map(|old| old * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT);
        self.per_s = Some(smoothed.unwrap_or(newest));
        self.window_started_at = Some(now);
        self.finished = 0;
    }

    /// Estimates the time in which this many requests finish; zero while nothing is known.
    pub fn time_for(&self, requests: usize) -> Duration {
        match self.per_s {
            Some(per_s) if per_s > 0.0 => Duration::from_secs_f64(requests as f64 / per_s),
            _ => Duration::ZERO,
        }
    }

    /// Estimates how many requests finish in this time; none while nothing is known.
    pub fn requests_in(&self, time: Duration) -> Option<usize> {
        self.per_s.map(|per_s| (per_s * time.as_secs_f64()) as usize)
    }
}
