//! Local copy of the store's records, independent of their source.
//!
//! Records arrive from the store itself or from other hosts that follow it, which may lag behind
//! each other. A record never returns to an earlier revision, and a removed record is not restored
//! by a source that has not yet received the removal: a removal is remembered until the replica has
//! every change up to it. When the store returns from an older copy of
//! itself, every revision of the new era is later than those known, so its records replace them.

use crate::packed::RecordText;
use rail_revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Kind of the records that every host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// Routes, services and limits of the fleet.
    Config,
    /// Instances of services and engines.
    Upstreams,
    /// Announcements of adapter versions.
    Versions,
    /// Which host owns which engine.
    Owners,
}

impl RecordKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 4] = [Self::Config, Self::Upstreams, Self::Versions, Self::Owners];

    /// Returns the name of the kind in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Versions => "versions",
            Self::Owners => "owners",
        }
    }
}

/// Stored content and revision of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Revision of the last change of the record.
    pub revision: Revision,
    /// Content as JSON text, compressed if it is long.
    pub text: RecordText,
}

/// Effect of a received record on the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// Ignored: the replica already has this revision or a later one, or removed the record.
    Stale,
    /// The revision is newer, the content is the same.
    Unchanged,
    /// The content is the same, in a later era.
    UnchangedInNewEra,
    /// The record is new or its content differs.
    Changed,
}

impl PutOutcome {
    /// Returns the name of the effect in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stale => "outdated",
            Self::Unchanged => "unchanged",
            Self::UnchangedInNewEra => "unchanged_in_new_era",
            Self::Changed => "changed",
        }
    }
}

/// Local copy of all records of one kind.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    records: BTreeMap<String, Record>,
    /// Names of removed records, each with the revision at which it was gone, if that is later than
    /// `revision`.
    removed: BTreeMap<String, Revision>,
    revision: Revision,
}

impl Replica {
    /// Stores a received record unless it is outdated, and reports the effect.
    ///
    /// An unknown record with a revision up to that of the replica, or of its own removal, was
    /// removed before, and is ignored.
    pub fn put(&mut self, name: &str, revision: Revision, text: RecordText) -> PutOutcome {
        let is_removed = self.is_removed(name, revision);
        match self.records.get_mut(name) {
            Some(known) if revision <= known.revision => return PutOutcome::Stale,
            Some(known) if known.text == text => {
                let is_new_era = revision.era > known.revision.era;
                known.revision = revision;
                return if is_new_era {
                    PutOutcome::UnchangedInNewEra
                } else {
                    PutOutcome::Unchanged
                };
            }
            None if is_removed => return PutOutcome::Stale,
            Some(_) | None => {}
        }
        self.records.insert(name.to_owned(), Record { revision, text });
        PutOutcome::Changed
    }

    /// Removes a record that was gone at a revision, and reports whether it was there. A record
    /// that was created again since stays.
    pub fn remove(&mut self, name: &str, revision: Revision) -> bool {
        if revision > self.revision {
            let removed_at = self.removed.entry(name.to_owned()).or_default();
            *removed_at = revision.max(*removed_at);
        }
        let is_gone = self.records.get(name).is_some_and(|known| known.revision <= revision);
        is_gone && self.records.remove(name).is_some()
    }

    /// Removes the records that a source does not list as of a revision, and returns their names.
    ///
    /// A list older than the replica removes nothing, and records changed after `revision` stay.
    pub fn remove_unlisted(&mut self, names: &[String], revision: Revision) -> Vec<String> {
        if revision < self.revision {
            return Vec::new();
        }
        self.advance(revision);
        let removed = self.records.iter().filter(|(name, record)| {
            record.revision <= revision && !names.iter().any(|other| other == *name)
        });
        let removed: Vec<String> = removed.map(|(name, _)| name.clone()).collect();
        for name in &removed {
            self.records.remove(name);
        }
        removed
    }

    /// Inserts a record again that [`Replica::remove_unlisted`] removed, for a caller that decides
    /// itself when to delete it.
    pub fn restore(&mut self, name: String, record: Record) {
        self.records.insert(name, record);
    }

    /// Records that the source has sent every change up to a revision.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.removed.retain(|_, removed_at| *removed_at > self.revision);
    }

    /// Returns the revision up to which every change is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reports whether the replica has a record with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// Returns whether an unknown record of this revision is known to be gone.
    fn is_removed(&self, name: &str, revision: Revision) -> bool {
        let removed_at = self.removed.get(name).copied().unwrap_or_default();
        revision <= removed_at.max(self.revision)
    }

    /// Iterates over all records with their names, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }
}
