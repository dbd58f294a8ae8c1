//! Origins of streams as a keeper stores them, for hosts that were all killed at once.
//!
//! A keeper writes the streams of each [`SLOT_TIME`] into an object of their own, so that an object
//! stays small although it is written again with every few streams. The objects form a ring.

use crate::{OriginKnowledge, StreamKey};
use rail_route::{ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time whose streams are stored in one object.
const SLOT_TIME: Duration = Duration::from_secs(5);
/// Objects of a keeper; together they last for longer than streams are resumed.
const SLOTS: u64 = 8;
/// Age up to which a stored object counts. Clocks of two hosts may differ by seconds.
const MAX_STORED_AGE: Duration = Duration::from_secs(120);

/// Streams by the software version at which they began.
pub type StreamsByVersion = BTreeMap<SoftwareVersion, Vec<StreamKey>>;

/// Number of a span of [`SLOT_TIME`] since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot(u64);

impl Slot {
    /// Returns the slot of a time of day.
    pub fn at(since_epoch: Duration) -> Self {
        Self(since_epoch.as_secs() / SLOT_TIME.as_secs())
    }

    /// Returns the name of the object in which a host stores this slot.
    pub fn object_name(self, host: &str) -> String {
        format!("{host}-{}", self.0 % SLOTS)
    }
}

/// One stored object. While a service is named, several of its versions served lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOrigins {
    slot: Slot,
    services: BTreeMap<ServiceId, StreamsByVersion>,
}

impl StoredOrigins {
    /// Returns what this object says of a stream of a service, read at a time of day.
    pub fn knowledge(
        &self,
        service: &str,
        stream: Option<StreamKey>,
        since_epoch: Duration,
    ) -> OriginKnowledge {
        let age = SLOT_TIME * Slot::at(since_epoch).0.abs_diff(self.slot.0) as u32;
        let Some(versions) = self.services.get(service).filter(|_| age <= MAX_STORED_AGE) else {
            return OriginKnowledge::Unaware;
        };
        let began_at = |streams: &Vec<StreamKey>| stream.is_some_and(|key| streams.contains(&key));
        match versions.iter().find(|(_, streams)| began_at(streams)) {
            Some((version, _)) => OriginKnowledge::Began(version.clone()),
            None => OriginKnowledge::Unrecorded,
        }
    }
}

/// The slots that a keeper writes.
#[derive(Debug, Clone, Default)]
pub struct OriginJournal {
    slots: BTreeMap<Slot, BTreeMap<ServiceId, StreamsByVersion>>,
    changed: BTreeSet<Slot>,
}

impl OriginJournal {
    /// Adds streams that were told in a slot.
    pub fn add(&mut self, slot: Slot, service: &str, streams: StreamsByVersion) {
        let versions = self.slots.entry(slot).or_default().entry(service.to_owned()).or_default();
        for (version, added) in streams {
            versions.entry(version).or_default().extend(added);
        }
        self.changed.insert(slot);
        while self.slots.len() as u64 > SLOTS {
            self.slots.pop_first();
        }
    }

    /// Adds what an earlier process of this host stored in the same slot.
    pub fn merge_stored(&mut self, stored: StoredOrigins) {
        if self.slots.contains_key(&stored.slot) {
            for (service, streams) in stored.services {
                self.add(stored.slot, &service, streams);
            }
        }
    }

    /// Marks a slot as not stored yet.
    pub fn put_back(&mut self, slot: Slot) {
        self.changed.insert(slot);
    }

    /// Returns the next slot that has changed since it was taken, as it has to be stored.
    pub fn take_changed(&mut self) -> Option<(Slot, StoredOrigins)> {
        while let Some(slot) = self.changed.pop_first() {
            if let Some(services) = self.slots.get(&slot) {
                return Some((slot, StoredOrigins { slot, services: services.clone() }));
            }
        }
        None
    }
}
