//! Assignment of engines to the hosts that own them.
//!
//! Every owner renews a lease, whose store calls cost money, and every host has a link to each
//! owner that it sends requests to. So only a few hosts of each availability zone own its engines;
//! hosts with more capacity own more engines and are more likely to be chosen. Small zones share
//! their engines among all hosts, so that the loss of one host affects few engines. All hosts with
//! the same view compute the same assignment.

use crate::record::{HostId, ResourceId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Number of engines in an availability zone for each of its owners.
const ENGINES_PER_OWNER: usize = 3;
/// Minimum number of owners in an availability zone, if it has that many hosts.
const MIN_OWNERS: usize = 3;
/// Number of engines that one owner may have above its share by capacity.
const MAX_ENGINES_ABOVE_SHARE: usize = 1;

/// Live host that may own engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: String,
    /// Capacity relative to the other hosts; 0 counts as 1.
    pub capacity: u32,
}

/// Assigns each engine to a host; `engines` maps each engine to its availability zone.
pub fn assign_engines(
    candidates: &[OwnerCandidate],
    engines: &BTreeMap<ResourceId, String>,
) -> BTreeMap<ResourceId, HostId> {
    let zones: BTreeSet<&String> = engines.values().collect();
    let mut assignment = BTreeMap::new();
    for zone in zones {
        let zone_engines: Vec<&ResourceId> = engines
            .iter()
            .filter(|(_, engine_zone)| *engine_zone == zone)
            .map(|(engine, _)| engine)
            .collect();
        assign_zone(
            &choose_owners(candidates, zone, zone_engines.len()),
            &zone_engines,
            &mut assignment,
        );
    }
    assignment
}

/// Chooses the owners of the engines in a zone: hosts of that zone, or of any zone if it has none.
fn choose_owners<'a>(
    candidates: &'a [OwnerCandidate],
    zone: &str,
    engine_count: usize,
) -> Vec<&'a OwnerCandidate> {
    let mut owners: Vec<&OwnerCandidate> =
        candidates.iter().filter(|candidate| candidate.zone == zone).collect();
    if owners.is_empty() {
        owners = candidates.iter().collect();
    }
    owners.sort_by(|a, b| {
        let weight = |candidate: &OwnerCandidate| rendezvous_weight(candidate, zone);
        weight(b).total_cmp(&weight(a)).then_with(|| a.host.cmp(&b.host))
    });
    owners.truncate(engine_count.div_ceil(ENGINES_PER_OWNER).max(MIN_OWNERS));
    owners
}

fn assign_zone(
    owners: &[&OwnerCandidate],
    engines: &[&ResourceId],
    assignment: &mut BTreeMap<ResourceId, HostId>,
) {
    let capacity: u64 = owners.iter().map(|owner| u64::from(owner.capacity.max(1))).sum();
    let max_engines = |owner: &OwnerCandidate| {
        let share = engines.len() as u64 * u64::from(owner.capacity.max(1));
        share.div_ceil(capacity.max(1)) as usize + MAX_ENGINES_ABOVE_SHARE
    };
    let mut owned_counts = HashMap::<&str, usize>::new();
    for engine in engines {
        let is_below_bound = |owner: &&&OwnerCandidate| {
            owned_counts.get(owner.host.as_str()).copied().unwrap_or(0) < max_engines(owner)
        };
        let best = owners.iter().filter(is_below_bound).max_by(|a, b| {
            let weight = |owner: &OwnerCandidate| rendezvous_weight(owner, engine);
            weight(a).total_cmp(&weight(b)).then_with(|| b.host.cmp(&a.host))
        });
        if let Some(owner) = best {
            *owned_counts.entry(&owner.host).or_default() += 1;
            assignment.insert((*engine).clone(), owner.host.clone());
        }
    }
}

/// Returns the weight of a host for a key in weighted rendezvous hashing: the host with the
/// greatest weight is chosen, each with a probability in proportion to its capacity.
fn rendezvous_weight(candidate: &OwnerCandidate, key: &str) -> f64 {
    let hash = xxh3_64(format!("{}/{key}", candidate.host).as_bytes());
    // Strictly between 0 and 1, so that the logarithm is finite and not zero.
    let uniform = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    f64::from(candidate.capacity.max(1)) / -uniform.ln()
}
