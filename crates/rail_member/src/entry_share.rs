//! Shares of callers for hosts of different sizes.
//!
//! Callers choose among the listed hosts at random, so a host's share is the part of the lists that
//! contain it. Each host is listed in its own availability zone; a host that is smaller than the
//! largest one is left out of the lists of some other zones. The choice depends on the host, the
//! zone and their capacities alone: a list that changed from one answer to the next would close
//! connections of callers.

use crate::host_heartbeat::HostHeartbeat;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// Fewest hosts that are listed, if there are as many.
const MIN_LISTED_HOSTS: usize = 12;

/// Removes hosts that callers of a zone should not use, so that hosts get callers in proportion to
/// their capacity. Hosts of equal capacity all stay.
pub(crate) fn keep_by_capacity(hosts: &mut Vec<&HostHeartbeat>, zone: &str) {
    let largest = hosts.iter().map(|host| host.capacity_milli).max().unwrap_or(0);
    let zones: BTreeSet<&str> = hosts.iter().map(|host| host.zone.as_str()).collect();
    let other_zones = zones.len().saturating_sub(1);
    let is_listed = |host: &HostHeartbeat| {
        host.zone == zone
            || is_listed_elsewhere(host, zone, capacity_share(host, largest), other_zones)
    };
    let listed = hosts.iter().filter(|host| is_listed(host)).count();
    if listed >= MIN_LISTED_HOSTS {
        hosts.retain(|host| is_listed(host));
    }
}

fn capacity_share(host: &HostHeartbeat, largest: u32) -> f64 {
    f64::from(host.capacity_milli) / f64::from(largest.max(1))
}

/// Returns whether a host is listed in a zone that is not its own: in so many of the other zones
/// that it is in its share of all lists.
fn is_listed_elsewhere(host: &HostHeartbeat, zone: &str, share: f64, other_zones: usize) -> bool {
    if other_zones == 0 {
        return true;
    }
    let other_zones = other_zones as f64;
    let part = (share * (other_zones + 1.0) - 1.0) / other_zones;
    let hash = xxh3_64(format!("{}/{zone}", host.host).as_bytes());
    (hash as f64 / u64::MAX as f64) < part || share >= 1.0
}
