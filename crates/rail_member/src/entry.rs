//! Which entry hosts callers should use.

use crate::heartbeat::{Heartbeat, Role};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};

/// Age of a heartbeat above which a host is left out.
pub const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(4);
/// Weight of an idle host in another availability zone.
const BASE_WEIGHT: u32 = 1000;
/// Factor of a host in the caller's availability zone.
const SAME_ZONE_FACTOR: u32 = 4;
/// Requests in progress that halve the weight of a host.
const HALF_WEIGHT_REQUESTS: u32 = 16;

/// One entry host with its share of new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// Name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address of its caller API.
    pub address: SocketAddr,
    /// Share of new requests, relative to the other hosts.
    pub weight: u32,
}

/// Lists live gateways by weight for a caller in this zone, leaving and unconfigured ones left out.
pub fn list_entry_hosts<'a>(
    members: impl IntoIterator<Item = &'a (Heartbeat, Duration)>,
    caller_zone: Option<&str>,
) -> Vec<EntryHost> {
    let live = members.into_iter().filter(|(heartbeat, age)| {
        let is_configured = heartbeat.generation > 0 || heartbeat.confirmed_age.is_some();
        let is_live = !heartbeat.leaving && *age <= MAX_HEARTBEAT_AGE;
        heartbeat.role == Role::Gateway && is_configured && is_live
    });
    let mut hosts: Vec<_> = live.filter_map(|(h, _)| to_entry_host(h, caller_zone)).collect();
    hosts.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.host.cmp(&b.host)));
    hosts
}

fn to_entry_host(heartbeat: &Heartbeat, caller_zone: Option<&str>) -> Option<EntryHost> {
    let is_near = caller_zone == Some(heartbeat.zone.as_str());
    let factor = if is_near { SAME_ZONE_FACTOR } else { 1 };
    let load = heartbeat.in_flight.saturating_add(HALF_WEIGHT_REQUESTS);
    let weight = (BASE_WEIGHT * factor * HALF_WEIGHT_REQUESTS / load).max(1);
    Some(EntryHost {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
        address: heartbeat.address?,
        weight,
    })
}
