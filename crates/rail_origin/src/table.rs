//! Streams by the request that began them.

use crate::RETENTION;
use rail_route::SoftwareVersion;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Most streams that are remembered; beyond it the oldest is forgotten.
const MAX_STREAMS: usize = 100_000;

/// Hash of the identifier of the request that brought the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a request began.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// Software versions at which streams began, by the request that began them.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    origins: HashMap<StreamKey, Arc<str>>,
    /// Streams in the order in which they were recorded.
    recorded: VecDeque<(Duration, StreamKey)>,
    /// Each version once.
    versions: BTreeSet<Arc<str>>,
}

impl OriginTable {
    /// Records at which version a stream began; returns whether that is new. What was recorded
    /// first stands.
    pub fn record(&mut self, stream: StreamKey, software: &str, now: Duration) -> bool {
        if self.origins.contains_key(&stream) {
            return false;
        }
        if self.recorded.len() >= MAX_STREAMS {
            self.forget_oldest();
        }
        let known = self.versions.get(software).cloned();
        let version = known.unwrap_or_else(|| Arc::from(software));
        self.versions.insert(Arc::clone(&version));
        self.origins.insert(stream, version);
        self.recorded.push_back((now, stream));
        true
    }

    /// Returns the version at which a stream began.
    pub fn find(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        self.origins.get(&stream).map(ToString::to_string)
    }

    /// Iterates over all streams and the versions at which they began.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &str)> {
        self.origins.iter().map(|(stream, version)| (*stream, version.as_ref()))
    }

    /// Forgets streams that no caller resumes any more.
    pub fn prune(&mut self, now: Duration) {
        while self.recorded.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= RETENTION) {
            self.forget_oldest();
        }
        if self.origins.is_empty() {
            self.versions.clear();
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.recorded.pop_front() {
            self.origins.remove(&stream);
        }
    }
}
