//! Lease under which one host may send orders to engines.
//!
//! The record is named after the host, so a restarted process continues under the lease of its
//! predecessor: orders of one host never conflict with each other. Another host ends a lease by a
//! conditional update that revokes it, and only after the record stayed unchanged for its whole
//! time to live plus the minimum delay between orders of two hosts and a margin for clock drift.
//! The holder renews by conditional updates too, so exactly one of the two succeeds. All times are
//! of a clock that includes the time for which the machine is suspended.

use rail_revision::{Era, Revision};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Name of a host that has a lease.
pub type HostName = String;

/// Number of renewals within one time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Factor by which the retry delay grows with each consecutive failure.
const RETRY_DELAY_GROWTH: f64 = 1.5;
/// Number of consecutive failures up to which the retry delay grows.
const MAX_DELAY_GROWTHS: u32 = 3;
/// Divisor of the time to live that yields the margin for clocks that run at different speeds: a
/// holder stops earlier by this margin, and an observer waits longer by it.
pub(crate) const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Stored record of the lease of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLeaseRecord {
    /// Incremented when the host renews after a revocation.
    pub epoch: u64,
    /// Identifier of the process that wrote the record last.
    pub process: u64,
    /// Number of renewals, so that each renewal changes the record.
    pub renewals: u64,
    /// Whether another host has revoked this epoch.
    pub revoked: bool,
}

/// Conditional write that the holder should send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseWrite {
    /// Create the record, which must not exist.
    Create(HostLeaseRecord),
    /// Replace the record if it still has this revision.
    Replace(HostLeaseRecord, Revision),
}

/// Lease state machine of the host that holds the lease.
#[derive(Debug, Clone)]
pub struct HostLease {
    ttl: Duration,
    process: u64,
    known: Option<(HostLeaseRecord, Revision)>,
    /// Greatest epoch of the host that this process knows; the store may have lost it.
    max_epoch: u64,
    is_record_read: bool,
    renewed_at: Option<Duration>,
    next_call_at: Duration,
    /// Consecutive failed calls.
    failures: u32,
}

impl HostLease {
    /// Creates the state of a process that has not read its record; see [`HostLease::record_read`].
    pub fn new(process: u64, ttl: Duration) -> Self {
        Self {
            ttl,
            process,
            known: None,
            max_epoch: 0,
            is_record_read: false,
            renewed_at: None,
            next_call_at: Duration::ZERO,
            failures: 0,
        }
    }

    /// Records an epoch of the host that an ownership record names. The record of the lease may be
    /// older after the store returned from a copy, and a new epoch must not repeat a lost one.
    pub fn record_epoch(&mut self, epoch: u64) {
        self.max_epoch = self.max_epoch.max(epoch);
    }

    /// Records the stored record and its revision; none if there is no record.
    ///
    /// The lease stops being valid if its epoch was revoked or replaced.
    pub fn record_read(&mut self, found: Option<(HostLeaseRecord, Revision)>) {
        let is_other_epoch = match (&self.known, &found) {
            (Some((known, _)), Some((found, _))) => known.epoch != found.epoch || found.revoked,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_other_epoch {
            self.renewed_at = None;
        }
        if let Some((record, _)) = self.known.iter().chain(&found).max_by_key(|(r, _)| r.epoch) {
            self.max_epoch = self.max_epoch.max(record.epoch);
        }
        self.known = found;
        self.is_record_read = true;
    }

    /// Reports whether the record must be read now, since a write is due and the record is unknown.
    pub fn needs_read(&self, now: Duration) -> bool {
        !self.is_record_read && now >= self.next_call_at
    }

    /// Returns the next write to send, if one is due.
    pub fn poll(&mut self, now: Duration) -> Option<LeaseWrite> {
        if !self.is_record_read || now < self.next_call_at {
            return None;
        }
        self.next_call_at = now + self.ttl / RENEWALS_PER_TTL;
        let process = self.process;
        Some(match &self.known {
            None => LeaseWrite::Create(HostLeaseRecord {
                epoch: self.max_epoch + 1,
                process,
                renewals: 0,
                revoked: false,
            }),
            Some((record, revision)) => {
                let is_usable = !record.revoked && record.epoch >= self.max_epoch;
                let epoch = if is_usable { record.epoch } else { self.max_epoch + 1 };
                let renewals = record.renewals + 1;
                let record = HostLeaseRecord { epoch, process, renewals, revoked: false };
                LeaseWrite::Replace(record, *revision)
            }
        })
    }

    /// Records that the write that was sent at `sent_at` took effect.
    pub fn acknowledge(&mut self, record: HostLeaseRecord, revision: Revision, sent_at: Duration) {
        self.failures = 0;
        self.max_epoch = self.max_epoch.max(record.epoch);
        self.known = Some((record, revision));
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Records that a call failed; the record is read again after `delay`.
    ///
    /// The delay grows with each consecutive failure, since every call to the store costs money.
    pub fn record_failure(&mut self, now: Duration, delay: Duration) {
        self.is_record_read = false;
        let growths = self.failures.min(MAX_DELAY_GROWTHS) as i32;
        self.next_call_at = now + delay.mul_f64(RETRY_DELAY_GROWTH.powi(growths));
        self.failures += 1;
    }

    /// Reports whether orders may be sent now under this lease.
    pub fn is_valid(&self, now: Duration) -> bool {
        let usable = self.ttl.saturating_sub(self.ttl / CLOCK_DRIFT_DIVISOR);
        self.renewed_at.is_some_and(|sent_at| now < sent_at + usable)
    }

    /// Returns the epoch of the lease, unless it is revoked or was not renewed by this process.
    pub fn epoch(&self) -> Option<u64> {
        let (record, _) = self.known.as_ref()?;
        (!record.revoked && self.renewed_at.is_some()).then_some(record.epoch)
    }
}

#[derive(Debug, Clone)]
struct ObservedLease {
    record: HostLeaseRecord,
    revision: Revision,
    unchanged_since: Duration,
}

/// Observes the leases of other hosts and finds those that may be revoked.
#[derive(Debug, Clone)]
pub struct LeaseObserver {
    ttl: Duration,
    order_delay: Duration,
    leases: HashMap<HostName, ObservedLease>,
}

impl LeaseObserver {
    /// Creates an observer without any lease.
    ///
    /// `order_delay` is the minimum time between orders of two hosts to one engine.
    pub fn new(ttl: Duration, order_delay: Duration) -> Self {
        Self { ttl, order_delay, leases: HashMap::new() }
    }

    /// Records a lease that was read at `now`; the wait for its expiry starts when a revision is
    /// read for the first time.
    pub fn observe(
        &mut self,
        host: &str,
        record: HostLeaseRecord,
        revision: Revision,
        now: Duration,
    ) {
        let lease = self.leases.get_mut(host);
        if let Some(observed) = lease.filter(|observed| observed.revision == revision) {
            observed.record = record;
            return;
        }
        let observed = ObservedLease { record, revision, unchanged_since: now };
        self.leases.insert(host.to_owned(), observed);
    }

    /// Returns the record that revokes an expired lease, and the revision that the stored record
    /// must still have.
    pub fn revocation(&self, host: &str, now: Duration) -> Option<(HostLeaseRecord, Revision)> {
        let observed = self.leases.get(host)?;
        let wait = self.ttl + self.order_delay + self.ttl / CLOCK_DRIFT_DIVISOR;
        let is_expired = now >= observed.unchanged_since + wait;
        if observed.record.revoked || !is_expired {
            return None;
        }
        let record = HostLeaseRecord { revoked: true, ..observed.record.clone() };
        Some((record, observed.revision))
    }

    /// Reports whether an epoch of a host was revoked or replaced, so that what the host claimed in
    /// an era of the store under that epoch is free. An end that was observed in an earlier era says
    /// nothing: the store may have lost it, and the host goes on in the same epoch.
    pub fn has_ended(&self, host: &str, epoch: u64, claimed_in: Era) -> bool {
        let observed = self.leases.get(host);
        observed.filter(|observed| observed.revision.era >= claimed_in).is_some_and(|observed| {
            observed.record.epoch > epoch
                || (observed.record.epoch == epoch && observed.record.revoked)
        })
    }
}
