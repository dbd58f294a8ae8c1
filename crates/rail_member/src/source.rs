//! From whom a host learns the store's records.
//!
//! Each call to the store is paid for and each host has a slow link, so the hosts of an
//! availability zone form a tree: its roots follow the store, every other host follows one above it,
//! and none feeds more than a few. The order is that of the hosts' keys, so all hosts that know the
//! same ones agree on it. A host that can't use the one above it takes any other that has fresh
//! records, and goes to the store itself when there is none.

use crate::host_heartbeat::{HostKey, host_key};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Fewest roots over all availability zones.
const MIN_ROOTS: usize = 3;
/// Hosts of an availability zone for each of its roots.
const HOSTS_PER_ROOT: usize = 32;
/// Hosts that one host feeds.
pub const MAX_FEEDS_PER_HOST: usize = 4;
/// Time for which a host that failed as a source is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Where records come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another host, by name.
    Host(String),
}

/// A host that could be a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceCandidate {
    /// Name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Whether its records are fresh, as last told.
    pub is_fresh: bool,
}

/// Chooses the source of one host.
#[derive(Debug, Clone)]
pub struct SourceChooser {
    host: String,
    zone: String,
    avoided: HashMap<String, Duration>,
}

impl SourceChooser {
    /// Starts for this host.
    pub fn new(host: &str, zone: &str) -> Self {
        Self { host: host.to_owned(), zone: zone.to_owned(), avoided: HashMap::new() }
    }

    /// Takes that a host failed as a source.
    pub fn avoid(&mut self, host: &str, now: Duration) {
        self.avoided.insert(host.to_owned(), now + AVOID_TIME);
    }

    /// Chooses a source among the live hosts, this one included.
    ///
    /// `store_fails` tells that this host has not reached the store lately.
    pub fn choose(&mut self, live: &[SourceCandidate], store_fails: bool, now: Duration) -> Source {
        self.avoided.retain(|_, until| now < *until);
        let order = order_of_zone(live, &self.zone);
        let own_place = order.iter().position(|host| *host == self.host);
        let roots = roots_of_zone(live, &self.zone);
        if own_place.is_none_or(|place| place < roots) && !store_fails {
            return Source::Store;
        }
        let above = own_place.and_then(|place| parent_of(place, roots)).map(|place| order[place]);
        if let Some(above) = above.filter(|host| !self.avoided.contains_key(*host)) {
            return Source::Host(above.to_owned());
        }
        self.nearest_fresh(live).map_or(Source::Store, |host| Source::Host(host.to_owned()))
    }

    fn nearest_fresh<'a>(&self, live: &'a [SourceCandidate]) -> Option<&'a str> {
        let is_usable = |candidate: &&SourceCandidate| {
            candidate.is_fresh
                && candidate.host != self.host
                && !self.avoided.contains_key(&candidate.host)
        };
        let nearest = live.iter().filter(is_usable).min_by_key(|candidate| {
            let spread = xxh3_64(format!("{}/{}", self.host, candidate.host).as_bytes());
            (candidate.zone != self.zone, spread)
        });
        nearest.map(|candidate| candidate.host.as_str())
    }
}

/// Gives the place above a place of a zone's order; roots have none.
fn parent_of(place: usize, roots: usize) -> Option<usize> {
    place.checked_sub(roots).map(|below| below / MAX_FEEDS_PER_HOST)
}

fn order_of_zone<'a>(live: &'a [SourceCandidate], zone: &str) -> Vec<&'a str> {
    let of_zone = live.iter().filter(|candidate| candidate.zone == zone);
    let mut order: Vec<(HostKey, &str)> =
        of_zone.map(|candidate| (host_key(&candidate.host), candidate.host.as_str())).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, host)| host).collect()
}

fn roots_of_zone(live: &[SourceCandidate], zone: &str) -> usize {
    let mut zones = BTreeMap::<&str, usize>::new();
    for candidate in live {
        *zones.entry(&candidate.zone).or_default() += 1;
    }
    let hosts = zones.get(zone).copied().unwrap_or(0);
    let fewest = MIN_ROOTS.div_ceil(zones.len().max(1));
    hosts.div_ceil(HOSTS_PER_ROOT).max(fewest)
}
