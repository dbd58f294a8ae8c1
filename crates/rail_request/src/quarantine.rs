//! Quarantine records of requests that crash their upstreams.
//!
//! After its first crash a request is a suspect: one call at a time may run it, alone on an engine
//! (the trial). After [`QUARANTINE_CRASHES`] crashes the request is refused.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time for which a quarantined request is refused.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Time for which a request that crashed once runs only as a trial, since its crash or the start of
/// its last trial.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(3600);
/// Time after which an unfinished trial counts as abandoned and another call may start one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay that is sent to callers while a trial of the same request is running.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Random ID of a call that may run the trial of a suspect.
pub type TrialId = u64;

/// Stored record of a request that crashed an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of crashes during which the request was running.
    pub crashes: u32,
    /// Reason for operators, always `upstream_crashed`.
    pub reason: String,
    /// Names of the upstreams that crashed.
    pub upstreams: Vec<String>,
    /// Call that runs the trial, if one does.
    pub trial: Option<TrialId>,
    /// Attempt whose crash was recorded last.
    ///
    /// If the reply to a write is lost, the writer finds its own attempt here and doesn't record
    /// the crash twice.
    #[serde(default)]
    pub last_attempt: u64,
    /// Wall-clock time of the last change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
}

/// Decision about a call whose request has a quarantine record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The record has expired; the request may run normally.
    Run,
    /// The request may run alone on an engine, if the call acquires the trial.
    RunAlone,
    /// The request is refused.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl QuarantineRecord {
    /// Returns the name of the platform object that stores the record of a fingerprint.
    pub fn object_name(fingerprint: Fingerprint) -> String {
        format!("quarantine-{fingerprint}")
    }

    /// Decides whether a further call of the request may run.
    pub fn decide(&self, now_ms: u64) -> QuarantineDecision {
        let age = Duration::from_millis(now_ms.saturating_sub(self.changed_at_ms));
        if self.crashes >= QUARANTINE_CRASHES {
            return match QUARANTINE_DURATION.checked_sub(age) {
                Some(left) if !left.is_zero() => QuarantineDecision::Refuse { retry_after: left },
                _ => QuarantineDecision::Run,
            };
        }
        if self.trial.is_some() && age < TRIAL_TIMEOUT {
            QuarantineDecision::Refuse { retry_after: TRIAL_RETRY_AFTER }
        } else if age < SUSPECT_DURATION {
            QuarantineDecision::RunAlone
        } else {
            QuarantineDecision::Run
        }
    }

    /// Returns whether the record no longer restricts the request.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.decide(now_ms) == QuarantineDecision::Run
    }

    /// Records the call that runs the trial.
    pub fn with_trial(mut self, trial_id: TrialId, now_ms: u64) -> Self {
        self.trial = Some(trial_id);
        self.changed_at_ms = now_ms;
        self
    }

    /// Creates the record of a first crash.
    ///
    /// `trial` is the call that crashed, if it may retry the request; it then runs the trial.
    pub fn after_first_crash(
        fingerprint: Fingerprint,
        upstream: &str,
        trial: Option<TrialId>,
        now_ms: u64,
    ) -> Self {
        Self {
            fingerprint,
            crashes: 1,
            reason: "upstream_crashed".to_owned(),
            upstreams: vec![upstream.to_owned()],
            trial,
            last_attempt: 0,
            changed_at_ms: now_ms,
        }
    }

    /// Returns the record with a further crash, or `None` if there is nothing to add.
    ///
    /// If one crash ends several calls of the request, it counts once: a crash of an upstream that
    /// is already in the record counts only for the call that runs the trial.
    pub fn after_further_crash(
        &self,
        upstream: &str,
        trial_id: TrialId,
        now_ms: u64,
    ) -> Option<Self> {
        let is_own_trial = self.trial == Some(trial_id);
        let is_same_crash = !is_own_trial && self.upstreams.iter().any(|known| known == upstream);
        if is_same_crash || self.crashes >= QUARANTINE_CRASHES {
            return None;
        }
        let mut next = self.clone();
        next.crashes += 1;
        next.upstreams.push(upstream.to_owned());
        next.trial = None;
        next.changed_at_ms = now_ms;
        Some(next)
    }
}
