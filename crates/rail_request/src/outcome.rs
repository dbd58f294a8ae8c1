//! Reasons for which a request ends without a response.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Refusal of a request that did not run on any upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("not run: {reason}")]
pub struct RequestRefusal {
    /// Reason that is reported to the caller and in metrics.
    pub reason: RequestRefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Reason for which a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RequestRefusalReason {
    /// No engine of the base model has an owner with a valid lease.
    #[error("no_owner")]
    NoOwner,
    /// The process that received the order does not own the engine.
    #[error("not_owner")]
    NotOwner,
    /// The process is shutting down.
    #[error("leaving")]
    Leaving,
    /// Admission control rejected the request, for example because the queue is full.
    #[error("overloaded")]
    Overloaded,
    /// The deadline has passed or can't be met.
    #[error("deadline")]
    Deadline,
    /// The adapter could not be loaded on the engine.
    #[error("load_failed")]
    LoadFailed,
    /// The upstream refused the request before running it.
    #[error("refused_by_upstream")]
    RefusedByUpstream,
    /// No connection to an upstream could be made.
    #[error("unreachable")]
    Unreachable,
    /// The configuration could not be confirmed as current.
    #[error("stale_configuration")]
    StaleConfiguration,
    /// The claim of a request with an idempotency key could not be stored, because the platform
    /// did not respond.
    #[error("platform_unavailable")]
    PlatformUnavailable,
    /// The request has crashed upstreams and is quarantined.
    #[error("quarantined")]
    Quarantined,
}

/// Reason for which a request that may have run has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RequestFailure {
    /// The upstream reported a failure.
    #[error("upstream_failed")]
    UpstreamFailed,
    /// The upstream crashed while the request ran.
    #[error("upstream_crashed")]
    UpstreamCrashed,
    /// The response came from another adapter or version than the request named.
    #[error("wrong_adapter")]
    WrongAdapter,
    /// The connection was lost, so the request may or may not have run.
    #[error("unknown_outcome")]
    UnknownOutcome,
}
