//! Ids of the requests that were refused on one connection.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Most ids that are kept. A connection on which more requests were refused is closed.
const MAX_REFUSED_IDS: usize = 512;

/// Hashes of the ids that were refused on one connection. Two ids of one hash cost a new connection.
#[derive(Debug, Default)]
pub struct RefusedIds {
    hashes: HashSet<u64>,
}

impl RefusedIds {
    /// Records that the request of this id was refused.
    pub fn insert(&mut self, id: &str) {
        self.hashes.insert(hash(id));
    }

    /// Returns whether the request of this id may have been refused.
    pub fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash(id))
    }

    /// Returns whether no further id can be recorded.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REFUSED_IDS
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
