//! Announced versions of adapter weights.

use std::{collections::HashMap, time::Duration};

/// Most versions of one adapter whose times are kept.
const MAX_KEPT_VERSIONS: usize = 16;

/// Version of an adapter's weights.
pub type AdapterVersion = u64;
/// Time before which a version was certainly not announced, on a clock of the caller; `None` if it
/// may have been announced at any time.
pub type AnnouncedAfter = Option<Duration>;

#[derive(Debug, Clone, Copy)]
struct AnnouncedVersion {
    version: AdapterVersion,
    announced_after: AnnouncedAfter,
}

/// Announced versions of one adapter. A version that is announced before the one before it is in
/// place doesn't extend the time of that one, so each keeps its own.
#[derive(Debug, Clone)]
struct AdapterHistory {
    newest: AnnouncedVersion,
    /// Earlier versions, the oldest first.
    earlier: Vec<AnnouncedVersion>,
}

/// Announced versions of all adapters, by `model/adapter`.
#[derive(Debug, Clone, Default)]
pub struct AdapterVersions {
    adapters: HashMap<String, AdapterHistory>,
}

impl AdapterHistory {
    fn iter(&self) -> impl Iterator<Item = &AnnouncedVersion> {
        self.earlier.iter().chain([&self.newest])
    }

    fn push(&mut self, announced: AnnouncedVersion) {
        self.earlier.push(std::mem::replace(&mut self.newest, announced));
        if self.earlier.len() >= MAX_KEPT_VERSIONS {
            // The next version takes the time of the oldest one, which is never too late.
            let oldest = self.earlier.remove(0);
            let next = &mut self.earlier[0];
            next.announced_after = next.announced_after.min(oldest.announced_after);
        }
    }
}

impl AdapterVersions {
    /// Records an announced version, and reports whether it is newer than the known ones; an older
    /// one is ignored.
    pub fn record(
        &mut self,
        adapter: &str,
        version: AdapterVersion,
        announced_after: AnnouncedAfter,
    ) -> bool {
        let announced = AnnouncedVersion { version, announced_after };
        match self.adapters.get_mut(adapter) {
            Some(known) if known.newest.version >= version => return false,
            Some(known) => known.push(announced),
            None => {
                let history = AdapterHistory { newest: announced, earlier: Vec::new() };
                self.adapters.insert(adapter.to_owned(), history);
            }
        }
        true
    }

    /// Returns the newest version of an adapter, if one was announced.
    pub fn newest(&self, adapter: &str) -> Option<AdapterVersion> {
        self.adapters.get(adapter).map(|history| history.newest.version)
    }

    /// Returns the time from which a version of an adapter must not be used any more: `timeout`
    /// after the first newer version may have been announced. `used` is `None` if the version is not
    /// known. Returns `None` if no newer version was announced.
    pub fn outdated_at(
        &self,
        adapter: &str,
        used: Option<AdapterVersion>,
        timeout: Duration,
    ) -> Option<Duration> {
        let announced = self.adapters.get(adapter)?.iter();
        let newer = announced.filter(|announced| Some(announced.version) > used);
        let first = newer.map(|announced| announced.announced_after).min()?;
        Some(first.map_or(Duration::ZERO, |announced_after| announced_after + timeout))
    }

    /// Returns the number of adapters of which a version was announced.
    pub fn len(&self) -> usize {
        self.adapters.len()
    }

    /// Returns whether no version was announced.
    pub fn is_empty(&self) -> bool {
        self.adapters.is_empty()
    }

    /// Iterates over the versions of all adapters; those of one adapter in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, AdapterVersion, AnnouncedAfter)> {
        self.adapters.iter().flat_map(|(adapter, history)| {
            let versions = history.iter();
            versions.map(|known| (adapter.as_str(), known.version, known.announced_after))
        })
    }
}
