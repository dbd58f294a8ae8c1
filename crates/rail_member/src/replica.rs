//! A host's copy of the store's records, whoever they come from.
//!
//! Records come from the store itself or from other hosts that follow it, which may be some
//! moments behind each other. A record never goes back to an earlier revision, and one that is
//! gone does not come back through a source that has not heard of it yet.

use crate::packed::RecordText;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Revision of the store or of one record.
pub type Revision = u64;

/// Kinds of records that every host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// The configuration.
    Config,
    /// Upstreams.
    Upstreams,
    /// Announced adapter versions.
    Versions,
    /// Owners of engines.
    Owners,
}

impl RecordKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Config, Self::Upstreams, Self::Versions, Self::Owners];
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Revision of its last change.
    pub revision: Revision,
    /// Content as JSON text.
    pub text: RecordText,
}

/// What a record that came in says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// Nothing: it is older than what is known.
    Stale,
    /// It has another revision with the same content.
    Unchanged,
    /// Its content is new.
    Changed,
}

/// Copy of the records of one kind.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, Record>,
    revision: Revision,
}

impl Replica {
    /// Takes a record; gives what it says.
    ///
    /// A record that is not known but older than this copy was removed before.
    pub fn put(&mut self, name: &str, revision: Revision, text: RecordText) -> PutOutcome {
        match self.records.get_mut(name) {
            Some(known) if revision <= known.revision => return PutOutcome::Stale,
            Some(known) if known.text == text => {
                known.revision = revision;
                return PutOutcome::Unchanged;
            }
            None if revision <= self.revision => return PutOutcome::Stale,
            Some(_) | None => {}
        }
        self.records.insert(name.to_owned(), Record { revision, text });
        PutOutcome::Changed
    }

    /// Takes that a record is gone; gives whether it was known.
    pub fn remove(&mut self, name: &str) -> bool {
        self.records.remove(name).is_some()
    }

    /// Takes the names of all records as of a revision; gives those that are gone.
    ///
    /// A source that is behind this copy removes nothing.
    pub fn remove_unlisted(&mut self, names: &[String], revision: Revision) -> Vec<String> {
        if revision < self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let gone = self.records.iter().filter(|(name, record)| {
            record.revision <= revision && !names.iter().any(|other| other == *name)
        });
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.records.remove(name);
        }
        gone
    }

    /// Puts back a record that was taken to be gone.
    pub fn restore(&mut self, name: String, record: Record) {
        self.records.insert(name, record);
    }

    /// Takes that the source has passed on every change up to a revision.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Gives the revision up to which every change is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reports whether a record is known.
    pub fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// Lists all records.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }
}
