//! When the record of an ended session may be deleted.

use crate::record::{SessionId, SessionRecord};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Finds revoked sessions whose records nothing names any more.
///
/// A taker treats a deleted session like a revoked one, so a deletion permits no transfer that the
/// revocation did not permit before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionCollector {
    retention: Duration,
    revoked: BTreeMap<SessionId, Revoked>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Revoked {
    version: String,
    seen_at: Duration,
}

impl SessionCollector {
    /// Starts without any session.
    pub fn new(retention: Duration) -> Self {
        Self { retention, revoked: BTreeMap::new() }
    }

    /// Takes in all stored sessions with their versions.
    pub fn observe(&mut self, sessions: &[(SessionRecord, String)], now: Duration) {
        let before = std::mem::take(&mut self.revoked);
        for (record, version) in sessions.iter().filter(|(record, _)| record.revoked) {
            let known = before.get(&record.session_id).filter(|known| known.version == *version);
            let seen_at = known.map_or(now, |known| known.seen_at);
            let revoked = Revoked { version: version.clone(), seen_at };
            self.revoked.insert(record.session_id, revoked);
        }
    }

    /// Gives one record to delete, with the version that must stand.
    ///
    /// `live` lists the sessions that are not revoked; only the smallest of them collects. `named`
    /// lists the sessions that ownership records name; those stay.
    pub fn next_deletion(
        &self,
        me: SessionId,
        live: &BTreeSet<SessionId>,
        named: &BTreeSet<SessionId>,
        now: Duration,
    ) -> Option<(SessionId, &str)> {
        if live.first() != Some(&me) {
            return None;
        }
        let is_due = |(id, revoked): &(&SessionId, &Revoked)| {
            !named.contains(id) && now >= revoked.seen_at + self.retention
        };
        let (id, revoked) = self.revoked.iter().find(is_due)?;
        Some((*id, &revoked.version))
    }
}
