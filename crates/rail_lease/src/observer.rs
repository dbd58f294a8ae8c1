//! The view of other processes' sessions, and when one may be revoked.

use crate::{
    record::{SessionId, SessionRecord, Witness},
    timing::LeaseTimes,
    witness::majority,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A pledge that a revocation still lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseRequest {
    /// Session that stopped renewing.
    pub session_id: SessionId,
    /// Renewal against which to pledge.
    pub renewals: u64,
    /// Time to live of the session.
    pub ttl: Duration,
    /// Whom to ask.
    pub witness: Witness,
}

/// Watches session records and finds those that may be revoked.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionObserver {
    times: LeaseTimes,
    seen: BTreeMap<SessionId, Seen>,
    gone: BTreeMap<SessionId, Duration>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    record: SessionRecord,
    version: String,
    first_seen_at: Duration,
    wait_since: Duration,
    pledged: BTreeSet<SessionId>,
}

impl Seen {
    fn new(record: SessionRecord, version: String, now: Duration) -> Self {
        let pledged = BTreeSet::new();
        Self { record, version, first_seen_at: now, wait_since: now, pledged }
    }

    fn is_waited_out(&self, now: Duration) -> bool {
        !self.record.revoked && now >= self.wait_since + self.record.ttl()
    }
}

impl SessionObserver {
    /// Starts without any session.
    pub fn new(times: LeaseTimes) -> Self {
        Self { times, seen: BTreeMap::new(), gone: BTreeMap::new() }
    }

    /// Records the version that the platform holds.
    pub fn observe(&mut self, record: SessionRecord, version: String, now: Duration) {
        match self.seen.get_mut(&record.session_id) {
            Some(seen) if seen.version == version => {}
            Some(seen) => *seen = Seen::new(record, version, now),
            None => {
                self.seen.insert(record.session_id, Seen::new(record, version, now));
            }
        }
    }

    /// Reports whether this version was recorded last.
    pub fn has_version(&self, session_id: SessionId, version: &str) -> bool {
        self.seen.get(&session_id).is_some_and(|seen| seen.version == version)
    }

    /// Forgets sessions that the platform no longer holds.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.seen.retain(|id, _| keep(*id));
        let named: BTreeSet<SessionId> = self.named().collect();
        self.gone.retain(|id, _| named.contains(id));
    }

    /// Starts every wait again, after the platform was away.
    pub fn restart_waits(&mut self, now: Duration) {
        for seen in self.seen.values_mut() {
            seen.wait_since = now;
        }
    }

    /// Lists the pledges to ask for, by sessions unchanged for their whole time to live.
    pub fn missing_promises(&self, now: Duration) -> Vec<PromiseRequest> {
        let mut requests = Vec::new();
        for seen in self.seen.values().filter(|seen| seen.is_waited_out(now)) {
            let record = &seen.record;
            let is_missing = |w: &&Witness| {
                !seen.pledged.contains(&w.session_id) && !self.gone.contains_key(&w.session_id)
            };
            requests.extend(record.witnesses.iter().filter(is_missing).map(|witness| {
                PromiseRequest {
                    session_id: record.session_id,
                    renewals: record.renewals,
                    ttl: record.ttl(),
                    witness: witness.clone(),
                }
            }));
        }
        requests
    }

    /// Lists holders to be asked whether they still run, since they stopped renewing.
    pub fn overdue_holders(&self, now: Duration) -> Vec<Witness> {
        let silent = self.seen.values().filter(|seen| {
            !seen.record.revoked && now >= seen.first_seen_at + seen.record.ttl() / 2
        });
        let process = |seen: &Seen| Witness {
            session_id: seen.record.session_id,
            address: seen.record.address,
        };
        silent.map(process).collect()
    }

    /// Records the pledge of a witness.
    pub fn record_promise(&mut self, session_id: SessionId, renewals: u64, witness: SessionId) {
        let seen = self.seen.get_mut(&session_id);
        if let Some(seen) = seen.filter(|seen| seen.record.renewals == renewals) {
            seen.pledged.insert(witness);
        }
    }

    /// Records proof that a process has ended: another one answers at its address.
    pub fn record_replaced(&mut self, session_id: SessionId, now: Duration) {
        self.gone.entry(session_id).or_insert(now);
    }

    /// Lists sessions that may be revoked, with their version.
    ///
    /// A session may be revoked when its process is proved to have ended; or when it was unchanged
    /// for its whole time to live and a majority of its witnesses pledged, or the longest outage
    /// has passed. A witness that is gone counts as a pledge one time to live after that was
    /// learned, since its last confirmation counts for that long.
    pub fn revocable(&self, now: Duration) -> Vec<(SessionRecord, String)> {
        let expired = self.seen.values().filter(|seen| self.is_expired(seen, now));
        expired.map(|seen| (seen.record.clone(), seen.version.clone())).collect()
    }

    /// Lists sessions that are not revoked.
    pub fn live(&self) -> impl Iterator<Item = &SessionRecord> {
        self.seen.values().map(|seen| &seen.record).filter(|record| !record.revoked)
    }

    /// Reports whether a session is known to be revoked.
    pub fn is_revoked(&self, session_id: SessionId) -> bool {
        self.seen.get(&session_id).is_some_and(|seen| seen.record.revoked)
    }

    fn is_expired(&self, seen: &Seen, now: Duration) -> bool {
        let record = &seen.record;
        if !record.revoked && self.gone.contains_key(&record.session_id) {
            return true;
        }
        let longest = record.ttl() + self.times.max_outage;
        seen.is_waited_out(now)
            && (self.has_majority(seen, now) || now >= seen.first_seen_at + longest)
    }

    fn has_majority(&self, seen: &Seen, now: Duration) -> bool {
        let witnesses = &seen.record.witnesses;
        let is_pledged = |w: &&Witness| {
            let gone = self.gone.get(&w.session_id);
            seen.pledged.contains(&w.session_id)
                || gone.is_some_and(|learned| now >= *learned + seen.record.ttl())
        };
        witnesses.iter().filter(is_pledged).count() >= majority(witnesses.len())
    }

    fn named(&self) -> impl Iterator<Item = SessionId> {
        self.seen.values().flat_map(|seen| {
            let witnesses = seen.record.witnesses.iter().map(|w| w.session_id);
            std::iter::once(seen.record.session_id).chain(witnesses)
        })
    }
}
