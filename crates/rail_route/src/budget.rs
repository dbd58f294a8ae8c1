//! Retry budget of a service, divided between all hosts.

use std::{collections::VecDeque, time::Duration};

/// The part of a service's retry budget that one host may spend.
///
/// In any window, all hosts together may send `ratio` retries per request plus a fixed number. A
/// host spends only what its own requests of the last window allow, plus its part `min_retries` of
/// the fixed number.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    min_retries: f64,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Share of `ratio` that a host may spend. The rest is a margin, since the windows of the hosts do
/// not start at the same time.
const USABLE_SHARE: f64 = 0.8;

impl RetryBudget {
    /// Creates the budget of one host, with no requests counted yet.
    pub fn new(window: Duration, ratio: f64, min_retries: f64) -> Self {
        let (requests, retries) = (VecDeque::new(), VecDeque::new());
        Self { window, ratio, min_retries, requests, retries }
    }

    /// Sets this host's part of the retries that are allowed in a window without requests.
    pub fn set_min_retries(&mut self, min_retries: f64) {
        self.min_retries = min_retries;
    }

    /// Counts a request of a caller, whose share of `ratio` can be spent on retries.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.prune(now);
    }

    /// Spends one retry if the budget allows it, and reports whether it does.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.prune(now);
        let allowed = self.min_retries + USABLE_SHARE * self.ratio * self.requests.len() as f64;
        let is_allowed = ((self.retries.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn prune(&mut self, now: Duration) {
        let start = now.saturating_sub(self.window);
        while self.requests.front().is_some_and(|at| *at < start) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < start) {
            self.retries.pop_front();
        }
    }
}
