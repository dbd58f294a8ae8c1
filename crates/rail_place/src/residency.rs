//! Adapters resident on one engine.

use std::{collections::BTreeMap, time::Duration};

/// Model name in its text form, `base:adapter@version`.
pub type AdapterKey = String;

/// What must happen before an adapter can serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is resident.
    Resident,
    /// A load is under way.
    Loading,
    /// Load it into a free slot.
    Load,
    /// Evict this adapter first, then load.
    Evict(AdapterKey),
    /// Every slot is in use; wait.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum SlotState {
    Loading,
    Resident,
    Evicting,
}

#[derive(Debug, Clone)]
struct Slot {
    state: SlotState,
    in_use: u32,
    used_at: Duration,
}

/// Adapter slots of one engine.
#[derive(Debug, Clone)]
pub struct Residency {
    slots: usize,
    entries: BTreeMap<AdapterKey, Slot>,
}

impl Residency {
    /// Starts with no adapter loaded.
    pub fn new(slots: usize) -> Self {
        Self { slots, entries: BTreeMap::new() }
    }

    /// Tells what must happen before this adapter can serve.
    pub fn admit(&self, adapter: &str) -> Admission {
        match self.entries.get(adapter).map(|slot| &slot.state) {
            Some(SlotState::Resident) => Admission::Resident,
            Some(SlotState::Loading) => Admission::Loading,
            Some(SlotState::Evicting) => Admission::Full,
            None if self.entries.len() < self.slots => Admission::Load,
            None => self.victim().map_or(Admission::Full, Admission::Evict),
        }
    }

    /// Reserves a slot for a load.
    pub fn start_load(&mut self, adapter: &str, now: Duration) {
        let slot = Slot { state: SlotState::Loading, in_use: 0, used_at: now };
        self.entries.insert(adapter.to_owned(), slot);
    }

    /// Records the end of a load.
    pub fn finish_load(&mut self, adapter: &str, loaded: bool) {
        if loaded {
            if let Some(slot) = self.entries.get_mut(adapter) {
                slot.state = SlotState::Resident;
            }
        } else {
            self.entries.remove(adapter);
        }
    }

    /// Marks an adapter as being evicted; nothing may use it any more.
    pub fn start_evict(&mut self, adapter: &str) {
        if let Some(slot) = self.entries.get_mut(adapter) {
            debug_assert_eq!(slot.in_use, 0, "an adapter in use is never evicted");
            slot.state = SlotState::Evicting;
        }
    }

    /// Records the end of an eviction.
    pub fn finish_evict(&mut self, adapter: &str, evicted: bool) {
        if evicted {
            self.entries.remove(adapter);
        } else if let Some(slot) = self.entries.get_mut(adapter) {
            slot.state = SlotState::Resident;
        }
    }

    /// Marks an adapter as serving one more request; returns whether it is resident.
    pub fn acquire(&mut self, adapter: &str, now: Duration) -> bool {
        match self.entries.get_mut(adapter) {
            Some(slot) if slot.state == SlotState::Resident => {
                slot.in_use += 1;
                slot.used_at = now;
                true
            }
            _ => false,
        }
    }

    /// Marks an adapter as serving one request fewer.
    pub fn release(&mut self, adapter: &str) {
        if let Some(slot) = self.entries.get_mut(adapter) {
            slot.in_use = slot.in_use.saturating_sub(1);
        }
    }

    /// Takes in an adapter that a previous owner loaded, in use until [`Residency::release`].
    pub fn adopt(&mut self, adapter: &str, now: Duration) {
        let slot = Slot { state: SlotState::Resident, in_use: 1, used_at: now };
        self.entries.entry(adapter.to_owned()).or_insert(slot);
    }

    /// Forgets everything, after the engine restarted.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn victim(&self) -> Option<AdapterKey> {
        self.entries
            .iter()
            .filter(|(_, slot)| slot.in_use == 0 && slot.state == SlotState::Resident)
            .min_by_key(|(_, slot)| slot.used_at)
            .map(|(adapter, _)| adapter.clone())
    }
}
