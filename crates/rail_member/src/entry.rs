//! Selection and weighting of the entry hosts that callers should use.

use crate::heartbeat::{Heartbeat, Role};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};

/// Maximum age of the last heartbeat of a host that is still listed.
pub const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(4);
/// Weight of an idle host outside the availability zone of the caller.
const BASE_WEIGHT: u32 = 1000;
/// Factor by which a host in the availability zone of the caller weighs more.
const SAME_ZONE_FACTOR: u32 = 4;
/// Number of requests in progress at which a host has half the weight of an idle one.
const HALF_WEIGHT_IN_FLIGHT: u32 = 16;

/// An entry host with its weight for the distribution of new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of its caller API.
    pub address: SocketAddr,
    /// Weight, in proportion to which callers should send new requests to the listed hosts.
    pub weight: u32,
}

/// Lists the live gateways for a caller in an availability zone, by descending weight.
///
/// Each heartbeat comes with its age. Gateways that are shutting down or have no configuration are
/// omitted.
pub fn list_entry_hosts<'a>(
    members: impl IntoIterator<Item = &'a (Heartbeat, Duration)>,
    caller_zone: Option<&str>,
) -> Vec<EntryHost> {
    let live = members.into_iter().filter(|(heartbeat, age)| {
        let is_configured = heartbeat.generation > 0 || heartbeat.confirmed_age.is_some();
        let is_live = !heartbeat.leaving && *age <= MAX_HEARTBEAT_AGE;
        heartbeat.role == Role::Gateway && is_configured && is_live
    });
    let mut hosts: Vec<_> =
        live.filter_map(|(heartbeat, _)| to_entry_host(heartbeat, caller_zone)).collect();
    hosts.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.host.cmp(&b.host)));
    hosts
}

fn to_entry_host(heartbeat: &Heartbeat, caller_zone: Option<&str>) -> Option<EntryHost> {
    let is_same_zone = caller_zone == Some(heartbeat.zone.as_str());
    let factor = if is_same_zone { SAME_ZONE_FACTOR } else { 1 };
    let load = heartbeat.in_flight.saturating_add(HALF_WEIGHT_IN_FLIGHT);
    let weight = (BASE_WEIGHT * factor * HALF_WEIGHT_IN_FLIGHT / load).max(1);
    Some(EntryHost {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
        address: heartbeat.address?,
        weight,
    })
}
