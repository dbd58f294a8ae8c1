//! Measurement of how fast an engine finishes requests.

use std::time::Duration;

/// Weight of the newest window in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Shortest window over which finished requests are counted.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// Moving average of the requests that an engine finishes per second while others wait.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    rate_per_s: Option<f64>,
    window_started_at: Option<Duration>,
    finished: u32,
}

impl ServiceRate {
    /// Records a finished request; `has_backlog` is whether the engine's batch was full and other
    /// requests waited.
    ///
    /// A rate measured while no request waited is only a lower bound of the engine's rate, so such
    /// a window is discarded.
    pub fn record_completion(&mut self, now: Duration, has_backlog: bool) {
        let Some(started_at) = self.window_started_at.filter(|_| has_backlog) else {
            self.window_started_at = has_backlog.then_some(now);
            self.finished = 0;
            return;
        };
        self.finished += 1;
        let elapsed = now.saturating_sub(started_at);
        if elapsed < MIN_WINDOW {
            return;
        }
        let newest = f64::from(self.finished) / elapsed.as_secs_f64();
        let smoothed =
            self.rate_per_s.map(|old| old * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT);
        self.rate_per_s = Some(smoothed.unwrap_or(newest));
        self.window_started_at = Some(now);
        self.finished = 0;
    }

    /// Estimates the time in which this many requests finish; zero before the first measurement.
    pub fn time_for(&self, requests: usize) -> Duration {
        match self.rate_per_s {
            Some(rate_per_s) if rate_per_s > 0.0 => {
                Duration::from_secs_f64(requests as f64 / rate_per_s)
            }
            _ => Duration::ZERO,
        }
    }

    /// Estimates how many requests finish in this time; none before the first measurement.
    pub fn requests_in(&self, time: Duration) -> Option<usize> {
        self.rate_per_s.map(|rate_per_s| (rate_per_s * time.as_secs_f64()) as usize)
    }
}
