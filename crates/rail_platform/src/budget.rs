//! Rate limit of the calls that one process makes to the platform, open watches included.

use std::time::Duration;

/// Sustained rate of calls of one process, per second.
pub const CALLS_PER_S: f64 = 40.0;
/// Maximum number of calls without any wait, after an idle time.
pub const BURST_CALLS: f64 = 200.0;

/// Token bucket over all calls; an open watch consumes one token per second.
#[derive(Debug, Clone, PartialEq)]
pub struct CallBudget {
    calls_per_s: f64,
    burst_calls: f64,
    tokens: f64,
    refilled_at: Duration,
    open_watches: u32,
}

impl CallBudget {
    /// Creates a full bucket; `now` is the time since any fixed start, as in the other methods.
    pub fn new(calls_per_s: f64, burst_calls: f64, now: Duration) -> Self {
        Self { calls_per_s, burst_calls, tokens: burst_calls, refilled_at: now, open_watches: 0 }
    }

    /// Acquires the token for one call.
    ///
    /// # Errors
    /// Returns the time to wait before the next try when no token is left.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.net_rate()))
    }

    /// Adds an open watch, which reduces the rate left for calls.
    pub fn open_watch(&mut self, now: Duration) {
        self.refill(now);
        self.open_watches += 1;
    }

    /// Removes a watch that has ended.
    pub fn close_watch(&mut self, now: Duration) {
        self.refill(now);
        self.open_watches = self.open_watches.saturating_sub(1);
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> u32 {
        self.open_watches
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.net_rate()).min(self.burst_calls);
    }

    /// Returns the rate left for calls; at least 1 per second, so that open watches never block
    /// calls for good.
    fn net_rate(&self) -> f64 {
        (self.calls_per_s - f64::from(self.open_watches)).max(1.0)
    }
}
