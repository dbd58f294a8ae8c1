//! Trust in upstreams from what their answers show.

use crate::upstream::UpstreamId;
use std::{collections::HashMap, time::Duration};

/// Weight of the newest attempt in the failure share.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure share from which an upstream is ejected.
const EJECT_SHARE: f64 = 0.55;
/// Unreachable attempts in a row after which an upstream is ejected.
const MAX_UNREACHABLE: u32 = 2;
/// First time of ejection; it doubles with each further one in a row.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Doublings after which the time grows no more.
const MAX_DOUBLINGS: u32 = 3;
/// Failure share after an ejection has ended: one more failure ejects again.
const SHARE_ON_RETURN: f64 = 0.5;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It failed after it may have run, or answered wrongly.
    Failed,
    /// It could not be reached or stayed silent.
    Unreachable,
}

#[derive(Debug, Clone, Copy, Default)]
struct Trust {
    failure_rate: f64,
    unreachable: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// Failure history of each upstream.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    entries: HashMap<UpstreamId, Trust>,
}

impl OutlierDetector {
    /// Takes the end of an attempt; gives whether the upstream was ejected for it.
    pub fn record(&mut self, id: &str, end: AttemptOutcome, now: Duration) -> bool {
        let trust = self.entries.entry(id.to_owned()).or_default();
        let failed = end != AttemptOutcome::Answered;
        let newest = if failed { NEWEST_WEIGHT } else { 0.0 };
        trust.failure_rate = trust.failure_rate * (1.0 - NEWEST_WEIGHT) + newest;
        match end {
            AttemptOutcome::Answered => {
                trust.unreachable = 0;
                if trust.failure_rate < EJECT_SHARE / 2.0 {
                    trust.ejections = 0;
                }
                trust.ejected_until = None;
                return false;
            }
            AttemptOutcome::Failed => {}
            AttemptOutcome::Unreachable => trust.unreachable += 1,
        }
        let is_due = trust.failure_rate >= EJECT_SHARE || trust.unreachable >= MAX_UNREACHABLE;
        if !is_due || trust.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        trust.ejected_until = Some(now + MIN_EJECTION * 2_u32.pow(trust.ejections));
        trust.ejections = (trust.ejections + 1).min(MAX_DOUBLINGS);
        trust.failure_rate = SHARE_ON_RETURN;
        trust.unreachable = MAX_UNREACHABLE - 1;
        true
    }

    /// Reports whether new work should avoid an upstream.
    pub fn is_ejected(&self, id: &str, now: Duration) -> bool {
        let until = self.entries.get(id).and_then(|trust| trust.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Gives the share of recent attempts that failed, from 0 to 1.
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.entries.get(id).map_or(0.0, |trust| trust.failure_rate)
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|id, _| keep(id));
    }
}
