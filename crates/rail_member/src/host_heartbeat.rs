//! Which hosts are alive, spread by gossip.
//!
//! Each host counts up its own beat; any host passes on the newest beat that it knows of each
//! other one. A beat that does not grow makes its host suspect, whoever passes it on.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Short form of a host's name.
pub type HostKey = u64;

/// Silence after which a host is not offered to callers.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2500);
/// Silence after which a host is forgotten.
pub const PRUNE_AFTER: Duration = Duration::from_secs(30);

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Listener of callers.
    pub caller_address: SocketAddr,
    /// Listener of peers.
    pub peer_address: SocketAddr,
    /// Start of the process in Unix milliseconds; orders the starts on one host.
    pub started_unix_ms: u64,
    /// Grows with each beat.
    pub count: u64,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Capacity relative to other hosts, in thousandths of a core.
    pub capacity_milli: u32,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether its records are fresh, so that it can feed other hosts.
    pub is_fresh: bool,
}

impl HostHeartbeat {
    fn order(&self) -> (u64, u64) {
        (self.started_unix_ms, self.count)
    }
}

/// The part of a beat that changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatUpdate {
    /// Host.
    pub key: HostKey,
    /// Start of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Grows with each beat.
    pub count: u64,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether its records are fresh, so that it can feed other hosts.
    pub is_fresh: bool,
}

/// Gives the short form of a host's name.
pub fn host_key(host: &str) -> HostKey {
    xxh3_64(host.as_bytes())
}

#[derive(Debug, Clone)]
struct Seen {
    beat: HostHeartbeat,
    grown_at: Duration,
}

/// The hosts that one host knows of.
#[derive(Debug, Clone, Default)]
pub struct HostView {
    hosts: BTreeMap<String, Seen>,
    names: HashMap<HostKey, String>,
}

impl HostView {
    /// Takes a beat; gives whether it is newer than the one known.
    pub fn record(&mut self, beat: HostHeartbeat, now: Duration) -> bool {
        let known = self.hosts.get(&beat.host);
        if known.is_some_and(|seen| seen.beat.order() >= beat.order()) {
            return false;
        }
        self.names.insert(host_key(&beat.host), beat.host.clone());
        self.hosts.insert(beat.host.clone(), Seen { beat, grown_at: now });
        true
    }

    /// Takes a pulse; gives whether its host is known.
    pub fn apply_update(&mut self, pulse: &HeartbeatUpdate, now: Duration) -> bool {
        let seen = self.names.get(&pulse.key).and_then(|host| self.hosts.get_mut(host));
        let Some(seen) = seen else { return false };
        let order = (pulse.started_unix_ms, pulse.count);
        if seen.beat.order() < order {
            let HeartbeatUpdate {
                started_unix_ms, count, is_ready, in_flight, config_version, ..
            } = *pulse;
            let is_fresh = pulse.is_fresh;
            let known = seen.beat.clone();
            seen.beat = HostHeartbeat {
                started_unix_ms,
                count,
                is_ready,
                in_flight,
                config_version,
                is_fresh,
                ..known
            };
            seen.grown_at = now;
        }
        true
    }

    /// Gives the pulse of every host that is not too old to pass on.
    pub fn updates(&self, now: Duration) -> Vec<HeartbeatUpdate> {
        let pulse = |beat: &HostHeartbeat| HeartbeatUpdate {
            key: host_key(&beat.host),
            started_unix_ms: beat.started_unix_ms,
            count: beat.count,
            is_ready: beat.is_ready,
            in_flight: beat.in_flight,
            config_version: beat.config_version,
            is_fresh: beat.is_fresh,
        };
        self.live(now).map(pulse).collect()
    }

    /// Gives the beats of live hosts that these pulses do not name.
    pub fn missing_from(&self, pulses: &[HeartbeatUpdate], now: Duration) -> Vec<HostHeartbeat> {
        let is_missing =
            |beat: &&HostHeartbeat| pulses.iter().all(|pulse| pulse.key != host_key(&beat.host));
        self.live(now).filter(is_missing).cloned().collect()
    }

    /// Finds the newest beat of a host.
    pub fn find(&self, host: &str) -> Option<&HostHeartbeat> {
        self.hosts.get(host).map(|seen| &seen.beat)
    }

    /// Reports whether a host was heard of lately, by anybody.
    pub fn is_live(&self, host: &str, now: Duration) -> bool {
        self.hosts.get(host).is_some_and(|seen| now < seen.grown_at + SUSPECT_AFTER)
    }

    /// Lists the live hosts.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &HostHeartbeat> {
        let live = self.hosts.values().filter(move |seen| now < seen.grown_at + SUSPECT_AFTER);
        live.map(|seen| &seen.beat)
    }

    /// Counts the hosts that are not forgotten.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Reports whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Forgets hosts that were silent for long; gives their names.
    pub fn prune(&mut self, now: Duration) -> Vec<String> {
        let is_over = |seen: &Seen| now >= seen.grown_at + PRUNE_AFTER;
        let gone = self.hosts.iter().filter(|(_, seen)| is_over(seen));
        let gone: Vec<String> = gone.map(|(host, _)| host.clone()).collect();
        self.hosts.retain(|_, seen| !is_over(seen));
        let hosts = &self.hosts;
        self.names.retain(|_, host| hosts.contains_key(host));
        gone
    }

    /// Names the hosts that a caller in this zone should use, near and idle ones first.
    ///
    /// `registered` gives where callers find each host of the fleet. After a common restart a host
    /// has heard of few others; all callers would come to the first ones that are up. So while less
    /// than half of the fleet was heard of, hosts that were not are taken to be up too.
    pub fn entry_addresses(
        &self,
        zone: Option<&str>,
        most: usize,
        registered: &BTreeMap<String, SocketAddr>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let mut addresses = self.ready_addresses(zone, now);
        let heard = self.hosts.len();
        if !addresses.is_empty() && heard * 2 < registered.len() {
            let unheard = registered.iter().filter(|(host, _)| !self.hosts.contains_key(*host));
            addresses.extend(unheard.map(|(_, address)| *address));
        }
        addresses.truncate(most);
        addresses
    }

    fn ready_addresses(&self, zone: Option<&str>, now: Duration) -> Vec<SocketAddr> {
        let ready = self.live(now).filter(|beat| beat.is_ready);
        let mut ready: Vec<&HostHeartbeat> = ready.collect();
        ready.sort_by_key(|beat| {
            let is_far = zone != Some(beat.zone.as_str());
            let load = u64::from(beat.in_flight) * 1000 / u64::from(beat.capacity_milli.max(1));
            (is_far, load, beat.host.clone())
        });
        ready.into_iter().map(|beat| beat.caller_address).collect()
    }
}
