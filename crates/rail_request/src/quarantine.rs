//! Quarantine records of requests that crash their upstreams.
//!
//! After its first crash a request is a suspect: one call at a time may run it (the trial). Only
//! crashes in trials count further, so that a popular request which runs on several upstreams is
//! not condemned when these end together. After [`TrialIsolation::max_crashes`] crashes the request
//! is refused.
//!
//! A record is about one request or about a part of prompts, which many requests share. Of
//! the requests with a quarantined part one runs as a trial in each [`PART_QUARANTINE_DURATION`].
//!
//! Whether an upstream ended may stay unknown for seconds. Until then its end is suspected: it
//! makes the request a suspect, and holds it back once suspected and proven ends together reach the
//! limit. Only proven ends condemn a request for long.

use crate::{fingerprint::Fingerprint, quarantine_key::KeyKind};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Crashes after which a request is quarantined if its trials have their engine to themselves.
const MAX_ISOLATED_CRASHES: u32 = 2;
/// Crashes after which a request is quarantined if other requests run beside its trials.
const MAX_SHARED_CRASHES: u32 = 3;
/// Time for which a quarantined request is refused.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Time for which requests with a quarantined part of prompts are refused.
pub const PART_QUARANTINE_DURATION: Duration = Duration::from_secs(15 * 60);
/// Time from the first end under a part of prompts to its first trial. Requests with the part that
/// run already end their upstreams within it, or clear the part.
const PART_SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time for which a request that crashed once runs only as a trial, since its crash or the start of
/// its last trial.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(3600);
/// Time for which suspected ends hold a request back, since the last change of its record.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(10);
/// Time after which an unfinished trial counts as abandoned and another call may start one.
const ISOLATED_TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for trials beside other requests: one that takes longer has most likely not crashed its
/// upstream, and other calls should not wait for it.
const SHARED_TRIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for trials of a part of prompts, whose requests may wait for an adapter before they can
/// crash anything.
const PART_TRIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Retry delay that is sent to callers while a trial of the same request is running.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Random ID of a call that may run the trial of a suspect.
pub type TrialId = u64;

/// Whether other requests run on the upstream during a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialIsolation {
    /// The trial runs alone, so no other request can have caused its crash.
    Alone,
    /// Requests that are not suspects run beside the trial.
    Shared,
}

impl TrialIsolation {
    /// Returns the number of crashes after which a request is quarantined.
    pub fn max_crashes(self) -> u32 {
        match self {
            Self::Alone => MAX_ISOLATED_CRASHES,
            Self::Shared => MAX_SHARED_CRASHES,
        }
    }

    /// Returns the time after which another call may start a trial although one runs.
    pub fn trial_timeout(self, kind: KeyKind) -> Duration {
        match (self, kind) {
            (Self::Alone, _) => ISOLATED_TRIAL_TIMEOUT,
            (Self::Shared, KeyKind::Request) => SHARED_TRIAL_TIMEOUT,
            (Self::Shared, KeyKind::PromptPart) => PART_TRIAL_TIMEOUT,
        }
    }
}

/// How certain the end of an upstream is; a later one replaces an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum EndProof {
    /// The upstream lost the request and answers nothing.
    Suspected,
    /// The upstream answers, and no other start of it is known.
    Withdrawn,
    /// The upstream refuses connections, or another start of it is known.
    #[default]
    Proven,
}

/// One start of an upstream that ended while a request ran there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Name of the upstream.
    pub upstream: String,
    /// Start of its process in Unix milliseconds, 0 if unknown.
    pub started_unix_ms: u64,
    /// Host that lost the request.
    pub host: String,
    /// How certain the end is.
    #[serde(default)]
    pub proof: EndProof,
    /// Whether the request ran there as a trial.
    #[serde(default)]
    pub is_trial: bool,
    /// Time at which the loss was noticed, on the clock of whoever keeps the record; in messages
    /// the time since then.
    #[serde(default)]
    pub noticed_at_ms: u64,
}

impl UpstreamEnd {
    /// Returns whether both are the end of the same process, seen by any host.
    pub fn is_same_process(&self, other: &Self) -> bool {
        (&self.upstream, self.started_unix_ms) == (&other.upstream, other.started_unix_ms)
    }
}

/// Stored record of a request that crashed an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// What the record is about.
    #[serde(default)]
    pub kind: KeyKind,
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
    /// Time of the last change in milliseconds, on the clock of whoever keeps the record.
    pub changed_at_ms: u64,
    /// Ends of upstreams behind the crashes, if the recording process identifies them.
    #[serde(default)]
    pub ends: Vec<UpstreamEnd>,
    /// Number of times that the record was cleared; the record with the higher number is newer.
    #[serde(default)]
    pub clearances: u32,
}

/// Decision about a call whose request has a quarantine record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The record has expired; the request may run normally.
    Run,
    /// The request may run as a trial, if the call acquires it.
    RunTrial,
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

    /// Returns the number of crashes if those ends are counted that are proven, or not withdrawn.
    fn count_ends(&self, counts: impl Fn(EndProof) -> bool) -> u32 {
        let counted = self.ends.iter().filter(|end| counts(end.proof));
        let (trials, others): (Vec<_>, Vec<_>) = counted.partition(|end| end.is_trial);
        trials.len() as u32 + u32::from(!others.is_empty())
    }

    /// Returns the number of crashes if all suspected ends turn out to be real.
    pub fn possible_crashes(&self, now_ms: u64) -> u32 {
        let age = Duration::from_millis(now_ms.saturating_sub(self.changed_at_ms));
        if age >= SUSPICION_DURATION {
            return self.crashes;
        }
        self.crashes.max(self.count_ends(|proof| proof != EndProof::Withdrawn))
    }

    /// Counts the proven ends as crashes.
    pub(crate) fn update_crashes(&mut self) {
        self.crashes = self.crashes.max(self.count_ends(|proof| proof == EndProof::Proven));
    }

    /// Returns whether suspected ends hold the request back.
    pub fn is_held_back(&self, isolation: TrialIsolation, now_ms: u64) -> bool {
        !self.is_quarantined(isolation) && self.possible_crashes(now_ms) >= isolation.max_crashes()
    }

    /// Decides whether a further call of the request may run.
    pub fn decide(&self, isolation: TrialIsolation, now_ms: u64) -> QuarantineDecision {
        let age = Duration::from_millis(now_ms.saturating_sub(self.changed_at_ms));
        if self.possible_crashes(now_ms) == 0 {
            return QuarantineDecision::Run;
        }
        if self.is_quarantined(isolation) {
            let left = self.quarantine_duration().saturating_sub(age);
            return match self.kind {
                _ if !left.is_zero() => QuarantineDecision::Refuse { retry_after: left },
                KeyKind::Request => QuarantineDecision::Run,
                // The start of the trial begins a new time of refusals.
                KeyKind::PromptPart => QuarantineDecision::RunTrial,
            };
        }
        if self.is_held_back(isolation, now_ms) {
            let retry_after = SUSPICION_DURATION.saturating_sub(age);
            return QuarantineDecision::Refuse { retry_after };
        }
        if self.is_settling(age) {
            let retry_after = PART_SETTLING_TIME.saturating_sub(age);
            return QuarantineDecision::Refuse { retry_after };
        }
        if self.has_running_trial(isolation, age) {
            QuarantineDecision::Refuse { retry_after: TRIAL_RETRY_AFTER }
        } else if age < SUSPECT_DURATION {
            QuarantineDecision::RunTrial
        } else {
            QuarantineDecision::Run
        }
    }

    fn has_running_trial(&self, isolation: TrialIsolation, age: Duration) -> bool {
        self.trial.is_some() && age < isolation.trial_timeout(self.kind)
    }

    /// Returns whether requests that began before the first end may still end upstreams.
    fn is_settling(&self, age: Duration) -> bool {
        let has_trial = self.trial.is_some() || self.ends.iter().any(|end| end.is_trial);
        self.kind == KeyKind::PromptPart && !has_trial && age < PART_SETTLING_TIME
    }

    fn quarantine_duration(&self) -> Duration {
        match self.kind {
            KeyKind::Request => QUARANTINE_DURATION,
            KeyKind::PromptPart => PART_QUARANTINE_DURATION,
        }
    }

    /// Returns whether the record no longer restricts the request.
    pub fn is_expired(&self, isolation: TrialIsolation, now_ms: u64) -> bool {
        self.decide(isolation, now_ms) == QuarantineDecision::Run
    }

    /// Returns whether the request has crashed as often as its trials allow.
    pub fn is_quarantined(&self, isolation: TrialIsolation) -> bool {
        self.crashes >= isolation.max_crashes()
    }

    /// Returns whether another crash quarantines the request or holds it back.
    pub fn is_last_trial(&self, isolation: TrialIsolation, now_ms: u64) -> bool {
        self.possible_crashes(now_ms) + 1 == isolation.max_crashes()
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
            kind: KeyKind::Request,
            crashes: 1,
            reason: "upstream_crashed".to_owned(),
            upstreams: vec![upstream.to_owned()],
            trial,
            last_attempt: 0,
            changed_at_ms: now_ms,
            ends: Vec::new(),
            clearances: 0,
        }
    }

    /// Returns the record with a further crash, or `None` if there is nothing to add.
    ///
    /// Only the crash of the trial counts. Other calls that crash began before the request was a
    /// suspect, and may all have been ended by one failure of several upstreams.
    pub fn after_further_crash(
        &self,
        isolation: TrialIsolation,
        upstream: &str,
        trial_id: TrialId,
        now_ms: u64,
    ) -> Option<Self> {
        if self.trial != Some(trial_id) || self.is_quarantined(isolation) {
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
