//! Which hosts own the engines of a fleet.

use rail_lease::{OwnerCandidate, assign_engines};
use std::collections::{BTreeMap, BTreeSet, HashMap};

fn hosts(zones: usize, per_zone: usize, capacity: u32) -> Vec<OwnerCandidate> {
    let host = |n: usize| OwnerCandidate {
        host: format!("h{capacity}-{n}"),
        zone: format!("z{}", n % zones),
        capacity,
    };
    (0..zones * per_zone).map(host).collect()
}

fn engines(zones: usize, count: usize) -> BTreeMap<String, String> {
    (0..count).map(|n| (format!("e{n}"), format!("z{}", n % zones))).collect()
}

fn owners(shares: &BTreeMap<String, String>) -> BTreeSet<&String> {
    shares.values().collect()
}

fn held(shares: &BTreeMap<String, String>) -> HashMap<&str, usize> {
    let mut held = HashMap::new();
    for host in shares.values() {
        *held.entry(host.as_str()).or_default() += 1;
    }
    held
}

#[test]
fn owners_grow_with_engines_and_not_with_hosts() {
    let few = assign_engines(&hosts(4, 20, 120), &engines(4, 60));
    assert_eq!(few.len(), 60, "every engine has an owner");
    assert!(owners(&few).len() <= 20, "{} of 80 hosts own engines", owners(&few).len());
    let many = assign_engines(&hosts(4, 95, 120), &engines(4, 60));
    assert!(owners(&many).len() <= 20, "{} of 380 hosts own engines", owners(&many).len());
}

#[test]
fn a_small_fleet_shares_its_engines_among_all_hosts() {
    let candidates = hosts(3, 3, 250);
    let shares = assign_engines(&candidates, &engines(3, 9));
    assert!(held(&shares).values().all(|count| *count <= 2), "{:?}", held(&shares));
    assert!(owners(&shares).len() >= 6, "the loss of one host stops little");
}

#[test]
fn an_owner_stands_in_the_zone_of_its_engine() {
    let candidates = hosts(4, 20, 120);
    let engines = engines(4, 67);
    for (engine, host) in assign_engines(&candidates, &engines) {
        let zone = candidates.iter().find(|c| c.host == host).map(|c| &c.zone);
        assert_eq!(zone, Some(&engines[&engine]));
    }
    let elsewhere = assign_engines(&hosts(2, 5, 120), &engines);
    assert_eq!(elsewhere.len(), 67, "zones without hosts have owners too");
}

#[test]
fn hosts_with_more_capacity_own_more() {
    let mut candidates = hosts(1, 25, 120);
    candidates.extend(hosts(1, 2, 500));
    let shares = assign_engines(&candidates, &engines(1, 38));
    let held = held(&shares);
    let of = |prefix: &str| {
        let counts = held.iter().filter(|(host, _)| host.starts_with(prefix));
        counts.map(|(_, count)| *count).collect::<Vec<_>>()
    };
    let (large, small) = (of("h500"), of("h120"));
    let mean = |counts: &[usize]| counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    assert!(mean(&large) > 2.0 * mean(&small), "{large:?} {small:?}");
}

#[test]
fn the_loss_of_a_host_moves_few_other_engines() {
    let candidates = hosts(4, 20, 120);
    let engines = engines(4, 67);
    let before = assign_engines(&candidates, &engines);
    let lost = before["e0"].clone();
    let left: Vec<OwnerCandidate> = candidates.iter().filter(|c| c.host != lost).cloned().collect();
    let after = assign_engines(&left, &engines);
    let moved = before.iter().filter(|(e, host)| **host != lost && after[*e] != **host).count();
    assert!(moved <= 6, "{moved} engines moved that could stay");
}
