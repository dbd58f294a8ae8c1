//! Removals of records that are deferred, since the record may only have expired while the store was
//! away.

use rail_revision::Revision;
use std::{collections::BTreeMap, time::Duration};

/// A record that is missing and may come back.
#[derive(Debug, Clone, Copy)]
struct DeferredRemoval {
    /// Revision at which the record was gone.
    gone_at: Revision,
    due_at: Duration,
}

/// Deferred removals of the records of one kind, by name.
#[derive(Debug, Clone, Default)]
pub struct DeferredRemovals {
    removals: BTreeMap<String, DeferredRemoval>,
}

impl DeferredRemovals {
    /// Defers the removal of a record that was gone at a revision. If it is deferred already and the
    /// record hasn't come back since, the earlier time holds.
    pub fn defer(&mut self, name: &str, gone_at: Revision, due_at: Duration) {
        let removal = DeferredRemoval { gone_at, due_at };
        let known = self.removals.entry(name.to_owned()).or_insert(removal);
        known.gone_at = known.gone_at.max(gone_at);
        known.due_at = known.due_at.min(due_at);
    }

    /// Records that a record has come back at a revision, so that it stays. An earlier revision, which
    /// arrives late from another source, was gone too.
    pub fn cancel(&mut self, name: &str, revision: Revision) {
        if self.removals.get(name).is_some_and(|removal| removal.gone_at < revision) {
            self.removals.remove(name);
        }
    }

    /// Ends the removal of a record if it is due, and returns the revision at which the record was
    /// gone.
    pub fn take_due(&mut self, name: &str, now: Duration) -> Option<Revision> {
        let removal = self.removals.get(name).filter(|removal| removal.due_at <= now)?;
        let gone_at = removal.gone_at;
        self.removals.remove(name);
        Some(gone_at)
    }
}
