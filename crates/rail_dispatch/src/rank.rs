//! Which host dispatches a service.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Share of the capacity of the largest host that a dispatcher must have, so that the calls of a
/// whole fleet don't fill the link of a small host.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// Returns the host that dispatches a service, and the one that stands in for it. `hosts` are the
/// live hosts with their capacity. All hosts that know the same hosts name the same ones.
pub fn rank_dispatchers<'a>(
    service: &str,
    hosts: impl Iterator<Item = (&'a str, u32)>,
) -> impl Iterator<Item = &'a str> {
    let hosts: Vec<(&str, u32)> = hosts.collect();
    let largest = hosts.iter().map(|(_, capacity)| *capacity).max().unwrap_or(0);
    let is_large = |(_, capacity): &(&str, u32)| {
        f64::from(*capacity) >= f64::from(largest) * MIN_CAPACITY_SHARE
    };
    let large = hosts.into_iter().filter(is_large);
    let mut ranked: Vec<&str> = large.map(|(host, _)| host).collect();
    ranked.sort_by_cached_key(|host| Reverse(xxh3_64(format!("{service}@{host}").as_bytes())));
    ranked.into_iter().take(2)
}
