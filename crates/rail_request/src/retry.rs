//! Retry budget for attempts that may have run.

use std::collections::BTreeMap;

/// Number of successful responses that refill one retry of each cause.
const RESPONSES_PER_RETRY: u32 = 5;
/// Maximum number of retries available for each cause, which is also the initial number.
const MAX_SAVED_RETRIES: u32 = 20;

/// Cause of a retry; each cause has a budget of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RetryCause {
    /// The gateway lost its connection to the owner of the engine.
    #[error("lost_link")]
    LostLink,
    /// The owner lost its connection to the upstream.
    #[error("lost_upstream")]
    LostUpstream,
    /// The upstream reported a failure.
    #[error("upstream_failed")]
    UpstreamFailed,
    /// The upstream crashed.
    #[error("upstream_crashed")]
    UpstreamCrashed,
    /// The upstream responded with another adapter or version.
    #[error("wrong_adapter")]
    WrongAdapter,
}

/// Limits retries to a fraction of the recent responses, separately for each cause.
///
/// The budget keeps retries from multiplying the load when many attempts fail.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Number of successful responses that are still needed to refill all retries, by cause.
    missing_responses: BTreeMap<RetryCause, u32>,
}

impl RetryBudget {
    /// Records a successful response, which refills part of a retry of every cause.
    pub fn record_response(&mut self) {
        for missing in self.missing_responses.values_mut() {
            *missing = missing.saturating_sub(1);
        }
    }

    /// Spends one retry of this cause; returns `false` if none is left.
    pub fn try_spend(&mut self, cause: RetryCause) -> bool {
        let missing = self.missing_responses.entry(cause).or_default();
        let is_available = *missing <= (MAX_SAVED_RETRIES - 1) * RESPONSES_PER_RETRY;
        if is_available {
            *missing += RESPONSES_PER_RETRY;
        }
        is_available
    }
}
