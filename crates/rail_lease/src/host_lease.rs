//! A lease by which one host may order engines.
//!
//! The record is named after the host, so a restarted process goes on under the lease of its
//! predecessor: orders of one host never contend with each other. Another host ends a lease by a
//! conditional update that revokes it, and only after the record stayed unchanged for its whole
//! time to live and the pause that orders of two hosts must keep. The holder renews by conditional
//! updates too, so exactly one of the two succeeds. Times are of a clock that counts suspension.

use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Name of the host that holds a lease.
pub type HostName = String;
/// Revision of a record as the store counts it.
pub type Revision = u64;

/// Renewals in one time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Growth of the pause with each further failure, and the failures after which it grows no more.
const PAUSE_GROWTH: f64 = 1.5;
const MAX_GROWTHS: u32 = 3;
/// Part of the time to live that is left unused, for clocks that run at other speeds.
const DRIFT_SHARE: u32 = 50;

/// The record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLeaseRecord {
    /// Grows each time the host starts anew after a revocation.
    pub epoch: u64,
    /// Process that renewed it last.
    pub process: u64,
    /// Renewals so far, so that each renewal changes the record.
    pub renewals: u64,
    /// Whether another host has ended this epoch.
    pub revoked: bool,
}

/// What to write next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseWrite {
    /// Create the record.
    Create(HostLeaseRecord),
    /// Replace the record that has this revision.
    Replace(HostLeaseRecord, Revision),
}

/// The holder's side.
#[derive(Debug, Clone)]
pub struct HostLease {
    ttl: Duration,
    process: u64,
    known: Option<(HostLeaseRecord, Revision)>,
    has_read: bool,
    renewed_at: Option<Duration>,
    next_at: Duration,
    /// Calls in a row that failed.
    failures: u32,
}

impl HostLease {
    /// Starts without a record; [`HostLease::record_read`] must tell what the store holds.
    pub fn new(process: u64, ttl: Duration) -> Self {
        Self {
            ttl,
            process,
            known: None,
            has_read: false,
            renewed_at: None,
            next_at: Duration::ZERO,
            failures: 0,
        }
    }

    /// Takes what the store holds; none if there is no record.
    pub fn record_read(&mut self, found: Option<(HostLeaseRecord, Revision)>) {
        let is_other_epoch = match (&self.known, &found) {
            (Some((known, _)), Some((found, _))) => known.epoch != found.epoch || found.revoked,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_other_epoch {
            self.renewed_at = None;
        }
        self.known = found;
        self.has_read = true;
    }

    /// Reports whether the store must be read now, since a write is due and its record not known.
    pub fn needs_read(&self, now: Duration) -> bool {
        !self.has_read && now >= self.next_at
    }

    /// Gives the write that is due.
    pub fn poll(&mut self, now: Duration) -> Option<LeaseWrite> {
        if !self.has_read || now < self.next_at {
            return None;
        }
        self.next_at = now + self.ttl / RENEWALS_PER_TTL;
        let process = self.process;
        Some(match &self.known {
            None => LeaseWrite::Create(HostLeaseRecord {
                epoch: 1,
                process,
                renewals: 0,
                revoked: false,
            }),
            Some((record, revision)) => {
                let epoch = record.epoch + u64::from(record.revoked);
                let renewals = record.renewals + 1;
                let record = HostLeaseRecord { epoch, process, renewals, revoked: false };
                LeaseWrite::Replace(record, *revision)
            }
        })
    }

    /// Takes that a write that was sent at this time took effect.
    pub fn acknowledge(&mut self, record: HostLeaseRecord, revision: Revision, sent_at: Duration) {
        self.failures = 0;
        self.known = Some((record, revision));
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Takes that a call failed; the store is read again after `pause`, which grows with each
    /// failure in a row since every call counts.
    pub fn record_failure(&mut self, now: Duration, pause: Duration) {
        self.has_read = false;
        let growths = self.failures.min(MAX_GROWTHS) as i32;
        self.next_at = now + pause.mul_f64(PAUSE_GROWTH.powi(growths));
        self.failures += 1;
    }

    /// Reports whether orders may be sent now.
    pub fn is_valid(&self, now: Duration) -> bool {
        let usable = self.ttl.saturating_sub(self.ttl / DRIFT_SHARE);
        self.renewed_at.is_some_and(|sent_at| now < sent_at + usable)
    }

    /// Gives the epoch under which ownership counts.
    pub fn epoch(&self) -> Option<u64> {
        let (record, _) = self.known.as_ref()?;
        (!record.revoked && self.renewed_at.is_some()).then_some(record.epoch)
    }
}

#[derive(Debug, Clone)]
struct Watched {
    record: HostLeaseRecord,
    revision: Revision,
    unchanged_since: Duration,
}

/// The view of other hosts' leases.
#[derive(Debug, Clone)]
pub struct LeaseObserver {
    ttl: Duration,
    order_pause: Duration,
    seen: HashMap<HostName, Watched>,
}

impl LeaseObserver {
    /// Starts without any lease.
    pub fn new(ttl: Duration, order_pause: Duration) -> Self {
        Self { ttl, order_pause, seen: HashMap::new() }
    }

    /// Takes a record as read at this time.
    pub fn observe(
        &mut self,
        host: &str,
        record: HostLeaseRecord,
        revision: Revision,
        now: Duration,
    ) {
        let seen = self.seen.get_mut(host);
        if let Some(watched) = seen.filter(|watched| watched.revision == revision) {
            watched.record = record;
            return;
        }
        let watched = Watched { record, revision, unchanged_since: now };
        self.seen.insert(host.to_owned(), watched);
    }

    /// Gives the record that revokes a lease, with the revision that must stand.
    pub fn revocation(&self, host: &str, now: Duration) -> Option<(HostLeaseRecord, Revision)> {
        let watched = self.seen.get(host)?;
        let wait = self.ttl + self.order_pause + self.ttl / DRIFT_SHARE;
        let is_over = now >= watched.unchanged_since + wait;
        if watched.record.revoked || !is_over {
            return None;
        }
        let record = HostLeaseRecord { revoked: true, ..watched.record.clone() };
        Some((record, watched.revision))
    }

    /// Reports whether an epoch of a host has ended for good.
    pub fn has_ended(&self, host: &str, epoch: u64) -> bool {
        self.seen.get(host).is_some_and(|watched| {
            watched.record.epoch > epoch
                || (watched.record.epoch == epoch && watched.record.revoked)
        })
    }
}
