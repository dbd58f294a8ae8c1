//! One adapter slot and the names that its state chart uses.

use serde::Deserialize;
use std::time::Duration;

/// State of one adapter on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// Not on the engine.
    Absent,
    /// A load was ordered.
    Loading,
    /// It can serve.
    Resident,
    /// An eviction was ordered.
    Evicting,
}

/// What happens to one adapter on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotEvent {
    /// A load is ordered.
    Load,
    /// The engine was found to have it.
    Adopt,
    /// The load succeeded.
    Loaded,
    /// The load failed.
    LoadFailed,
    /// An eviction is ordered.
    Evict,
    /// The eviction succeeded.
    Evicted,
    /// The eviction failed.
    EvictFailed,
    /// The engine was found not to have it.
    Vanished,
    /// The engine started cold.
    Restarted,
}

#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) state: SlotState,
    pub(crate) serial: u64,
    pub(crate) in_use: u32,
    pub(crate) uses: u32,
    pub(crate) used_at: Duration,
    pub(crate) changed_at: Duration,
    pub(crate) is_superseded: bool,
}

impl Slot {
    pub(crate) fn new(state: SlotState, serial: u64, now: Duration) -> Self {
        let (used_at, changed_at) = (now, now);
        Self { state, serial, in_use: 0, uses: 0, used_at, changed_at, is_superseded: false }
    }

    pub(crate) fn is_evictable(&self) -> bool {
        self.in_use == 0 && self.state == SlotState::Resident
    }
}
