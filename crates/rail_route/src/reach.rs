//! Whether this host reaches upstreams at all.

use crate::upstream::UpstreamId;
use std::{collections::HashMap, time::Duration};

/// Upstreams that were not reached, one after the other and none in between, from which this host
/// presumes that its own links are cut.
const MIN_UNREACHED: usize = 2;
/// Time without an answer from which it presumes so. Where two upstreams of many have ended, others
/// answer within that time.
const MIN_SILENCE: Duration = Duration::from_millis(200);
/// Time for which an attempt that did not reach its upstream counts.
const MEMORY: Duration = Duration::from_secs(5);

/// Which upstreams this host did not reach since it last reached one.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReach {
    unreached: HashMap<UpstreamId, Duration>,
    last_reached_at: Option<Duration>,
}

impl UpstreamReach {
    /// Records that an upstream answered, or accepted a connection.
    pub fn record_reached(&mut self, now: Duration) {
        self.unreached.clear();
        self.last_reached_at = Some(now);
    }

    /// Records that an upstream was not reached.
    pub fn record_unreached(&mut self, upstream: &str, now: Duration) {
        self.unreached.insert(upstream.to_owned(), now);
    }

    /// Returns whether this host presumes that it reaches no upstream.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        if self.last_reached_at.is_some_and(|at| now.saturating_sub(at) < MIN_SILENCE) {
            return false;
        }
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < MEMORY;
        self.unreached.values().filter(is_recent).count() >= MIN_UNREACHED
    }
}
