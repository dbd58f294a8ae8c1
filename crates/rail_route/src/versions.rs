//! Announced versions of adapter weights.

use crate::upstream::AdapterVersion;
use std::{collections::HashMap, time::Duration};

#[derive(Debug, Clone, Copy)]
struct AnnouncedVersion {
    version: AdapterVersion,
    seen_at: Duration,
}

/// Newest announced version of each adapter, by `model/adapter`.
#[derive(Debug, Clone, Default)]
pub struct AdapterVersions {
    newest: HashMap<String, AnnouncedVersion>,
}

impl AdapterVersions {
    /// Records an announced version, and reports whether it is newer than the known one; an older
    /// one is ignored.
    pub fn record(&mut self, adapter: &str, version: AdapterVersion, now: Duration) -> bool {
        if self.newest(adapter).is_some_and(|known| known >= version) {
            return false;
        }
        self.newest.insert(adapter.to_owned(), AnnouncedVersion { version, seen_at: now });
        true
    }

    /// Returns the newest version of an adapter, if one was announced.
    pub fn newest(&self, adapter: &str) -> Option<AdapterVersion> {
        self.newest.get(adapter).map(|announced| announced.version)
    }

    /// Returns the newest version of an adapter and the time at which this process received it.
    pub fn newest_since(&self, adapter: &str) -> Option<(AdapterVersion, Duration)> {
        self.newest.get(adapter).map(|announced| (announced.version, announced.seen_at))
    }

    /// Iterates over all adapters, with the newest version and the time at which this process
    /// received it.
    pub fn iter(&self) -> impl Iterator<Item = (&str, AdapterVersion, Duration)> {
        self.newest
            .iter()
            .map(|(adapter, announced)| (adapter.as_str(), announced.version, announced.seen_at))
    }
}
