//! Announced versions of adapters.

use crate::upstream::AdapterVersion;
use std::{collections::HashMap, time::Duration};

#[derive(Debug, Clone, Copy)]
struct Announced {
    version: AdapterVersion,
    seen_at: Duration,
}

/// Newest announced version of each adapter, by `model/adapter`.
#[derive(Debug, Clone, Default)]
pub struct AdapterVersions {
    newest: HashMap<String, Announced>,
}

impl AdapterVersions {
    /// Takes an announcement; an older one than known is ignored. Gives whether it is news.
    pub fn record(&mut self, adapter: &str, version: AdapterVersion, now: Duration) -> bool {
        if self.newest(adapter).is_some_and(|known| known >= version) {
            return false;
        }
        self.newest.insert(adapter.to_owned(), Announced { version, seen_at: now });
        true
    }

    /// Gives the newest version, if one was announced.
    pub fn newest(&self, adapter: &str) -> Option<AdapterVersion> {
        self.newest.get(adapter).map(|announced| announced.version)
    }

    /// Gives the newest version and when this process learned of it.
    pub fn newest_since(&self, adapter: &str) -> Option<(AdapterVersion, Duration)> {
        self.newest.get(adapter).map(|announced| (announced.version, announced.seen_at))
    }

    /// Lists every adapter with its newest version and when this process learned of it.
    pub fn iter(&self) -> impl Iterator<Item = (&str, AdapterVersion, Duration)> {
        self.newest
            .iter()
            .map(|(adapter, announced)| (adapter.as_str(), announced.version, announced.seen_at))
    }
}
