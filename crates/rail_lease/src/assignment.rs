//! Which hosts should own the engines of a fleet.
//!
//! Every owner keeps a lease, which the store is paid for, and every host keeps a link to each owner
//! that it asks. So a few hosts of each availability zone own its engines, those with more capacity
//! more likely and more of them; small zones share theirs among all hosts, so that the loss of one
//! stops little. All hosts that know the same ones agree.

use crate::record::{HostId, ResourceId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Engines of an availability zone for each of its owners.
const ENGINES_PER_OWNER: usize = 3;
/// Fewest owners of an availability zone that has so many hosts.
const MIN_OWNERS: usize = 3;
/// Engines that one owner may hold above its share.
const SHARE_SLACK: usize = 1;

/// A host that could own engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Name.
    pub host: HostId,
    /// Availability zone.
    pub zone: String,
    /// Capacity relative to other hosts.
    pub capacity: u32,
}

/// Assigns each engine, given with its availability zone, to a host.
pub fn assign_engines(
    candidates: &[OwnerCandidate],
    engines: &BTreeMap<ResourceId, String>,
) -> BTreeMap<ResourceId, HostId> {
    let zones: BTreeSet<&String> = engines.values().collect();
    let mut shares = BTreeMap::new();
    for zone in zones {
        let of_zone: Vec<&ResourceId> =
            engines.iter().filter(|(_, z)| *z == zone).map(|(engine, _)| engine).collect();
        share_zone(&owners_of(candidates, zone, of_zone.len()), &of_zone, &mut shares);
    }
    shares
}

/// Chooses the owners for some engines of a zone; hosts elsewhere own those of a zone without any.
fn owners_of<'a>(
    candidates: &'a [OwnerCandidate],
    zone: &str,
    engines: usize,
) -> Vec<&'a OwnerCandidate> {
    let mut owners: Vec<&OwnerCandidate> = candidates.iter().filter(|c| c.zone == zone).collect();
    if owners.is_empty() {
        owners = candidates.iter().collect();
    }
    owners.sort_by(|a, b| {
        let weight = |c: &OwnerCandidate| weigh(c, zone);
        weight(b).total_cmp(&weight(a)).then_with(|| a.host.cmp(&b.host))
    });
    owners.truncate(engines.div_ceil(ENGINES_PER_OWNER).max(MIN_OWNERS));
    owners
}

fn share_zone(
    owners: &[&OwnerCandidate],
    engines: &[&ResourceId],
    shares: &mut BTreeMap<ResourceId, HostId>,
) {
    let capacity: u64 = owners.iter().map(|owner| u64::from(owner.capacity.max(1))).sum();
    let bound = |owner: &OwnerCandidate| {
        let share = engines.len() as u64 * u64::from(owner.capacity.max(1));
        share.div_ceil(capacity.max(1)) as usize + SHARE_SLACK
    };
    let mut held = HashMap::<&str, usize>::new();
    for engine in engines {
        let has_room = |owner: &&&OwnerCandidate| {
            held.get(owner.host.as_str()).copied().unwrap_or(0) < bound(owner)
        };
        let best = owners.iter().filter(has_room).max_by(|a, b| {
            let weight = |owner: &OwnerCandidate| weigh(owner, engine);
            weight(a).total_cmp(&weight(b)).then_with(|| b.host.cmp(&a.host))
        });
        if let Some(owner) = best {
            *held.entry(&owner.host).or_default() += 1;
            shares.insert((*engine).clone(), owner.host.clone());
        }
    }
}

/// Gives the weight of a host for a key: the greatest wins, each host in proportion to its capacity.
fn weigh(candidate: &OwnerCandidate, key: &str) -> f64 {
    let hash = xxh3_64(format!("{}/{key}", candidate.host).as_bytes());
    // Strictly between 0 and 1, so that the logarithm is finite and not zero.
    let uniform = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    f64::from(candidate.capacity.max(1)) / -uniform.ln()
}
