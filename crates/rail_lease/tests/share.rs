//! Assignment of engines to hosts.

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

fn owners(assignment: &BTreeMap<String, String>) -> BTreeSet<&String> {
    assignment.values().collect()
}

fn engines_per_owner(assignment: &BTreeMap<String, String>) -> HashMap<&str, usize> {
    let mut engines_per_owner = HashMap::new();
    for host in assignment.values() {
        *engines_per_owner.entry(host.as_str()).or_default() += 1;
    }
    engines_per_owner
}

#[test]
fn the_number_of_owners_depends_on_engines_and_not_on_hosts() {
    let small_fleet = assign_engines(&hosts(4, 20, 120), &engines(4, 60));
    assert_eq!(small_fleet.len(), 60, "every engine has an owner");
    assert!(
        owners(&small_fleet).len() <= 20,
        "{} of 80 hosts own engines",
        owners(&small_fleet).len()
    );
    let large_fleet = assign_engines(&hosts(4, 95, 120), &engines(4, 60));
    assert!(
        owners(&large_fleet).len() <= 20,
        "{} of 380 hosts own engines",
        owners(&large_fleet).len()
    );
}

#[test]
fn a_small_fleet_spreads_its_engines_over_its_hosts() {
    let candidates = hosts(3, 3, 250);
    let assignment = assign_engines(&candidates, &engines(3, 9));
    assert!(
        engines_per_owner(&assignment).values().all(|count| *count <= 2),
        "{:?}",
        engines_per_owner(&assignment)
    );
    assert!(owners(&assignment).len() >= 6, "the loss of one host affects few engines");
}

#[test]
fn an_owner_is_in_the_zone_of_its_engine() {
    let candidates = hosts(4, 20, 120);
    let engines = engines(4, 67);
    for (engine, host) in assign_engines(&candidates, &engines) {
        let zone = candidates.iter().find(|c| c.host == host).map(|c| &c.zone);
        assert_eq!(zone, Some(&engines[&engine]));
    }
    let elsewhere = assign_engines(&hosts(2, 5, 120), &engines);
    assert_eq!(elsewhere.len(), 67, "engines in zones without hosts have owners too");
}

#[test]
fn hosts_with_more_capacity_own_more_engines() {
    let mut candidates = hosts(1, 25, 120);
    candidates.extend(hosts(1, 2, 500));
    let assignment = assign_engines(&candidates, &engines(1, 38));
    let engines_per_owner = engines_per_owner(&assignment);
    let engine_counts = |prefix: &str| {
        let counts = engines_per_owner.iter().filter(|(host, _)| host.starts_with(prefix));
        counts.map(|(_, count)| *count).collect::<Vec<_>>()
    };
    let (large, small) = (engine_counts("h500"), engine_counts("h120"));
    let mean = |counts: &[usize]| counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    assert!(mean(&large) > 2.0 * mean(&small), "{large:?} {small:?}");
}

#[test]
fn the_loss_of_a_host_reassigns_few_engines_of_other_hosts() {
    let candidates = hosts(4, 20, 120);
    let engines = engines(4, 67);
    let before = assign_engines(&candidates, &engines);
    let lost = before["e0"].clone();
    let remaining: Vec<OwnerCandidate> =
        candidates.iter().filter(|c| c.host != lost).cloned().collect();
    let after = assign_engines(&remaining, &engines);
    let moved =
        before.iter().filter(|(engine, host)| **host != lost && after[*engine] != **host).count();
    assert!(moved <= 6, "{moved} engines of other hosts were reassigned");
}
