//! Deletion of the records of revoked sessions.

use crate::record::{SessionId, SessionRecord};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Finds revoked sessions that no ownership record names any more.
///
/// A process that takes over a resource treats a deleted session like a revoked one, so a deletion
/// permits no transfer that the revocation did not permit before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionCollector {
    retention: Duration,
    revoked: BTreeMap<SessionId, RevokedRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct RevokedRecord {
    version: String,
    first_seen_at: Duration,
}

impl SessionCollector {
    /// Creates a collector without any session.
    ///
    /// A revoked record is deleted at the earliest when it was seen unchanged for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, revoked: BTreeMap::new() }
    }

    /// Records all stored sessions with their versions; replaces those recorded before.
    pub fn observe(&mut self, sessions: &[(SessionRecord, String)], now: Duration) {
        let previous = std::mem::take(&mut self.revoked);
        for (record, version) in sessions.iter().filter(|(record, _)| record.revoked) {
            let known = previous.get(&record.session_id).filter(|known| known.version == *version);
            let first_seen_at = known.map_or(now, |known| known.first_seen_at);
            let revoked = RevokedRecord { version: version.clone(), first_seen_at };
            self.revoked.insert(record.session_id, revoked);
        }
    }

    /// Returns one session to delete and the version that the record must still have.
    ///
    /// `live` lists the sessions that are not revoked; only the one with the smallest id deletes
    /// records. `named` lists the sessions that ownership records name; these are not deleted.
    pub fn next_deletion(
        &self,
        own_id: SessionId,
        live: &BTreeSet<SessionId>,
        named: &BTreeSet<SessionId>,
        now: Duration,
    ) -> Option<(SessionId, &str)> {
        if live.first() != Some(&own_id) {
            return None;
        }
        let is_due = |(id, revoked): &(&SessionId, &RevokedRecord)| {
            !named.contains(id) && now >= revoked.first_seen_at + self.retention
        };
        let (id, revoked) = self.revoked.iter().find(is_due)?;
        Some((*id, &revoked.version))
    }
}
