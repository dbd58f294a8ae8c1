//! Budget of repeated sends, shared by all hosts.

use std::{collections::VecDeque, time::Duration};

/// One host's part of the budget of a service.
///
/// All hosts together may send `ratio` repeats a request plus `slack` in any window. A host spends
/// only what it can prove: the ratio of its own requests in the last full window, and its part of
/// the slack.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Part of the ratio that a host spends, since windows of several hosts do not line up.
const SAFE_SHARE: f64 = 0.8;

impl RetryBudget {
    /// Starts with the budget of one host.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        let (requests, repeats) = (VecDeque::new(), VecDeque::new());
        Self { window, ratio, slack, requests, repeats }
    }

    /// Sets this host's part of the slack.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one repeat if the budget allows it.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        self.forget(now);
        let allowed = self.slack + SAFE_SHARE * self.ratio * self.requests.len() as f64;
        let is_allowed = ((self.repeats.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    fn forget(&mut self, now: Duration) {
        let start = now.saturating_sub(self.window);
        while self.requests.front().is_some_and(|at| *at < start) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(|at| *at < start) {
            self.repeats.pop_front();
        }
    }
}
