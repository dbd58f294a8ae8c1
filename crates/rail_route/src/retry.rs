//! Whether a request to a plain service is sent again after a failed attempt.

use crate::table::Route;
use std::time::Duration;

/// Time left below which no further attempt is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Attempts of one request that may fail before the upstream receives it.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Attempts in all that every route allows if they are refused, as a refused request has not run.
const MIN_ATTEMPTS_AFTER_REFUSAL: u32 = 2;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The instance answered with a server error.
    ServerError,
    /// The instance gave no whole answer, and may have run the request.
    Lost,
    /// The instance refused the request and has not run it.
    Refused,
    /// The request did not reach the instance.
    NotSent,
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptCounts {
    /// Attempts that reached their instances.
    pub sent: u32,
    /// Attempts that did not.
    pub unsent: u32,
}

impl AttemptCounts {
    /// Returns whether a request is sent again after an attempt that failed in this way, which is
    /// not counted yet. The retry budget is not considered.
    pub fn may_retry(self, failure: AttemptFailure, route: &Route, time_left: Duration) -> bool {
        let max_sent = match failure {
            AttemptFailure::NotSent => return self.unsent + 1 < MAX_UNSENT_ATTEMPTS,
            AttemptFailure::ServerError | AttemptFailure::Lost if !route.kind.is_retryable() => {
                return false;
            }
            AttemptFailure::ServerError | AttemptFailure::Lost => route.max_attempts,
            AttemptFailure::Refused => route.max_attempts.max(MIN_ATTEMPTS_AFTER_REFUSAL),
        };
        self.sent + 1 < max_sent && time_left > MIN_ATTEMPT_TIME
    }
}
