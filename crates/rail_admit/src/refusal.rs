//! Refused requests and the time after which their callers may retry.

use std::time::Duration;

/// Lower bound of [`Refusal::retry_after`].
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of [`Refusal::retry_after`].
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reason why a request is refused; its text is a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// The queue has reached its limit of requests.
    #[error("queue_full")]
    QueueFull,
    /// The queue has reached its limit of bytes.
    #[error("queue_bytes")]
    QueueBytes,
    /// The caller uses more than its fair share of a full queue.
    #[error("over_share")]
    OverShare,
    /// The request can't meet its deadline, or its deadline has passed.
    #[error("deadline")]
    Deadline,
}

/// A refusal with the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {retry_after:?}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time until the backlog should be short enough for a retry.
    pub retry_after: Duration,
}

/// A refused request, returned so that its caller can be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// Item that was passed to [`AdmissionQueue::push`](crate::AdmissionQueue::push).
    pub item: T,
    /// Reason for the refusal, and the time after which the caller may retry.
    pub refusal: Refusal,
}

impl Refusal {
    /// Creates a refusal with `retry_after` clamped to [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
    }
}
