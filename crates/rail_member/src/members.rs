//! The newest heartbeat of each process.

use crate::heartbeat::{Heartbeat, Role};
use std::{collections::BTreeMap, time::Duration};

/// A process as last heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that heartbeat arrived, on the local monotonic clock.
    pub received_at: Duration,
}

/// Table of known processes.
#[derive(Debug, Clone, Default)]
pub struct Members {
    members: BTreeMap<(String, Role), Member>,
}

impl Members {
    /// Takes in a heartbeat; returns whether it was newer than the known one.
    pub fn observe(&mut self, mut heartbeat: Heartbeat, now: Duration) -> bool {
        let key = (heartbeat.host.clone(), heartbeat.role);
        if let Some(known) = self.members.get(&key) {
            let known_age = (known.heartbeat.incarnation, known.heartbeat.sequence);
            if (heartbeat.incarnation, heartbeat.sequence) <= known_age {
                return false;
            }
            let same_incarnation = heartbeat.incarnation == known.heartbeat.incarnation;
            heartbeat.leaving |= same_incarnation && known.heartbeat.leaving;
        }
        self.members.insert(key, Member { heartbeat, received_at: now });
        true
    }

    /// Lists processes heard within `max_age`.
    pub fn fresh(&self, now: Duration, max_age: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| now.saturating_sub(m.received_at) <= max_age)
    }

    /// Lists all known processes.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
