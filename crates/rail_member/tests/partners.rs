//! Heartbeats of fleets of several sizes: who is thought live, and how many exchanges cross zones.

use rail_member::{HostHeartbeat, HostView};
use rail_revision::Era;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

const ROUND: Duration = Duration::from_millis(500);
const ROUNDS: u64 = 30;
/// Rounds in which hosts get to know each other.
const WARM_UP_ROUNDS: u64 = 12;
/// Known hosts of a host that starts.
const SEEDS: usize = 4;

struct Fleet {
    zones: usize,
    views: Vec<HostView>,
    by_address: BTreeMap<SocketAddr, usize>,
    crossing: usize,
    exchanges: usize,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (host / 200) as u8, (host % 200) as u8 + 1], 7000))
}

fn name(host: usize) -> String {
    format!("host{host}")
}

impl Fleet {
    fn new(hosts: usize, zones: usize) -> Self {
        let mut views = vec![HostView::default(); hosts];
        for host in 0..hosts {
            for seed in 0..SEEDS.min(hosts) {
                views[host].record(heartbeat(seed * hosts / SEEDS, zones, 1), Duration::ZERO);
                let own = heartbeat(host, zones, 1);
                views[seed * hosts / SEEDS].record(own, Duration::ZERO);
            }
        }
        let by_address = (0..hosts).map(|host| (address(host), host)).collect();
        Self { zones, views, by_address, crossing: 0, exchanges: 0 }
    }

    /// One round of a host: it renews its own heartbeat and exchanges all with its partners.
    fn run_round(&mut self, host: usize, count: u64, now: Duration, random: &mut ChaCha8Rng) {
        self.views[host].record(heartbeat(host, self.zones, count), now);
        let zone = zone_of(host, self.zones);
        let partners = self.views[host].choose_partners(&name(host), &zone, now, random);
        let distinct: BTreeSet<&SocketAddr> = partners.iter().collect();
        assert_eq!(distinct.len(), partners.len(), "each partner once");
        assert!(!partners.contains(&address(host)), "not the host itself");
        for partner in partners {
            let partner = self.by_address[&partner];
            self.exchanges += 1;
            self.crossing += usize::from(zone_of(partner, self.zones) != zone);
            for (from, to) in [(host, partner), (partner, host)] {
                let known: Vec<HostHeartbeat> = self.views[from].live(now).cloned().collect();
                for heartbeat in known {
                    self.views[to].record(heartbeat, now);
                }
            }
        }
    }
}

fn zone_of(host: usize, zones: usize) -> String {
    format!("zone{}", host % zones)
}

fn heartbeat(host: usize, zones: usize, count: u64) -> HostHeartbeat {
    HostHeartbeat {
        host: name(host),
        zone: zone_of(host, zones),
        caller_address: address(host),
        peer_address: address(host),
        started_unix_ms: 1,
        count,
        is_ready: true,
        in_flight: 0,
        capacity_milli: 250,
        config_version: 1,
        is_fresh: true,
        owners_era: Era::default(),
    }
}

/// Plays rounds of all hosts in random order; returns the share of exchanges that cross zones.
fn play(hosts: usize, zones: usize, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(hosts, zones);
    let offsets: Vec<u32> = (0..hosts).map(|_| random.random_range(0..500)).collect();
    let mut order: Vec<usize> = (0..hosts).collect();
    order.sort_by_key(|host| offsets[*host]);
    for round in 0..ROUNDS {
        for host in &order {
            let now = ROUND * round as u32 + Duration::from_millis(offsets[*host].into());
            fleet.run_round(*host, round + 2, now, &mut random);
        }
        let now = ROUND * (round as u32 + 1);
        if round >= WARM_UP_ROUNDS {
            for (host, view) in fleet.views.iter().enumerate() {
                let live = view.live(now).count();
                assert!(
                    live >= hosts,
                    "{live} of {hosts} hosts live at host {host}, round {round}"
                );
            }
        }
    }
    fleet.crossing as f64 / fleet.exchanges.max(1) as f64
}

/// Guards against live hosts that are thought gone, as news of them crosses zones too rarely.
#[test]
fn every_live_host_is_known_as_live_everywhere() {
    for (hosts, zones) in [(2, 2), (3, 3), (9, 3), (20, 1), (37, 36), (74, 3)] {
        for seed in 0..3 {
            play(hosts, zones, seed);
        }
    }
}

/// Guards against links between zones that fill with heartbeats as the fleet grows. With random
/// partners four fifths of the exchanges cross zones here.
#[test]
fn in_large_zones_a_quarter_of_the_exchanges_crosses_zones() {
    let share = play(195, 5, 1);
    println!("{share} of the exchanges of 195 hosts cross zones");
    assert!(share < 0.3, "{share}");
}
