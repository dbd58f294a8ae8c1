//! Requests that are refused, and when their callers may come back.

use std::time::Duration;

/// Shortest time to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// The queue holds as many requests as it may.
    #[error("queue_full")]
    QueueFull,
    /// The queue holds as many bytes as it may.
    #[error("queue_bytes")]
    QueueBytes,
    /// The caller holds more than its share of a full queue.
    #[error("over_share")]
    OverShare,
    /// The request can't start early enough to make its deadline.
    #[error("deadline")]
    Deadline,
}

/// A refusal with the time after which the caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; come back in {retry_after:?}")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the backlog should have drained far enough.
    pub retry_after: Duration,
}

/// A request that was refused, handed back to be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request.
    pub item: T,
    /// Why, and when to come back.
    pub refusal: Refusal,
}

impl Refusal {
    /// Makes a refusal, keeping the time to come back within its limits.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
    }
}
