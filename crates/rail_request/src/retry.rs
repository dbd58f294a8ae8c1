//! Budget of retries after attempts that may have run.

use std::collections::BTreeMap;

/// Answered requests that earn one retry, for each cause.
const ANSWERS_PER_RETRY: u32 = 5;
/// Most retries that can be saved up, for each cause.
const MAX_SAVED_RETRIES: u32 = 20;

/// Why an attempt is followed by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RetryCause {
    /// The link to the owner of the engine was lost.
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
    /// The upstream answered for another adapter.
    #[error("wrong_adapter")]
    WrongAdapter,
}

/// Retries that may still be made: a share of recent answers, apart for each cause.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Spent retries, in answers that earn them back.
    spent: BTreeMap<RetryCause, u32>,
}

impl RetryBudget {
    /// Earns a share of a retry.
    pub fn record_answer(&mut self) {
        for spent in self.spent.values_mut() {
            *spent = spent.saturating_sub(1);
        }
    }

    /// Takes one retry for this cause, if one is left.
    pub fn try_spend(&mut self, cause: RetryCause) -> bool {
        let spent = self.spent.entry(cause).or_default();
        let is_left = *spent <= (MAX_SAVED_RETRIES - 1) * ANSWERS_PER_RETRY;
        if is_left {
            *spent += ANSWERS_PER_RETRY;
        }
        is_left
    }
}
