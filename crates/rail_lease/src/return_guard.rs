//! Which resources a host may claim after the store returned from an older copy of itself.
//!
//! The copy may lack transfers of ownership, so a host that the copy names as owner may have lost
//! the resource to another one, which still acts under the lost records. After such a return a host
//! goes on only with what it owned under a valid lease until then: nobody can have taken that over.
//! It claims anything else once every host has read the new ownership records, or after the time in
//! which every lease of before ends.
//!
//! The copy may lack hosts, too, so a process that starts after the return can't know which hosts
//! there are. Only one that knew the hosts before the return can tell that all have read the
//! records. It confirms that to the others.
//!
//! An ownership record names the era in which it was claimed. A process that restarts goes on with
//! a record of the current era, and claims one of an earlier era again. All times are of a clock
//! that includes the time for which the machine is suspended.

use crate::host_lease::CLOCK_DRIFT_DIVISOR;
use rail_revision::Era;
use std::{collections::BTreeSet, time::Duration};

/// Era of a store that has never returned from an older copy.
const FIRST_ERA: Era = 0;

/// Identity of a resource that one host owns.
pub type OwnedResource = String;

/// A return of the store that this process noticed.
#[derive(Debug, Clone)]
struct Return {
    noticed_at: Duration,
    /// Whether this process knew the hosts of the store before it returned.
    knows_hosts: bool,
    /// Time by which every host had read the new ownership records, if that is known.
    all_noticed_at: Option<Duration>,
    /// Resources that this host owned under a valid lease at that time.
    kept: BTreeSet<OwnedResource>,
}

/// Decides on claims and orders after the store's return.
#[derive(Debug, Clone)]
pub struct ReturnGuard {
    era: Option<Era>,
    order_delay: Duration,
    lease_end: Duration,
    has_listed_hosts: bool,
    last_return: Option<Return>,
}

impl ReturnGuard {
    /// Creates the state of a process that has not read the store.
    ///
    /// `ttl` is the time to live of leases and `order_delay` the minimum time between orders of two
    /// hosts to one resource.
    pub fn new(ttl: Duration, order_delay: Duration) -> Self {
        let order_delay = order_delay + order_delay / CLOCK_DRIFT_DIVISOR;
        let lease_end = ttl + ttl / CLOCK_DRIFT_DIVISOR + order_delay;
        Self { era: None, order_delay, lease_end, has_listed_hosts: false, last_return: None }
    }

    /// Returns the newest era that was seen.
    pub fn era(&self) -> Era {
        self.era.unwrap_or(0)
    }

    /// Returns whether an era is no news.
    pub fn knows(&self, era: Era) -> bool {
        self.era >= Some(era)
    }

    /// Records the era of a response or record, and returns whether the store has returned from an
    /// older copy. `owned` are the resources that this host owns under a valid lease.
    pub fn record_era(
        &mut self,
        era: Era,
        owned: impl IntoIterator<Item = OwnedResource>,
        now: Duration,
    ) -> bool {
        let is_return = self.era.is_some_and(|known| era > known);
        // A store that has returned before may have done so just before the start of this process,
        // which owns nothing yet.
        let is_earlier_return = self.era.is_none() && era > FIRST_ERA;
        if is_return || is_earlier_return {
            let kept = owned.into_iter().filter(|_| is_return).collect();
            let knows_hosts = is_return && self.knows_hosts(now);
            self.last_return =
                Some(Return { noticed_at: now, knows_hosts, all_noticed_at: None, kept });
        }
        self.era = self.era.max(Some(era));
        is_return
    }

    /// Records that an ownership record names an earlier era. If this process has noticed no
    /// return, it happened before its start, at an unknown time.
    pub fn record_earlier_claim(&mut self, now: Duration) {
        self.last_return.get_or_insert_with(|| Return {
            noticed_at: now,
            knows_hosts: false,
            all_noticed_at: None,
            kept: BTreeSet::new(),
        });
    }

    /// Records that this process has read from the store which hosts there are.
    pub fn record_hosts_listed(&mut self) {
        self.has_listed_hosts = true;
    }

    /// Returns whether the hosts that this process knows can be all that there are: none may be
    /// missing from the store because of a return.
    pub fn knows_hosts(&self, now: Duration) -> bool {
        let knows_after = |last_return: &Return| {
            let is_confirmed = last_return.all_noticed_at.is_some();
            last_return.knows_hosts
                || is_confirmed
                || now >= last_return.noticed_at + self.lease_end
        };
        self.has_listed_hosts && self.last_return.as_ref().is_none_or(knows_after)
    }

    /// Records that every known host has read the ownership records of the newest era. If they are
    /// all hosts, none acts under the records of before. A process that started after the return
    /// can't know that, so nothing follows.
    pub fn record_known_hosts_noticed(&mut self, now: Duration) {
        if let Some(last_return) = self.last_return.as_mut().filter(|last| last.knows_hosts) {
            last_return.all_noticed_at.get_or_insert(now);
        }
    }

    /// Returns the newest era if this process knows that every host has read its ownership records,
    /// which other hosts may not know.
    pub fn confirmed_era(&self) -> Option<Era> {
        let last_return = self.last_return.as_ref()?;
        last_return.all_noticed_at.and(self.era)
    }

    /// Returns whether only another host can tell that every host has read the ownership records.
    pub fn awaits_confirmation(&self, now: Duration) -> bool {
        self.last_return.as_ref().is_some_and(|last_return| {
            let has_ended = now >= last_return.noticed_at + self.lease_end;
            !last_return.knows_hosts && last_return.all_noticed_at.is_none() && !has_ended
        })
    }

    /// Records that another host has confirmed that every host has read the ownership records of an
    /// era.
    pub fn record_confirmation(&mut self, era: Era, now: Duration) {
        let is_newest = era >= self.era();
        if let Some(last_return) = self.last_return.as_mut().filter(|_| is_newest) {
            last_return.all_noticed_at.get_or_insert(now);
        }
    }

    /// Returns the newest era and when this process noticed it, while leases of before may not have
    /// ended. A process that restarts on the same machine can go on from there.
    pub fn noticed(&self, now: Duration) -> Option<(Era, Duration)> {
        let last_return = self.last_return.as_ref()?;
        let has_ended = now >= last_return.noticed_at + self.lease_end;
        self.era.filter(|_| !has_ended).map(|era| (era, last_return.noticed_at))
    }

    /// Records that an earlier process on this machine noticed an era at this time of the same
    /// clock. A machine that was started anew since has a clock that began later, so it waits for
    /// longer than necessary.
    pub fn record_noticed(&mut self, era: Era, noticed_at: Duration) {
        let is_current = self.era == Some(era);
        if let Some(last_return) = self.last_return.as_mut().filter(|_| is_current) {
            last_return.noticed_at = last_return.noticed_at.min(noticed_at);
        }
    }

    /// Returns whether this host may write itself as the owner of a resource.
    pub fn may_claim(&self, resource: &str, now: Duration) -> bool {
        self.last_return.as_ref().is_none_or(|last_return| {
            let all_stopped_at = last_return.all_noticed_at.map(|at| at + self.order_delay);
            let all_ended_at = last_return.noticed_at + self.lease_end;
            last_return.kept.contains(resource) || now >= all_stopped_at.unwrap_or(all_ended_at)
        })
    }

    /// Returns whether this host may order a resource whose ownership record names it, under a
    /// valid lease.
    pub fn may_order(&self, resource: &str, claimed_in: Era) -> bool {
        let keeps = |last_return: &Return| last_return.kept.contains(resource);
        claimed_in >= self.era() || self.last_return.as_ref().is_some_and(keeps)
    }
}
