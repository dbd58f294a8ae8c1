//! Limit on the calls that one process makes, open watches included.

use std::time::Duration;

/// Calls a second that one process may make.
pub const CALLS_PER_S: f64 = 40.0;
/// Calls that may follow each other at once.
pub const BURST_CALLS: f64 = 200.0;

/// Token bucket over all calls; an open watch takes one token a second.
#[derive(Debug, Clone, PartialEq)]
pub struct CallBudget {
    calls_per_s: f64,
    burst_calls: f64,
    tokens: f64,
    filled_at: Duration,
    open_watches: u32,
}

impl CallBudget {
    /// Starts with a full bucket.
    pub fn new(calls_per_s: f64, burst_calls: f64, now: Duration) -> Self {
        Self { calls_per_s, burst_calls, tokens: burst_calls, filled_at: now, open_watches: 0 }
    }

    /// Takes one call.
    ///
    /// # Errors
    /// Gives the time after which to ask again when the budget is used up.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.net_rate()))
    }

    /// Counts a watch that has been opened.
    pub fn open_watch(&mut self, now: Duration) {
        self.fill(now);
        self.open_watches += 1;
    }

    /// Counts a watch that has ended.
    pub fn close_watch(&mut self, now: Duration) {
        self.fill(now);
        self.open_watches = self.open_watches.saturating_sub(1);
    }

    /// Counts the watches that wait now.
    pub fn open_watches(&self) -> u32 {
        self.open_watches
    }

    fn fill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.net_rate()).min(self.burst_calls);
    }

    /// Watches never use up the whole rate, so that a waiting call goes ahead at last.
    fn net_rate(&self) -> f64 {
        (self.calls_per_s - f64::from(self.open_watches)).max(1.0)
    }
}
