//! Preferred owner of each resource, and the transfers to that owner.

use crate::record::{OwnershipRecord, ResourceId, SessionRecord};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number by which the resources of one preferred owner may exceed the mean per session, which is
/// rounded up.
pub const MAX_RESOURCES_ABOVE_MEAN: usize = 1;

/// Write that the calling process should send to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipCommand {
    /// Create the first record of a resource.
    Create(OwnershipRecord),
    /// Take over a resource if its record still has this version.
    TakeOver {
        /// New content of the record.
        record: OwnershipRecord,
        /// Version that the stored record must still have.
        expected_version: String,
    },
}

/// Plans the resources that session `own` should take over: those without a live owner whose
/// preferred owner is `own`.
///
/// `resources` maps each resource to its availability zone, `owners` to its stored record and the
/// version of that record.
pub fn plan_ownership(
    own: &SessionRecord,
    live: &[SessionRecord],
    resources: &BTreeMap<ResourceId, String>,
    owners: &BTreeMap<ResourceId, (OwnershipRecord, String)>,
) -> Vec<OwnershipCommand> {
    let preferred = preferred_owners(live, resources);
    let mut commands = Vec::new();
    for resource in resources.keys() {
        if preferred.get(resource) != Some(&own.session_id) {
            continue;
        }
        let record = |fence| OwnershipRecord {
            resource: resource.clone(),
            session_id: own.session_id,
            address: own.address,
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

/// Assigns each resource to a session by rendezvous hashing with bounded load; sessions in the zone
/// of the resource are preferred.
pub fn preferred_owners(
    live: &[SessionRecord],
    resources: &BTreeMap<ResourceId, String>,
) -> BTreeMap<ResourceId, u64> {
    let candidates: Vec<&SessionRecord> = live.iter().filter(|session| !session.leaving).collect();
    if candidates.is_empty() {
        return BTreeMap::new();
    }
    let max_owned = resources.len().div_ceil(candidates.len()) + MAX_RESOURCES_ABOVE_MEAN;
    let mut owned_counts = BTreeMap::<u64, usize>::new();
    let mut preferred = BTreeMap::new();
    for (resource, zone) in resources {
        let best = candidates
            .iter()
            .filter(|session| {
                owned_counts.get(&session.session_id).copied().unwrap_or(0) < max_owned
            })
            .max_by_key(|session| {
                (
                    session.zone == *zone,
                    rendezvous_hash(&session.host, resource),
                    session.session_id,
                )
            });
        if let Some(session) = best {
            *owned_counts.entry(session.session_id).or_default() += 1;
            preferred.insert(resource.clone(), session.session_id);
        }
    }
    preferred
}

fn is_live(live: &[SessionRecord], session_id: u64) -> bool {
    live.iter().any(|session| session.session_id == session_id)
}

fn rendezvous_hash(host: &str, resource: &str) -> u64 {
    xxh3_64(format!("{host}/{resource}").as_bytes())
}
