//! Whether the store answers this host.

use std::{cell::Cell, time::Duration};
use tokio::sync::Notify;

/// Time without a response after which the store counts as unavailable for this host.
const STORE_LOST_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failed calls after which the store counts as unavailable for this host.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Time for which a single answer shows that the store can be followed.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1500);

/// Results of recent calls to the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Whether the watches of all kinds run.
    pub is_following_store: Cell<bool>,
    followed_since: Cell<Duration>,
    last_answer_at: Cell<Option<Duration>>,
    /// Consecutive calls that the store did not answer.
    consecutive_failures: Cell<u32>,
    /// Whether the last call for upstreams failed.
    is_unavailable: Cell<bool>,
    /// Restarts waiting watches after idle connections to the store were closed.
    watch_restart: Notify,
}

impl StoreHealth {
    /// Forgets earlier results, before the store is followed again.
    pub fn start_following(&self, now: Duration) {
        self.followed_since.set(now);
        self.consecutive_failures.set(0);
        self.is_following_store.set(true);
    }

    /// Records a call that the store answered.
    pub fn record_answer(&self, now: Duration) {
        self.last_answer_at.set(Some(now));
        self.consecutive_failures.set(0);
    }

    /// Records a call that the store did not answer.
    pub fn record_failure(&self) {
        self.consecutive_failures.set(self.consecutive_failures.get() + 1);
    }

    /// Records whether a call for upstreams was answered, and returns whether that has changed.
    pub fn record_availability(&self, is_available: bool) -> bool {
        self.is_unavailable.replace(!is_available) == is_available
    }

    /// Returns the number of consecutive calls that the store did not answer.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.get()
    }

    /// Returns whether recent calls failed, or got no answer for long.
    pub fn is_failing(&self, now: Duration) -> bool {
        let last_sign_at = self.last_answer_at.get().max(Some(self.followed_since.get()));
        let is_silent = last_sign_at.is_none_or(|at| now >= at + STORE_LOST_TIMEOUT);
        self.is_following_store.get()
            && (is_silent || self.consecutive_failures.get() >= MAX_CONSECUTIVE_FAILURES)
    }

    /// Returns whether the store answered the last call, and not long ago.
    pub fn answers(&self, now: Duration) -> bool {
        let is_recent = self.last_answer_at.get().is_some_and(|at| now < at + ANSWER_VALIDITY);
        is_recent && self.consecutive_failures.get() == 0
    }

    /// Ends waiting watches, which start again from the revisions known.
    pub fn restart_watches(&self) {
        self.watch_restart.notify_waiters();
    }

    /// Waits until watches must start again.
    pub async fn wait_for_restart(&self) {
        self.watch_restart.notified().await;
    }
}
