//! Properties of a request that admission depends on.

use std::time::Duration;

/// Name of a caller; the queue is shared fairly between callers.
pub type CallerId = String;

/// Whether a request must be answered soon or can wait until its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Someone waits for the answer.
    Urgent,
    /// The answer is useful at any time before the deadline.
    Deferrable,
}

/// Properties of a request that [`AdmissionQueue::push`](crate::AdmissionQueue::push) depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Urgent requests start before deferrable ones.
    pub urgency: Urgency,
    /// Memory that the request uses while it waits, in bytes.
    pub size_bytes: usize,
    /// Deadline, after which the answer is of no use.
    pub deadline: Duration,
}
