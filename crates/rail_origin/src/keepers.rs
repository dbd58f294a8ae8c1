//! Hosts that know the origins of the streams of a service beside the host that began them.

use rail_place::rank_engines;

/// Returns all live hosts in the order in which they keep the origins of a service's streams. The
/// first two are told of each stream while the service has several versions, and the first one
/// stores them.
pub fn rank_keepers<'a>(
    service: &str,
    live_hosts: impl Iterator<Item = &'a str>,
) -> impl Iterator<Item = &'a str> {
    rank_engines(service, live_hosts).into_iter()
}

/// A live host, as the choice of backups needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveHost<'a> {
    /// Name of the host.
    pub name: &'a str,
    /// Availability zone of the host.
    pub zone: &'a str,
}

/// Returns the other live hosts in the order in which they back up the origins that a host records.
/// The first two are told of each stream that it begins while the service has one version, and pass
/// that on to the keepers once a second version serves.
///
/// Each host has backups of its own, so that what one of them receives does not grow with the
/// fleet. Hosts of other zones come first, since a zone may fail as a whole.
pub fn rank_backups<'a>(
    host: &str,
    zone: &str,
    live_hosts: impl Iterator<Item = LiveHost<'a>>,
) -> impl Iterator<Item = &'a str> {
    let others = live_hosts.filter(|other| other.name != host);
    let (same_zone, other_zones): (Vec<_>, Vec<_>) = others.partition(|other| other.zone == zone);
    let rank = |hosts: Vec<LiveHost<'a>>| rank_engines(host, hosts.into_iter().map(|h| h.name));
    rank(other_zones).into_iter().chain(rank(same_zone))
}
