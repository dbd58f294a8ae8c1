//! The view of other processes' sessions.

use crate::record::{SessionId, SessionRecord};
use std::{collections::BTreeMap, time::Duration};

/// Watches session records and finds those that stopped changing.
#[derive(Debug, Clone, Default)]
pub struct SessionObserver {
    seen: BTreeMap<SessionId, Seen>,
}

#[derive(Debug, Clone)]
struct Seen {
    record: SessionRecord,
    version: String,
    since: Duration,
}

impl SessionObserver {
    /// Records the version that the platform holds.
    pub fn observe(&mut self, record: SessionRecord, version: String, now: Duration) {
        match self.seen.get_mut(&record.session_id) {
            Some(seen) if seen.version == version => {}
            Some(seen) => *seen = Seen { record, version, since: now },
            None => {
                self.seen.insert(record.session_id, Seen { record, version, since: now });
            }
        }
    }

    /// Forgets sessions that the platform no longer holds.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.seen.retain(|id, _| keep(*id));
    }

    /// Starts every wait again, after the platform was away.
    pub fn restart_waits(&mut self, now: Duration) {
        for seen in self.seen.values_mut() {
            seen.since = now;
        }
    }

    /// Lists sessions unchanged for their whole time to live, with their version.
    pub fn expired(&self, now: Duration) -> Vec<(SessionRecord, String)> {
        let is_expired = |seen: &&Seen| {
            !seen.record.revoked && now >= seen.since + Duration::from_millis(seen.record.ttl_ms)
        };
        let expired = self.seen.values().filter(is_expired);
        expired.map(|seen| (seen.record.clone(), seen.version.clone())).collect()
    }

    /// Lists sessions that are not revoked.
    pub fn live(&self) -> impl Iterator<Item = &SessionRecord> {
        self.seen.values().map(|seen| &seen.record).filter(|record| !record.revoked)
    }
}
