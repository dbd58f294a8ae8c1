//! What goes into a quarantine table and what it decides.

use crate::{
    quarantine::{TrialId, UpstreamEnd},
    quarantine_key::{KeyKind, QuarantineKey},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of adding a crash or a record to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableChange {
    /// Nothing new.
    Unchanged,
    /// The record of the other host is older than the known one.
    Outdated,
    /// The record changed and other hosts should learn it.
    Changed,
    /// The record changed, and the request is refused from now on.
    Quarantined,
    /// The record of the other host is about a part of prompts that this host knows to be sound.
    Refuted,
}

/// Decision about a request with several keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeysDecision {
    /// The request may run normally.
    Run,
    /// The request may run as a trial.
    Suspect {
        /// Key whose trials run one at a time.
        key: QuarantineKey,
        /// Key that is to blame if the trial ends its upstream.
        blamed: QuarantineKey,
    },
    /// The request is refused because of this key.
    Refuse {
        /// Key that is quarantined or held back.
        key: QuarantineKey,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A record as hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordNews {
    /// Fingerprint of the request or part.
    pub fingerprint: [u8; 16],
    /// What the record is about.
    pub kind: KeyKind,
    /// Number of crashes; 0 if the request was cleared.
    pub crashes: u32,
    /// Number of times that the record was cleared.
    pub clearances: u32,
    /// Time since the last change, in milliseconds.
    pub age_ms: u64,
    /// Ends of upstreams behind the crashes.
    pub ends: Vec<UpstreamEnd>,
}

/// Decision about a call that asks to run the trial of a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrialDecision {
    /// The request is no suspect and may run normally.
    Run,
    /// The trial may start.
    Start {
        /// The only upstream that may run it; any if `None`.
        upstream: Option<String>,
        /// Upstreams that run trials which may condemn another request.
        avoided: Vec<String>,
    },
    /// Another trial must end first.
    Wait,
    /// The request is quarantined.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A trial that a call runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRun {
    /// ID of the call.
    pub id: TrialId,
    /// Crashes that were known when the trial started, suspected ones included.
    pub known_crashes: u32,
}

/// A run of a request that got no whole answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LostRun {
    /// Trial as which it ran, if it did.
    pub trial: Option<TrialRun>,
    /// Time at which it was sent to the upstream.
    pub sent_at_ms: u64,
}

impl From<Option<TrialRun>> for LostRun {
    fn from(trial: Option<TrialRun>) -> Self {
        Self { trial, sent_at_ms: 0 }
    }
}
