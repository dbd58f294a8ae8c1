//! Liveness of hosts, spread by gossip.
//!
//! Each host increments the counter of its own heartbeat; every host forwards the newest heartbeat
//! that it has of each other host. A host whose counter stops growing becomes suspect, no matter
//! through which host its heartbeat arrives.

use crate::entry_share::keep_by_capacity;
use rail_revision::Era;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// 64-bit hash of a host's name, which stands for the name in messages.
pub type HostKey = u64;

/// Time without a newer heartbeat after which a host is suspect and not listed for callers.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2500);
/// Time without a newer heartbeat after which a host is removed from the view.
pub const PRUNE_AFTER: Duration = Duration::from_secs(30);

/// Complete heartbeat of a host: its addresses and its current state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address on which the host serves callers.
    pub caller_address: SocketAddr,
    /// Address on which the host serves other hosts.
    pub peer_address: SocketAddr,
    /// Start of the process in Unix milliseconds; orders the restarts on one host.
    pub started_unix_ms: u64,
    /// Counter of the heartbeats since the start of the process.
    pub count: u64,
    /// Whether the host accepts requests of callers.
    pub is_ready: bool,
    /// Number of requests in progress.
    pub in_flight: u32,
    /// Capacity relative to other hosts, in thousandths of a core.
    pub capacity_milli: u32,
    /// Version of the applied configuration.
    pub config_version: u64,
    /// Whether the host's copy of the store's records is current, so that it can feed other
    /// hosts.
    pub is_fresh: bool,
    /// Era of the store from which the host has read who owns which engine.
    pub owners_era: Era,
}

impl HostHeartbeat {
    fn order(&self) -> (u64, u64) {
        (self.started_unix_ms, self.count)
    }
}

/// The fields of a heartbeat that change, sent to hosts that know the complete heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatUpdate {
    /// Hash of the name of the host.
    pub key: HostKey,
    /// Start of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Counter of the heartbeats since the start of the process.
    pub count: u64,
    /// Whether the host accepts requests of callers.
    pub is_ready: bool,
    /// Number of requests in progress.
    pub in_flight: u32,
    /// Version of the applied configuration.
    pub config_version: u64,
    /// Whether the host's copy of the store's records is current, so that it can feed other
    /// hosts.
    pub is_fresh: bool,
    /// Era of the store from which the host has read who owns which engine.
    pub owners_era: Era,
}

/// Returns the hash of a host's name.
pub fn host_key(host: &str) -> HostKey {
    xxh3_64(host.as_bytes())
}

#[derive(Debug, Clone)]
struct KnownHost {
    heartbeat: HostHeartbeat,
    /// Time at which the newest heartbeat or update was received, on the local monotonic clock.
    received_at: Duration,
}

/// Newest heartbeat of each host that this host knows.
#[derive(Debug, Clone, Default)]
pub struct HostView {
    hosts: BTreeMap<String, KnownHost>,
    names: HashMap<HostKey, String>,
}

impl HostView {
    /// Records a heartbeat and reports whether it is newer than the known one.
    pub fn record(&mut self, heartbeat: HostHeartbeat, now: Duration) -> bool {
        let known = self.hosts.get(&heartbeat.host);
        if known.is_some_and(|known_host| known_host.heartbeat.order() >= heartbeat.order()) {
            return false;
        }
        self.names.insert(host_key(&heartbeat.host), heartbeat.host.clone());
        self.hosts.insert(heartbeat.host.clone(), KnownHost { heartbeat, received_at: now });
        true
    }

    /// Applies an update if it is newer than the known heartbeat, and reports whether its host is
    /// known.
    pub fn apply_update(&mut self, update: &HeartbeatUpdate, now: Duration) -> bool {
        let known_host = self.names.get(&update.key).and_then(|host| self.hosts.get_mut(host));
        let Some(known_host) = known_host else { return false };
        let order = (update.started_unix_ms, update.count);
        if known_host.heartbeat.order() < order {
            let HeartbeatUpdate {
                started_unix_ms, count, is_ready, in_flight, config_version, ..
            } = *update;
            let HeartbeatUpdate { is_fresh, owners_era, .. } = *update;
            let known = known_host.heartbeat.clone();
            known_host.heartbeat = HostHeartbeat {
                started_unix_ms,
                count,
                is_ready,
                in_flight,
                config_version,
                is_fresh,
                owners_era,
                ..known
            };
            known_host.received_at = now;
        }
        true
    }

    /// Returns the update of every live host.
    pub fn updates(&self, now: Duration) -> Vec<HeartbeatUpdate> {
        let update = |heartbeat: &HostHeartbeat| HeartbeatUpdate {
            key: host_key(&heartbeat.host),
            started_unix_ms: heartbeat.started_unix_ms,
            count: heartbeat.count,
            is_ready: heartbeat.is_ready,
            in_flight: heartbeat.in_flight,
            config_version: heartbeat.config_version,
            is_fresh: heartbeat.is_fresh,
            owners_era: heartbeat.owners_era,
        };
        self.live(now).map(update).collect()
    }

    /// Returns the complete heartbeats of the live hosts that the updates do not contain.
    pub fn missing_from(&self, updates: &[HeartbeatUpdate], now: Duration) -> Vec<HostHeartbeat> {
        let is_missing = |heartbeat: &&HostHeartbeat| {
            updates.iter().all(|update| update.key != host_key(&heartbeat.host))
        };
        self.live(now).filter(is_missing).cloned().collect()
    }

    /// Returns the newest heartbeat of a host, if the host is known.
    pub fn find(&self, host: &str) -> Option<&HostHeartbeat> {
        self.hosts.get(host).map(|known_host| &known_host.heartbeat)
    }

    /// Reports whether a newer heartbeat of a host arrived within [`SUSPECT_AFTER`], directly or
    /// through another host.
    pub fn is_live(&self, host: &str, now: Duration) -> bool {
        self.hosts.get(host).is_some_and(|known_host| now < known_host.received_at + SUSPECT_AFTER)
    }

    /// Iterates over the newest heartbeats of the live hosts.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &HostHeartbeat> {
        let live = self
            .hosts
            .values()
            .filter(move |known_host| now < known_host.received_at + SUSPECT_AFTER);
        live.map(|known_host| &known_host.heartbeat)
    }

    /// Returns whether every known host, and every host named, has read the owners of engines from
    /// an era of the store or a later one.
    pub fn have_all_read_owners<'a>(
        &self,
        era: Era,
        mut named: impl Iterator<Item = &'a String>,
    ) -> bool {
        let has_read = |known_host: &KnownHost| known_host.heartbeat.owners_era >= era;
        self.hosts.values().all(has_read) && named.all(|host| self.hosts.contains_key(host))
    }

    /// Returns the number of known hosts, live or suspect.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Reports whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Removes the hosts without a newer heartbeat for [`PRUNE_AFTER`] and returns their names.
    pub fn prune(&mut self, now: Duration) -> Vec<String> {
        let is_expired = |known_host: &KnownHost| now >= known_host.received_at + PRUNE_AFTER;
        let removed = self.hosts.iter().filter(|(_, known_host)| is_expired(known_host));
        let removed: Vec<String> = removed.map(|(host, _)| host.clone()).collect();
        self.hosts.retain(|_, known_host| !is_expired(known_host));
        let hosts = &self.hosts;
        self.names.retain(|_, host| hosts.contains_key(host));
        removed
    }

    /// Lists the addresses that a caller in this zone should use: hosts of the same zone first,
    /// then by load relative to capacity, at most `limit`.
    ///
    /// `registered` maps each host of the fleet to its address for callers. After a restart of the
    /// whole fleet a host knows few others, and all callers would be sent to the hosts that start
    /// first. While less than half of the fleet is known, the unknown hosts are therefore listed
    /// too, after the known ones.
    pub fn entry_addresses(
        &self,
        zone: Option<&str>,
        limit: usize,
        registered: &BTreeMap<String, SocketAddr>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let mut addresses = self.ready_addresses(zone, now);
        let known_count = self.hosts.len();
        if !addresses.is_empty() && known_count * 2 < registered.len() {
            let unknown = registered.iter().filter(|(host, _)| !self.hosts.contains_key(*host));
            addresses.extend(unknown.map(|(_, address)| *address));
        }
        addresses.truncate(limit);
        addresses
    }

    fn ready_addresses(&self, zone: Option<&str>, now: Duration) -> Vec<SocketAddr> {
        let ready = self.live(now).filter(|heartbeat| heartbeat.is_ready);
        let mut ready: Vec<&HostHeartbeat> = ready.collect();
        if let Some(zone) = zone {
            keep_by_capacity(&mut ready, zone);
        }
        ready.sort_by_key(|heartbeat| {
            let is_other_zone = zone != Some(heartbeat.zone.as_str());
            let load =
                u64::from(heartbeat.in_flight) * 1000 / u64::from(heartbeat.capacity_milli.max(1));
            (is_other_zone, load, heartbeat.host.clone())
        });
        ready.into_iter().map(|heartbeat| heartbeat.caller_address).collect()
    }
}
