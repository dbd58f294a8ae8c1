//! What admission knows about a request.

use std::time::Duration;

/// Name of a caller, for fair shares.
pub type CallerId = String;

/// How soon an answer is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Somebody waits for the answer.
    Urgent,
    /// The answer may come any time before its deadline.
    Deferrable,
}

/// What admission knows about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Caller that sent it.
    pub caller: CallerId,
    /// How soon the answer is needed.
    pub urgency: Urgency,
    /// Memory that it takes while it waits, in bytes.
    pub size_bytes: usize,
    /// Moment at which the answer is of no use any more.
    pub deadline_at: Duration,
}
