//! Who should own a resource, and the transfers that lead there.

use crate::record::{OwnershipRecord, ResourceId, SessionRecord};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Resources that one session may hold above the mean.
pub const MAX_RESOURCES_ABOVE_MEAN: usize = 1;

/// What the shell should send to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipCommand {
    /// Create the first record of a resource.
    Create(OwnershipRecord),
    /// Take a resource over if its record still has this version.
    TakeOver {
        /// New content.
        record: OwnershipRecord,
        /// Version that must stand.
        expected_version: String,
    },
}

/// Plans what `me` should take: resources whose owner is not live and whose preferred owner is `me`.
///
/// `resources` gives each resource with its zone; `owners` the stored records with their version.
pub fn plan_ownership(
    me: &SessionRecord,
    live: &[SessionRecord],
    resources: &BTreeMap<ResourceId, String>,
    owners: &BTreeMap<ResourceId, (OwnershipRecord, String)>,
) -> Vec<OwnershipCommand> {
    let preferred = preferred_owners(live, resources);
    let mut commands = Vec::new();
    for resource in resources.keys() {
        if preferred.get(resource) != Some(&me.session_id) {
            continue;
        }
        let record = |fence| OwnershipRecord {
            resource: resource.clone(),
            session_id: me.session_id,
            address: me.address,
            fence,
            released: false,
        };
        match owners.get(resource) {
            None => commands.push(OwnershipCommand::Create(record(1))),
            Some((owner, version)) if owner.released || !is_live(live, owner.session_id) => {
                commands.push(OwnershipCommand::TakeOver {
                    record: record(owner.fence + 1),
                    expected_version: version.clone(),
                });
            }
            Some(_) => {}
        }
    }
    commands
}

/// Assigns each resource to the best session by rendezvous hash, same zone first, with bounded load.
pub fn preferred_owners(
    live: &[SessionRecord],
    resources: &BTreeMap<ResourceId, String>,
) -> BTreeMap<ResourceId, u64> {
    let candidates: Vec<&SessionRecord> = live.iter().filter(|s| !s.leaving).collect();
    if candidates.is_empty() {
        return BTreeMap::new();
    }
    let bound = resources.len().div_ceil(candidates.len()) + MAX_RESOURCES_ABOVE_MEAN;
    let mut held = BTreeMap::<u64, usize>::new();
    let mut preferred = BTreeMap::new();
    for (resource, zone) in resources {
        let best = candidates
            .iter()
            .filter(|s| held.get(&s.session_id).copied().unwrap_or(0) < bound)
            .max_by_key(|s| (s.zone == *zone, score(&s.host, resource), s.session_id));
        if let Some(session) = best {
            *held.entry(session.session_id).or_default() += 1;
            preferred.insert(resource.clone(), session.session_id);
        }
    }
    preferred
}

fn is_live(live: &[SessionRecord], session_id: u64) -> bool {
    live.iter().any(|s| s.session_id == session_id)
}

fn score(host: &str, resource: &str) -> u64 {
    xxh3_64(format!("{host}/{resource}").as_bytes())
}
