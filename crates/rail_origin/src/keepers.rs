//! Hosts that keep the origins of the streams of a service.

use rail_place::rank_engines;

/// Returns all live hosts in the order in which they keep the origins of a service's streams. The
/// first two are told of each stream, and the first one stores them.
pub fn rank_keepers<'a>(
    service: &str,
    live_hosts: impl Iterator<Item = &'a str>,
) -> impl Iterator<Item = &'a str> {
    rank_engines(service, live_hosts).into_iter()
}
