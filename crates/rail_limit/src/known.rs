//! What one host knows of the limits that upstreams name.

use crate::rate::{LimitStatement, RequestRate};
use std::{collections::HashMap, time::Duration};

/// Time for which the end of a limit is remembered, so that older news does not bring it back.
const END_MEMORY: Duration = Duration::from_secs(15);
/// Answers of this age or less may have been given before one that arrived earlier.
const OVERTAKING_TIME: Duration = Duration::from_millis(100);

/// Identifies one start of an upstream; another start does not inherit the limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LimitKey {
    /// Identity with which the upstream registered.
    pub upstream: String,
    /// Time of the start in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

/// The limit of one start of an upstream, as of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Rate that the upstream takes from all hosts together, `None` if it names none any more.
    pub rate: Option<RequestRate>,
    /// Time at which the answer arrived at the host that received it.
    pub answered_at: Duration,
}

/// Limits of upstreams that have named one lately. Times are those of the host's own clock.
#[derive(Debug, Clone, Default)]
pub struct KnownLimits {
    limits: HashMap<LimitKey, Limit>,
}

impl KnownLimits {
    /// Records what an answer that has just arrived says, and returns whether the limit has
    /// changed.
    pub fn record_answer(
        &mut self,
        start: &LimitKey,
        statement: LimitStatement,
        now: Duration,
    ) -> bool {
        let rate = match statement {
            LimitStatement::Named(rate) => Some(rate),
            LimitStatement::NotNamed => None,
            LimitStatement::Unreadable => return false,
        };
        // Most upstreams have never named a limit.
        if rate.is_none() && !self.limits.contains_key(start) {
            return false;
        }
        self.merge(start, Limit { rate, answered_at: now })
    }

    /// Records what another host was told, unless a later answer is known, and returns whether the
    /// limit has changed.
    pub fn merge(&mut self, start: &LimitKey, limit: Limit) -> bool {
        let known = self.limits.get(start).copied();
        // Of two answers at about the same time the one that names the lower limit holds.
        let is_outdated = known.is_some_and(|known| {
            let overtakes = limit.rate.is_some() && is_lower(limit.rate, known.rate);
            let tolerance = if overtakes { OVERTAKING_TIME } else { Duration::ZERO };
            limit.answered_at + tolerance < known.answered_at
        });
        if is_outdated {
            return false;
        }
        let answered_at =
            known.map_or(limit.answered_at, |known| known.answered_at.max(limit.answered_at));
        self.limits.insert(start.clone(), Limit { answered_at, ..limit });
        known.and_then(|known| known.rate) != limit.rate
    }

    /// Returns the newest statement about a start of an upstream.
    pub fn find(&self, start: &LimitKey) -> Option<Limit> {
        self.limits.get(start).copied()
    }

    /// Returns the rate that a start of an upstream names now.
    pub fn rate(&self, start: &LimitKey) -> Option<RequestRate> {
        self.find(start)?.rate
    }

    /// Removes starts that `is_known` doesn't know, and limits that ended long ago.
    pub fn prune(&mut self, is_known: impl Fn(&LimitKey) -> bool, now: Duration) {
        self.limits.retain(|start, limit| {
            let is_ended = limit.rate.is_none() && now >= limit.answered_at + END_MEMORY;
            is_known(start) && !is_ended
        });
    }
}

fn is_lower(rate: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (rate, than) {
        (Some(rate), Some(than)) => rate < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
