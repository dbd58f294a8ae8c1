//! Choice of the source from which a host receives the store's records.
//!
//! Each call to the store costs money and each host has a slow link, so the hosts of an
//! availability zone form a distribution tree: its roots follow the store, every other host follows
//! its parent, and no host feeds more than [`MAX_FEEDS_PER_HOST`] others. Hosts are ordered by
//! their keys, so all hosts with the same view compute the same tree. A host that can't use its
//! parent chooses another host with fresh records, and the store itself when there is none.

use crate::host_heartbeat::{HostKey, host_key};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of roots over all availability zones.
const MIN_ROOTS: usize = 3;
/// Number of hosts in an availability zone for each of its roots.
const HOSTS_PER_ROOT: usize = 32;
/// Maximum number of hosts that one host feeds.
pub const MAX_FEEDS_PER_HOST: usize = 4;
/// Time for which a host, or the store, that failed as a source is not chosen again.
const FAILED_SOURCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Origin of the records that a host receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The metadata store itself.
    Store,
    /// Another host, given by its name.
    Host(String),
}

/// Live host that may be chosen as a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceCandidate {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether its copy of the store's records is current, according to its newest heartbeat.
    pub is_fresh: bool,
}

/// Whether this host can use the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreAccess {
    /// Whether recent calls failed, or got no answer for long.
    pub is_failing: bool,
    /// Whether the store answered the last call, and not long ago.
    pub answers: bool,
}

/// Chooses the source of one host and avoids sources that failed recently.
#[derive(Debug, Clone)]
pub struct SourceChooser {
    host: String,
    zone: String,
    /// Hosts that failed as a source, each with the time until which it is not chosen again.
    avoided_until: HashMap<String, Duration>,
    /// The same for the store.
    store_avoided_until: Duration,
}

impl SourceChooser {
    /// Creates the chooser of the given host.
    pub fn new(host: &str, zone: &str) -> Self {
        Self {
            host: host.to_owned(),
            zone: zone.to_owned(),
            avoided_until: HashMap::new(),
            store_avoided_until: Duration::ZERO,
        }
    }

    /// Records that a host failed as a source, which is then not chosen for 4 seconds.
    pub fn avoid(&mut self, host: &str, now: Duration) {
        self.avoided_until.insert(host.to_owned(), now + FAILED_SOURCE_TIMEOUT);
    }

    /// Records that the store failed as a source. It is not chosen for 4 seconds, unless it answers
    /// before or there is no other source.
    pub fn avoid_store(&mut self, now: Duration) {
        self.store_avoided_until = now + FAILED_SOURCE_TIMEOUT;
    }

    /// Chooses a source among the live hosts, which include this one.
    ///
    /// A parent whose records are old is chosen only while no host has recent ones, as at the start
    /// of the fleet. A host that reaches the store itself follows it rather than search for
    /// another.
    pub fn choose(
        &mut self,
        live: &[SourceCandidate],
        store: StoreAccess,
        now: Duration,
    ) -> Source {
        self.avoided_until.retain(|_, until| now < *until);
        if self.must_follow_store(live, store, now) {
            return Source::Store;
        }
        let ordered = ordered_hosts_of_zone(live, &self.zone);
        let own_position = ordered.iter().position(|host| *host == self.host);
        let root_count = root_count_of_zone(live, &self.zone);
        let parent = own_position
            .and_then(|position| parent_position(position, root_count))
            .map(|position| ordered[position]);
        let others_are_old = !live.iter().any(|other| other.is_fresh && other.host != self.host);
        let is_usable = |host: &&str| {
            let is_fresh = live.iter().any(|other| other.is_fresh && other.host == **host);
            (is_fresh || others_are_old) && !self.avoided_until.contains_key(*host)
        };
        if let Some(parent) = parent.filter(is_usable) {
            return Source::Host(parent.to_owned());
        }
        if store.answers {
            return Source::Store;
        }
        self.nearest_fresh(live).map_or(Source::Store, |host| Source::Host(host.to_owned()))
    }

    /// Returns whether this host is a root that can use the store. The other hosts rely on it, so
    /// it does not stay at another source that works.
    pub fn must_follow_store(
        &self,
        live: &[SourceCandidate],
        store: StoreAccess,
        now: Duration,
    ) -> bool {
        let ordered = ordered_hosts_of_zone(live, &self.zone);
        let own_position = ordered.iter().position(|host| *host == self.host);
        let is_root =
            own_position.is_none_or(|position| position < root_count_of_zone(live, &self.zone));
        let is_avoided = now < self.store_avoided_until && !store.answers;
        is_root && !store.is_failing && !is_avoided
    }

    fn nearest_fresh<'a>(&self, live: &'a [SourceCandidate]) -> Option<&'a str> {
        let is_usable = |candidate: &&SourceCandidate| {
            candidate.is_fresh
                && candidate.host != self.host
                && !self.avoided_until.contains_key(&candidate.host)
        };
        let nearest = live.iter().filter(is_usable).min_by_key(|candidate| {
            let tie_breaker = xxh3_64(format!("{}/{}", self.host, candidate.host).as_bytes());
            (candidate.zone != self.zone, tie_breaker)
        });
        nearest.map(|candidate| candidate.host.as_str())
    }
}

/// Returns the position of the parent in the order of a zone; roots have none.
fn parent_position(position: usize, root_count: usize) -> Option<usize> {
    position.checked_sub(root_count).map(|below_roots| below_roots / MAX_FEEDS_PER_HOST)
}

fn ordered_hosts_of_zone<'a>(live: &'a [SourceCandidate], zone: &str) -> Vec<&'a str> {
    let of_zone = live.iter().filter(|candidate| candidate.zone == zone);
    let mut ordered: Vec<(HostKey, &str)> =
        of_zone.map(|candidate| (host_key(&candidate.host), candidate.host.as_str())).collect();
    ordered.sort_unstable();
    ordered.into_iter().map(|(_, host)| host).collect()
}

fn root_count_of_zone(live: &[SourceCandidate], zone: &str) -> usize {
    let mut zone_sizes = BTreeMap::<&str, usize>::new();
    for candidate in live {
        *zone_sizes.entry(&candidate.zone).or_default() += 1;
    }
    let hosts = zone_sizes.get(zone).copied().unwrap_or(0);
    let min_in_zone = MIN_ROOTS.div_ceil(zone_sizes.len().max(1));
    hosts.div_ceil(HOSTS_PER_ROOT).max(min_in_zone)
}
