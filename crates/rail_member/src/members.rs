//! Table of the newest heartbeat of each process.

use crate::heartbeat::{Heartbeat, Role};
use std::{collections::BTreeMap, time::Duration};

/// A process and its newest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Newest heartbeat that arrived from the process, directly or through a peer.
    pub heartbeat: Heartbeat,
    /// Time at which that heartbeat arrived, on the local monotonic clock.
    pub received_at: Duration,
}

/// Newest heartbeat of each known process, by host and role.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: BTreeMap<(String, Role), Member>,
}

impl Members {
    /// Records a heartbeat and reports whether it was newer than the known one.
    ///
    /// An older one is ignored. The leaving mark is never withdrawn within one incarnation.
    pub fn observe(&mut self, mut heartbeat: Heartbeat, now: Duration) -> bool {
        let key = (heartbeat.host.clone(), heartbeat.role);
        if let Some(known) = self.members.get(&key) {
            let known_order = (known.heartbeat.incarnation, known.heartbeat.sequence);
            if (heartbeat.incarnation, heartbeat.sequence) <= known_order {
                return false;
            }
            let same_incarnation = heartbeat.incarnation == known.heartbeat.incarnation;
            heartbeat.leaving |= same_incarnation && known.heartbeat.leaving;
        }
        self.members.insert(key, Member { heartbeat, received_at: now });
        true
    }

    /// Iterates over the processes whose newest heartbeat arrived at most `max_age` ago.
    pub fn recent(&self, now: Duration, max_age: Duration) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| now.saturating_sub(member.received_at) <= max_age)
    }

    /// Iterates over all known processes, live or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
