//! The closed set of ways in which a request ends without an answer.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request that did not run on any upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("not run: {reason}")]
pub struct RequestRefusal {
    /// Why it did not run.
    pub reason: RequestRefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RequestRefusalReason {
    /// No engine of the base model has an owner in force.
    #[error("no_owner")]
    NoOwner,
    /// The process does not own the engine.
    #[error("not_owner")]
    NotOwner,
    /// The process is stopping.
    #[error("leaving")]
    Leaving,
    /// The queue is full.
    #[error("overloaded")]
    Overloaded,
    /// The deadline can't be met.
    #[error("deadline")]
    Deadline,
    /// The adapter could not be loaded.
    #[error("load_failed")]
    LoadFailed,
    /// The upstream refused before running.
    #[error("refused_by_upstream")]
    RefusedByUpstream,
    /// No connection to an upstream could be made.
    #[error("unreachable")]
    Unreachable,
    /// The configuration could not be confirmed as current.
    #[error("stale_configuration")]
    StaleConfiguration,
    /// The platform is away and the claim could not be made.
    #[error("platform_unavailable")]
    PlatformUnavailable,
    /// The request crashed upstreams and is quarantined.
    #[error("quarantined")]
    Quarantined,
}

/// Why a request that may have run has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RequestFailure {
    /// The upstream ran it and reported a failure.
    #[error("upstream_failed")]
    UpstreamFailed,
    /// The upstream crashed while it ran.
    #[error("upstream_crashed")]
    UpstreamCrashed,
    /// The answer came from another adapter or version than named.
    #[error("wrong_adapter")]
    WrongAdapter,
    /// The connection was lost; it may or may not have run.
    #[error("unknown_outcome")]
    UnknownOutcome,
}
