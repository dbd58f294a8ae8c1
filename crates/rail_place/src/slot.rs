//! One adapter slot, with the states and events of `charts/residency.toml`.

use serde::Deserialize;
use std::time::Duration;

/// State of an adapter on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The engine does not have the adapter.
    Absent,
    /// A load was ordered and has not ended.
    Loading,
    /// The adapter is loaded and can serve requests.
    Resident,
    /// An eviction was ordered and has not ended.
    Evicting,
}

/// Event that changes the state of an adapter on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotEvent {
    /// A load is ordered.
    Load,
    /// The engine reported an adapter that a previous owner loaded.
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
    /// The engine no longer reports the adapter.
    Vanished,
    /// The engine restarted with no adapter loaded.
    Restarted,
}

#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) state: SlotState,
    /// Distinguishes this occupation of the slot from later ones of the same adapter.
    pub(crate) serial: u64,
    /// Requests that the adapter serves now.
    pub(crate) in_use: u32,
    /// Requests that the adapter has served since its load.
    pub(crate) uses: u32,
    pub(crate) used_at: Duration,
    pub(crate) changed_at: Duration,
    /// Whether another version of the adapter was loaded later.
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
