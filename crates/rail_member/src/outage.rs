//! Whether the store was away for all hosts, or only this host was unable to hear of it.
//!
//! After an outage, records of upstreams may be missing only because they expired meanwhile, so
//! their removal is deferred. A host that stood still, or was cut off, has old records too when it
//! goes on, and must not take that for an outage.

use crate::{
    confirmation::RecordAges,
    refresh::{AGE_CHECK_INTERVAL, RefreshBudget},
    replica::RecordKind,
};
use std::time::Duration;

/// Delay of a periodic check from which the host counts as having stood still.
const STANDSTILL: Duration = Duration::from_millis(250);

/// Since when this host has been running without a standstill. Times are those of a clock that runs
/// while the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningTime {
    since: Duration,
    checked_at: Option<Duration>,
}

impl RunningTime {
    /// Records a check that is made every [`AGE_CHECK_INTERVAL`].
    pub fn record_check(&mut self, now: Duration) {
        let due_at = self.checked_at.map(|checked_at| checked_at + AGE_CHECK_INTERVAL);
        if due_at.is_none_or(|due_at| now > due_at + STANDSTILL) {
            self.since = now;
        }
        self.checked_at = Some(now);
    }

    /// Returns for how long the host has been running. A standstill counts although no check has
    /// noticed it yet.
    pub fn at(mut self, now: Duration) -> Duration {
        self.record_check(now);
        now.saturating_sub(self.since)
    }
}

/// Returns whether the store's first answer ends an outage for all hosts: this host has been asking
/// the others for so long that it would know of any answer to one of them.
pub fn ends_outage(budget: &RefreshBudget, ages: &RecordAges, running: Duration) -> bool {
    let age = ages.of(RecordKind::Upstreams);
    age.is_some_and(|age| age.min(running) >= budget.longest_time(1))
}

/// Returns whether this host, told that an outage has ended, can believe it: it knows of no recent
/// answer of the store.
pub fn believes_outage(budget: &RefreshBudget, ages: &RecordAges) -> bool {
    ages.of(RecordKind::Upstreams).is_none_or(|age| age >= budget.recent_age())
}
