//! Whether the applied configuration is current enough for new work.
//!
//! A generation is confirmed by the platform, or by a peer for which it was confirmed. A
//! confirmation through a peer counts from the moment at which the request to the peer was sent, so
//! that network delay only makes it older. While no host reaches the platform, no new generation
//! can be accepted, so a host continues if a majority of the fleet's hosts reports the same outage.
//! A host that received its configuration only from peers does not count itself towards the
//! majority: it may have lost a newer generation when it restarted.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

/// Age up to which a confirmation, or the outage report of a peer, counts.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);
/// Time without a response of the platform after which a host reports an outage.
pub const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// State of the configuration of a peer, from its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Address of the host of the peer.
    pub host: IpAddr,
    /// Generation that the peer has applied.
    pub generation: u64,
    /// Time since that generation was last confirmed for the peer; none without a confirmation.
    pub confirmed_age: Option<Duration>,
    /// Whether the peer reached the platform since its start, but not within [`OUTAGE_AFTER`].
    pub sees_outage: bool,
}

/// Freshness of the applied configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessState {
    /// The generation was confirmed as the newest within [`MAX_CONFIRMATION_AGE`].
    Confirmed,
    /// A majority of the hosts reports that it can't reach the platform.
    SharedOutage,
    /// Neither of the above: the platform may have accepted a newer generation.
    Stale,
}

impl FreshnessState {
    /// Reports whether the process may accept new work.
    pub fn allows_work(self) -> bool {
        self != Self::Stale
    }
}

/// Tracks the confirmations of the configuration that one process has applied.
#[derive(Debug, Clone)]
pub struct Freshness {
    own_host: IpAddr,
    hosts: BTreeSet<IpAddr>,
    applied_generation: u64,
    newest_known_generation: u64,
    confirmed_at: Option<Duration>,
    platform_reached_at: Option<Duration>,
    outage_reports: BTreeMap<IpAddr, Duration>,
}

impl Freshness {
    /// Creates the state of a process that has not applied any configuration.
    pub fn new(own_host: IpAddr) -> Self {
        Self {
            own_host,
            hosts: BTreeSet::from([own_host]),
            applied_generation: 0,
            newest_known_generation: 0,
            confirmed_at: None,
            platform_reached_at: None,
            outage_reports: BTreeMap::new(),
        }
    }

    /// Sets the hosts of the fleet among which a majority is counted; the own host is always one.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = IpAddr>) {
        self.hosts = hosts.into_iter().chain([self.own_host]).collect();
    }

    /// Records that a generation was applied; a smaller one is ignored.
    pub fn apply(&mut self, generation: u64) {
        self.applied_generation = self.applied_generation.max(generation);
        self.newest_known_generation = self.newest_known_generation.max(generation);
    }

    /// Records that `newest` was the newest generation of the platform at the time `at`.
    pub fn confirm_by_platform(&mut self, newest: u64, at: Duration) {
        self.platform_reached_at = self.platform_reached_at.max(Some(at));
        self.newest_known_generation = self.newest_known_generation.max(newest);
        if newest <= self.applied_generation {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records the reply of a peer to a request that was sent at `sent_at`.
    pub fn record_report(&mut self, report: &PeerReport, sent_at: Duration) {
        self.newest_known_generation = self.newest_known_generation.max(report.generation);
        if report.generation == self.applied_generation
            && let Some(at) = report.confirmed_age.and_then(|age| sent_at.checked_sub(age))
        {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        if report.sees_outage {
            self.outage_reports.insert(report.host, sent_at);
        } else {
            self.outage_reports.remove(&report.host);
        }
    }

    /// Returns the greatest known generation if it is greater than the applied one.
    pub fn missing_generation(&self) -> Option<u64> {
        (self.newest_known_generation > self.applied_generation)
            .then_some(self.newest_known_generation)
    }

    /// Returns the time since the applied generation was last confirmed as the newest.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Reports whether this process reached the platform before and has not for [`OUTAGE_AFTER`].
    pub fn sees_outage(&self, now: Duration) -> bool {
        self.platform_reached_at.is_some_and(|at| now.saturating_sub(at) > OUTAGE_AFTER)
    }

    /// Returns the freshness of the applied configuration, which decides on new work.
    pub fn state(&self, now: Duration) -> FreshnessState {
        if self.confirmed_age(now).is_some_and(|age| age <= MAX_CONFIRMATION_AGE) {
            return FreshnessState::Confirmed;
        }
        let is_complete = self.applied_generation > 0 && self.missing_generation().is_none();
        let reaches_platform = self.platform_reached_at.is_some() && !self.sees_outage(now);
        if is_complete && !reaches_platform && self.is_outage_shared(now) {
            FreshnessState::SharedOutage
        } else {
            FreshnessState::Stale
        }
    }

    fn is_outage_shared(&self, now: Duration) -> bool {
        let recent = self.outage_reports.iter().filter(|(host, sent_at)| {
            self.hosts.contains(host) && now.saturating_sub(**sent_at) <= MAX_CONFIRMATION_AGE
        });
        let mut reporters: BTreeSet<IpAddr> = recent.map(|(host, _)| *host).collect();
        if self.sees_outage(now) {
            reporters.insert(self.own_host);
        }
        reporters.len() * 2 > self.hosts.len()
    }
}
