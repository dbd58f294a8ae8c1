//! Whether the configuration in force is current enough for new work.
//!
//! A generation is confirmed by the platform, or by a peer that had it
//! confirmed. Confirmations through peers count from the moment at which the
//! peer was asked, so that delays on the way only make them older. While the
//! platform is away for everybody nothing can be accepted, so a host goes on
//! if a majority of the fleet's hosts reports the same outage. A host whose
//! configuration came only from peers does not count itself: it may have lost
//! a newer one when it restarted.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

/// Time after which a confirmation no longer counts.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);
/// Silence of the platform after which a host reports an outage.
pub const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// What a peer told of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Address of the peer's host.
    pub host: IpAddr,
    /// Generation in force at the peer.
    pub generation: u64,
    /// Time since the peer knew that generation to be the newest.
    pub confirmed_age: Option<Duration>,
    /// Whether the peer knew the platform and can't reach it any more.
    pub sees_outage: bool,
}

/// Whether new work may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessState {
    /// The generation was confirmed as the newest in time.
    Confirmed,
    /// The platform is away for a majority of the hosts.
    SharedOutage,
    /// Another generation may be in force elsewhere.
    Stale,
}

impl FreshnessState {
    /// Reports whether new work may be taken.
    pub fn allows_work(self) -> bool {
        self != Self::Stale
    }
}

/// Follows confirmations of the configuration of one process.
#[derive(Debug, Clone)]
pub struct Freshness {
    own_host: IpAddr,
    hosts: BTreeSet<IpAddr>,
    in_force: u64,
    heard: u64,
    confirmed_at: Option<Duration>,
    platform_seen_at: Option<Duration>,
    outages: BTreeMap<IpAddr, Duration>,
}

impl Freshness {
    /// Starts without any configuration.
    pub fn new(own_host: IpAddr) -> Self {
        Self {
            own_host,
            hosts: BTreeSet::from([own_host]),
            in_force: 0,
            heard: 0,
            confirmed_at: None,
            platform_seen_at: None,
            outages: BTreeMap::new(),
        }
    }

    /// Sets the hosts of the fleet as last known; the own one is always counted.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = IpAddr>) {
        self.hosts = hosts.into_iter().chain([self.own_host]).collect();
    }

    /// Takes the generation in force; a smaller one is ignored.
    pub fn apply(&mut self, generation: u64) {
        self.in_force = self.in_force.max(generation);
        self.heard = self.heard.max(generation);
    }

    /// Takes that the platform showed this generation as the newest at this time.
    pub fn confirm_by_platform(&mut self, newest: u64, at: Duration) {
        self.platform_seen_at = self.platform_seen_at.max(Some(at));
        self.heard = self.heard.max(newest);
        if newest <= self.in_force {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Takes the reply of a peer that was asked at this time.
    pub fn record_report(&mut self, report: &PeerReport, asked_at: Duration) {
        self.heard = self.heard.max(report.generation);
        if report.generation == self.in_force
            && let Some(at) = report.confirmed_age.and_then(|age| asked_at.checked_sub(age))
        {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        if report.sees_outage {
            self.outages.insert(report.host, asked_at);
        } else {
            self.outages.remove(&report.host);
        }
    }

    /// Gives the greatest generation heard of, when it is greater than the one in force.
    pub fn missing_generation(&self) -> Option<u64> {
        (self.heard > self.in_force).then_some(self.heard)
    }

    /// Tells how long ago the generation in force was known to be the newest.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Reports whether this process knew the platform and can't reach it any more.
    pub fn sees_outage(&self, now: Duration) -> bool {
        self.platform_seen_at.is_some_and(|at| now.saturating_sub(at) > OUTAGE_AFTER)
    }

    /// Decides whether new work may be taken.
    pub fn state(&self, now: Duration) -> FreshnessState {
        if self.confirmed_age(now).is_some_and(|age| age <= MAX_CONFIRMATION_AGE) {
            return FreshnessState::Confirmed;
        }
        let is_complete = self.in_force > 0 && self.missing_generation().is_none();
        let reaches_platform = self.platform_seen_at.is_some() && !self.sees_outage(now);
        if is_complete && !reaches_platform && self.is_outage_shared(now) {
            FreshnessState::SharedOutage
        } else {
            FreshnessState::Stale
        }
    }

    fn is_outage_shared(&self, now: Duration) -> bool {
        let recent = self.outages.iter().filter(|(host, asked_at)| {
            self.hosts.contains(host) && now.saturating_sub(**asked_at) <= MAX_CONFIRMATION_AGE
        });
        let mut witnesses: BTreeSet<IpAddr> = recent.map(|(host, _)| *host).collect();
        if self.sees_outage(now) {
            witnesses.insert(self.own_host);
        }
        witnesses.len() * 2 > self.hosts.len()
    }
}
