//! Outlier detection: ejects upstreams whose recent attempts failed.

use crate::upstream::UpstreamId;
use std::{collections::HashMap, time::Duration};

/// Weight of the newest attempt in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure rate from which an upstream is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.55;
/// Consecutive unreachable attempts after which an upstream is ejected.
const MAX_CONSECUTIVE_UNREACHABLE: u32 = 2;
/// Duration of the first ejection; it doubles with each consecutive one.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Most doublings of the duration of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Value to which an ejection resets the failure rate; one more failure ejects the upstream again.
const FAILURE_RATE_AFTER_EJECTION: f64 = 0.5;

/// Result of an attempt, as far as it shows whether the upstream works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The head of a response arrived; its body may still break off.
    Started,
    /// The upstream answered.
    Answered,
    /// The attempt failed after it may have run, or the answer was wrong.
    Failed,
    /// The upstream could not be reached or did not answer.
    Unreachable,
}

#[derive(Debug, Clone, Copy, Default)]
struct FailureHistory {
    failure_rate: f64,
    consecutive_unreachable: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Duration>,
}

/// Tracks the failure rate of each upstream, and ejects failing ones for a limited time.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    entries: HashMap<UpstreamId, FailureHistory>,
}

impl OutlierDetector {
    /// Records the result of an attempt, and reports whether the upstream was ejected because of
    /// it.
    pub fn record(&mut self, id: &str, outcome: AttemptOutcome, now: Duration) -> bool {
        let history = self.entries.entry(id.to_owned()).or_default();
        let newest = match outcome {
            AttemptOutcome::Started => history.failure_rate,
            AttemptOutcome::Answered => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => 1.0,
        };
        history.failure_rate += NEWEST_WEIGHT * (newest - history.failure_rate);
        match outcome {
            AttemptOutcome::Started => {
                history.consecutive_unreachable = 0;
                return false;
            }
            AttemptOutcome::Answered => {
                history.consecutive_unreachable = 0;
                if history.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
                    history.consecutive_ejections = 0;
                }
                history.ejected_until = None;
                return false;
            }
            AttemptOutcome::Failed => {}
            AttemptOutcome::Unreachable => history.consecutive_unreachable += 1,
        }
        let is_due = history.failure_rate >= EJECTION_FAILURE_RATE
            || history.consecutive_unreachable >= MAX_CONSECUTIVE_UNREACHABLE;
        if !is_due || history.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        history.ejected_until = Some(now + MIN_EJECTION * 2_u32.pow(history.consecutive_ejections));
        history.consecutive_ejections =
            (history.consecutive_ejections + 1).min(MAX_EJECTION_DOUBLINGS);
        history.failure_rate = FAILURE_RATE_AFTER_EJECTION;
        history.consecutive_unreachable = MAX_CONSECUTIVE_UNREACHABLE - 1;
        true
    }

    /// Reports whether an upstream is ejected; new requests should avoid it.
    pub fn is_ejected(&self, id: &str, now: Duration) -> bool {
        let until = self.entries.get(id).and_then(|history| history.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of failed attempts, from 0 to 1.
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.entries.get(id).map_or(0.0, |history| history.failure_rate)
    }

    /// Removes the history of the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|id, _| keep(id));
    }
}
