//! Observation of the sessions of other processes, and the conditions for revoking one.

use crate::{
    record::{SessionId, SessionRecord, Witness},
    timing::LeaseTimes,
    witness::majority,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Promise of a witness that a revocation still needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseRequest {
    /// Session that stopped renewing.
    pub session_id: SessionId,
    /// Renewal that the witness should no longer confirm.
    pub renewals: u64,
    /// Time to live of the session.
    pub ttl: Duration,
    /// Witness to which the request is sent.
    pub witness: Witness,
}

/// Observes session records and finds the sessions that may be revoked.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionObserver {
    times: LeaseTimes,
    observed: BTreeMap<SessionId, ObservedSession>,
    replaced_at: BTreeMap<SessionId, Duration>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ObservedSession {
    record: SessionRecord,
    version: String,
    /// Time at which this version was observed for the first time.
    first_seen_at: Duration,
    /// Start of the wait for one time to live; later than `first_seen_at` if this process could not
    /// reach the platform in between.
    wait_since: Duration,
    /// Witnesses that promised not to confirm this renewal any more.
    promised_by: BTreeSet<SessionId>,
}

impl ObservedSession {
    fn new(record: SessionRecord, version: String, now: Duration) -> Self {
        let promised_by = BTreeSet::new();
        Self { record, version, first_seen_at: now, wait_since: now, promised_by }
    }

    fn has_wait_elapsed(&self, now: Duration) -> bool {
        !self.record.revoked && now >= self.wait_since + self.record.ttl()
    }
}

impl SessionObserver {
    /// Creates an observer without any session.
    pub fn new(times: LeaseTimes) -> Self {
        Self { times, observed: BTreeMap::new(), replaced_at: BTreeMap::new() }
    }

    /// Records a stored session with its version; a new version starts its waits again.
    pub fn observe(&mut self, record: SessionRecord, version: String, now: Duration) {
        match self.observed.get_mut(&record.session_id) {
            Some(observed) if observed.version == version => {}
            Some(observed) => *observed = ObservedSession::new(record, version, now),
            None => {
                self.observed.insert(record.session_id, ObservedSession::new(record, version, now));
            }
        }
    }

    /// Reports whether this is the last recorded version of a session.
    pub fn has_version(&self, session_id: SessionId, version: &str) -> bool {
        self.observed.get(&session_id).is_some_and(|observed| observed.version == version)
    }

    /// Keeps only the sessions for which `keep` returns true; the others are no longer stored.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.observed.retain(|id, _| keep(*id));
        let named_processes: BTreeSet<SessionId> = self.named_processes().collect();
        self.replaced_at.retain(|id, _| named_processes.contains(id));
    }

    /// Starts the wait for one time to live of every session again, after this process could not
    /// reach the platform. The maximum outage still counts from the first observation.
    pub fn restart_waits(&mut self, now: Duration) {
        for observed in self.observed.values_mut() {
            observed.wait_since = now;
        }
    }

    /// Lists the promises to request, for the sessions unchanged for their whole time to live.
    pub fn missing_promises(&self, now: Duration) -> Vec<PromiseRequest> {
        let mut requests = Vec::new();
        for observed in self.observed.values().filter(|observed| observed.has_wait_elapsed(now)) {
            let record = &observed.record;
            let is_missing = |witness: &&Witness| {
                !observed.promised_by.contains(&witness.session_id)
                    && !self.replaced_at.contains_key(&witness.session_id)
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

    /// Lists the holders that have not renewed for half their time to live, to check whether their
    /// processes still run.
    pub fn overdue_holders(&self, now: Duration) -> Vec<Witness> {
        let overdue = self.observed.values().filter(|observed| {
            !observed.record.revoked && now >= observed.first_seen_at + observed.record.ttl() / 2
        });
        let holder = |observed: &ObservedSession| Witness {
            session_id: observed.record.session_id,
            address: observed.record.address,
        };
        overdue.map(holder).collect()
    }

    /// Records the promise of a witness; one for another renewal is ignored.
    pub fn record_promise(&mut self, session_id: SessionId, renewals: u64, witness: SessionId) {
        let observed = self.observed.get_mut(&session_id);
        if let Some(observed) = observed.filter(|observed| observed.record.renewals == renewals) {
            observed.promised_by.insert(witness);
        }
    }

    /// Records proof that a process has ended: another process answers at its address.
    pub fn record_replaced(&mut self, session_id: SessionId, now: Duration) {
        self.replaced_at.entry(session_id).or_insert(now);
    }

    /// Lists the sessions that may be revoked, with their versions.
    ///
    /// A session may be revoked when its process is proved to have ended, or when it was unchanged
    /// for its whole time to live and either a majority of its witnesses promised or the maximum
    /// outage has passed. A witness whose process was replaced counts as a promise one time to live
    /// after that was detected, since its last confirmation counts for that long.
    pub fn revocable(&self, now: Duration) -> Vec<(SessionRecord, String)> {
        let revocable = self.observed.values().filter(|observed| self.is_revocable(observed, now));
        revocable.map(|observed| (observed.record.clone(), observed.version.clone())).collect()
    }

    /// Iterates over the records of the sessions that are not revoked.
    pub fn live(&self) -> impl Iterator<Item = &SessionRecord> {
        self.observed.values().map(|observed| &observed.record).filter(|record| !record.revoked)
    }

    /// Reports whether the recorded version of a session is revoked.
    pub fn is_revoked(&self, session_id: SessionId) -> bool {
        self.observed.get(&session_id).is_some_and(|observed| observed.record.revoked)
    }

    fn is_revocable(&self, observed: &ObservedSession, now: Duration) -> bool {
        let record = &observed.record;
        if !record.revoked && self.replaced_at.contains_key(&record.session_id) {
            return true;
        }
        let max_age = record.ttl() + self.times.max_outage;
        observed.has_wait_elapsed(now)
            && (self.has_majority(observed, now) || now >= observed.first_seen_at + max_age)
    }

    fn has_majority(&self, observed: &ObservedSession, now: Duration) -> bool {
        let witnesses = &observed.record.witnesses;
        let has_promised = |witness: &&Witness| {
            let replaced_at = self.replaced_at.get(&witness.session_id);
            observed.promised_by.contains(&witness.session_id)
                || replaced_at
                    .is_some_and(|detected_at| now >= *detected_at + observed.record.ttl())
        };
        witnesses.iter().filter(has_promised).count() >= majority(witnesses.len())
    }

    fn named_processes(&self) -> impl Iterator<Item = SessionId> {
        self.observed.values().flat_map(|observed| {
            let witnesses = observed.record.witnesses.iter().map(|witness| witness.session_id);
            std::iter::once(observed.record.session_id).chain(witnesses)
        })
    }
}
