//! Requests that crash their upstreams.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time for which a quarantine lasts.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Time for which a request that crashed one upstream is run alone.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(3600);
/// Longest time that a suspect has for its attempt alone.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// When a caller should come back while a suspect is tried.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Arrival of a request that may try a suspect alone.
pub type TrialId = u64;

/// What is known about a request that crashed an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes that it took part in.
    pub crashes: u32,
    /// Why it is held.
    pub reason: String,
    /// Upstreams that crashed.
    pub upstreams: Vec<String>,
    /// Arrival that tries it alone.
    pub trial: Option<TrialId>,
    /// Attempt whose crash was recorded last; tells a lost reply from a further crash.
    #[serde(default)]
    pub last_attempt: u64,
    /// Wall clock of the last change, in milliseconds.
    pub changed_at_ms: u64,
}

/// What an arrival of a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Nothing is known against it.
    Run,
    /// It may run alone once it holds the trial.
    RunAlone,
    /// It is refused.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

impl QuarantineRecord {
    /// Names the platform object of a fingerprint.
    pub fn object_name(fingerprint: Fingerprint) -> String {
        format!("quarantine-{fingerprint}")
    }

    /// Decides what an arrival may do.
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

    /// Reports whether the record decides nothing any more.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.decide(now_ms) == QuarantineDecision::Run
    }

    /// Records that an arrival tries the request alone.
    pub fn with_trial(mut self, trial: TrialId, now_ms: u64) -> Self {
        self.trial = Some(trial);
        self.changed_at_ms = now_ms;
        self
    }

    /// Records the first crash; the arrival tries the request alone if it may run again.
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

    /// Records a further crash; none when it is the crash that is recorded already.
    pub fn after_further_crash(&self, upstream: &str, trial: TrialId, now_ms: u64) -> Option<Self> {
        let is_own_trial = self.trial == Some(trial);
        let is_same_crash = !is_own_trial && self.upstreams.iter().any(|u| u == upstream);
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
