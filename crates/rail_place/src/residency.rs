//! Adapter slots of one engine: loads, uses and evictions.

use crate::{
    backoff::Backoff,
    demand::Demand,
    error::{Error, Result},
    policy::Eviction,
    slot::{Slot, SlotEvent, SlotState},
};
use rail_chart::Chart;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Model name in its text form, `base:adapter@version`.
pub type AdapterKey = String;

/// State chart of one adapter slot.
const CHART: &str = include_str!("../../../charts/residency.toml");
/// Weight of the newest load time in the moving average of the reload cost.
const NEWEST_LOAD_WEIGHT: f64 = 0.2;
/// Reload cost in seconds of an adapter that was never loaded here.
const DEFAULT_RELOAD_COST_S: f64 = 0.25;
/// Lower bound of the reload cost in seconds, so that demand counts even for quick loads.
const MIN_RELOAD_COST_S: f64 = 0.01;

/// What must happen before an adapter can serve requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadDecision {
    /// Nothing: the adapter is resident.
    Resident,
    /// Wait: a load is in progress.
    Loading,
    /// Load it into a free slot.
    Load,
    /// Evict this adapter first, then load.
    Evict(AdapterKey),
    /// Wait: every slot is in use, or the adapter itself is being evicted.
    Full,
    /// Wait this long, since earlier loads failed.
    BackOff(Duration),
}

/// Identifies one use, load or eviction of a slot, which is ended by passing the ticket back.
///
/// A ticket is valid only while the slot is occupied as it was when the ticket was issued. Passing
/// it back later has no effect on a newer occupation of the slot.
#[must_use = "the slot stays occupied until the ticket is passed back"]
#[derive(Debug, PartialEq, Eq)]
pub struct SlotTicket {
    adapter: AdapterKey,
    serial: u64,
}

impl SlotTicket {
    /// Returns the adapter that the slot holds.
    pub fn adapter(&self) -> &str {
        &self.adapter
    }
}

/// Tracks the adapter slots of one engine and selects adapters for eviction.
#[derive(Debug, Clone)]
pub struct Residency {
    chart: Chart<SlotState, SlotEvent>,
    slots: usize,
    eviction: Eviction,
    next_serial: u64,
    changed_at: Duration,
    entries: BTreeMap<AdapterKey, Slot>,
    reload_costs_s: BTreeMap<AdapterKey, f64>,
    demand: Demand,
    backoff: Backoff,
}

impl Residency {
    /// Creates the slots of an engine with no adapter loaded.
    ///
    /// # Panics
    /// Panics if the embedded state chart is not valid.
    pub fn new(slots: usize, eviction: Eviction) -> Self {
        Self {
            chart: Chart::parse(CHART).expect("the embedded chart is valid"),
            slots,
            eviction,
            next_serial: 0,
            changed_at: Duration::ZERO,
            entries: BTreeMap::new(),
            reload_costs_s: BTreeMap::new(),
            demand: Demand::default(),
            backoff: Backoff::default(),
        }
    }

    /// Records the arrival of one request for an adapter.
    pub fn record_demand(&mut self, adapter: &str, now: Duration) {
        self.demand.record(adapter, now);
    }

    /// Returns the decayed number of requests for an adapter.
    pub fn demand(&self, adapter: &str, now: Duration) -> f64 {
        self.demand.level(adapter, now)
    }

    /// Reports whether an adapter can serve requests now.
    pub fn is_resident(&self, adapter: &str) -> bool {
        self.entries.get(adapter).is_some_and(|slot| slot.state == SlotState::Resident)
    }

    /// Returns the number of requests that an adapter serves now.
    pub fn in_use_count(&self, adapter: &str) -> u32 {
        self.entries.get(adapter).map_or(0, |slot| slot.in_use)
    }

    /// Returns the time at which an adapter became resident; `None` if it is not.
    pub fn resident_since(&self, adapter: &str) -> Option<Duration> {
        let slot = self.entries.get(adapter)?;
        (slot.state == SlotState::Resident).then_some(slot.changed_at)
    }

    /// Returns the number of slots whose adapter is loaded, being loaded or being evicted.
    pub fn occupied_slots(&self) -> usize {
        self.entries.len()
    }

    /// Decides what must happen before an adapter can serve requests.
    ///
    /// `waiting` contains the number of waiting requests for each adapter; they count as demand
    /// when an adapter is selected for eviction.
    pub fn decide_load(
        &self,
        adapter: &str,
        waiting: &BTreeMap<AdapterKey, u32>,
        now: Duration,
    ) -> LoadDecision {
        match self.entries.get(adapter).map(|slot| slot.state) {
            Some(SlotState::Resident) => return LoadDecision::Resident,
            Some(SlotState::Loading) => return LoadDecision::Loading,
            Some(SlotState::Evicting) => return LoadDecision::Full,
            Some(SlotState::Absent) | None => {}
        }
        let delay = self.backoff.remaining(adapter, now);
        if !delay.is_zero() {
            return LoadDecision::BackOff(delay);
        }
        if self.entries.len() < self.slots {
            return LoadDecision::Load;
        }
        self.eviction_candidate(waiting, now).map_or(LoadDecision::Full, LoadDecision::Evict)
    }

    /// Reserves a slot for a load and marks other versions of the adapter to be evicted first once
    /// they are idle.
    ///
    /// # Errors
    /// Returns [`Error::NoSlot`] when every slot is occupied, and [`Error::Chart`] when the adapter
    /// is not absent.
    pub fn start_load(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        if self.entries.len() >= self.slots && !self.entries.contains_key(adapter) {
            return Err(Error::NoSlot);
        }
        let ticket = self.occupy_slot(adapter, SlotEvent::Load, now)?;
        for (other, slot) in &mut self.entries {
            slot.is_superseded |= other != adapter && is_same_adapter(other, adapter);
        }
        Ok(ticket)
    }

    /// Records the end of a load; `jitter` is a random number in 0..1 that spreads the delay after
    /// a failure.
    ///
    /// # Errors
    /// Returns [`Error::StaleTicket`] when the slot that the load was for no longer exists.
    pub fn finish_load(
        &mut self,
        ticket: SlotTicket,
        loaded: bool,
        now: Duration,
        jitter: f64,
    ) -> Result<()> {
        let event = if loaded { SlotEvent::Loaded } else { SlotEvent::LoadFailed };
        let started_at = self.slot(&ticket)?.changed_at;
        let SlotTicket { adapter, .. } = ticket;
        self.apply_event(&adapter, event, now)?;
        if loaded {
            let time_s = now.saturating_sub(started_at).as_secs_f64().max(MIN_RELOAD_COST_S);
            let cost_s = self.reload_costs_s.entry(adapter.clone()).or_insert(time_s);
            *cost_s += NEWEST_LOAD_WEIGHT * (time_s - *cost_s);
            self.backoff.reset(&adapter);
        } else {
            self.backoff.record_failure(&adapter, now, jitter);
        }
        Ok(())
    }

    /// Marks an adapter as being evicted, after which no request can acquire it.
    ///
    /// # Errors
    /// Returns [`Error::StaleTicket`] when no slot holds the adapter, [`Error::InUse`] while it
    /// serves a request, and [`Error::Chart`] when it is not resident.
    pub fn start_evict(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        let slot = self.entries.get(adapter).ok_or(Error::StaleTicket)?;
        if slot.in_use > 0 {
            return Err(Error::InUse);
        }
        let serial = slot.serial;
        self.apply_event(adapter, SlotEvent::Evict, now)?;
        Ok(SlotTicket { adapter: adapter.to_owned(), serial })
    }

    /// Records the end of an eviction.
    ///
    /// # Errors
    /// Returns [`Error::StaleTicket`] when the slot that was evicted no longer exists.
    pub fn finish_evict(&mut self, ticket: SlotTicket, evicted: bool, now: Duration) -> Result<()> {
        self.slot(&ticket)?;
        let event = if evicted { SlotEvent::Evicted } else { SlotEvent::EvictFailed };
        let SlotTicket { adapter, .. } = ticket;
        self.apply_event(&adapter, event, now)
    }

    /// Counts one more request that uses an adapter; returns none when it is not resident.
    pub fn acquire(&mut self, adapter: &str, now: Duration) -> Option<SlotTicket> {
        let slot = self.entries.get_mut(adapter)?;
        if slot.state != SlotState::Resident {
            return None;
        }
        slot.in_use += 1;
        slot.uses += 1;
        slot.used_at = now;
        slot.is_superseded = false;
        Some(SlotTicket { adapter: adapter.to_owned(), serial: slot.serial })
    }

    /// Ends one use of an adapter.
    ///
    /// # Errors
    /// Returns [`Error::StaleTicket`] when the use began before the engine restarted.
    pub fn release(&mut self, ticket: SlotTicket) -> Result<()> {
        let SlotTicket { adapter, serial } = ticket;
        let slot = self.entries.get_mut(&adapter).filter(|slot| slot.serial == serial);
        let slot = slot.ok_or(Error::StaleTicket)?;
        slot.in_use = slot.in_use.saturating_sub(1);
        Ok(())
    }

    /// Adds an adapter that a previous owner loaded. It counts as in use until its ticket is
    /// released, since requests of the previous owner may still run.
    ///
    /// # Errors
    /// Returns [`Error::Chart`] when a slot holds the adapter already.
    pub fn adopt(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        let ticket = self.occupy_slot(adapter, SlotEvent::Adopt, now)?;
        if let Some(slot) = self.entries.get_mut(adapter) {
            slot.in_use = 1;
        }
        Ok(ticket)
    }

    /// Corrects the slots from the engine's list of loaded adapters, requested at `requested_at`.
    ///
    /// A list that was requested before the last change of a slot is ignored, as it may not
    /// contain that change. Returns tickets of the adapters that were not tracked yet; each counts
    /// as in use until its ticket is released.
    pub fn reconcile(
        &mut self,
        loaded: &[AdapterKey],
        requested_at: Duration,
        now: Duration,
    ) -> Vec<SlotTicket> {
        if self.changed_at >= requested_at {
            return Vec::new();
        }
        let reported: BTreeSet<&AdapterKey> = loaded.iter().collect();
        let is_vanished =
            |(name, slot): &(&AdapterKey, &Slot)| slot.is_evictable() && !reported.contains(name);
        let vanished = self.entries.iter().filter(is_vanished);
        let vanished: Vec<AdapterKey> = vanished.map(|(name, _)| name.clone()).collect();
        for adapter in vanished {
            // An evictable slot is resident, and the chart defines this event for it.
            let _absent = self.apply_event(&adapter, SlotEvent::Vanished, now);
        }
        let untracked = loaded.iter().filter(|a| !self.entries.contains_key(*a));
        let untracked: Vec<&AdapterKey> = untracked.collect();
        untracked.into_iter().filter_map(|adapter| self.adopt(adapter, now).ok()).collect()
    }

    /// Clears every slot after the engine restarted; tickets issued before are stale from then on.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn slot(&self, ticket: &SlotTicket) -> Result<&Slot> {
        let slot = self.entries.get(&ticket.adapter);
        slot.filter(|slot| slot.serial == ticket.serial).ok_or(Error::StaleTicket)
    }

    fn occupy_slot(
        &mut self,
        adapter: &str,
        event: SlotEvent,
        now: Duration,
    ) -> Result<SlotTicket> {
        let state = self.entries.get(adapter).map_or(self.chart.initial(), |slot| slot.state);
        let state = self.chart.step(state, event)?;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.changed_at = now;
        self.entries.insert(adapter.to_owned(), Slot::new(state, serial, now));
        Ok(SlotTicket { adapter: adapter.to_owned(), serial })
    }

    fn apply_event(&mut self, adapter: &str, event: SlotEvent, now: Duration) -> Result<()> {
        let slot = self.entries.get_mut(adapter).ok_or(Error::StaleTicket)?;
        slot.state = self.chart.step(slot.state, event)?;
        slot.changed_at = now;
        self.changed_at = now;
        if slot.state == SlotState::Absent {
            self.entries.remove(adapter);
        }
        Ok(())
    }

    fn eviction_candidate(
        &self,
        waiting: &BTreeMap<AdapterKey, u32>,
        now: Duration,
    ) -> Option<AdapterKey> {
        let idle = self.entries.iter().filter(|(_, slot)| slot.is_evictable());
        let cost = |adapter: &AdapterKey, slot: &Slot| match self.eviction {
            Eviction::LeastRecentlyUsed => slot.used_at.as_secs_f64(),
            Eviction::LeastFrequentlyUsed => f64::from(slot.uses),
            Eviction::LeastWorth => self.eviction_cost(adapter, slot, waiting, now),
        };
        idle.min_by(|(a, s), (b, t)| cost(a, s).total_cmp(&cost(b, t)))
            .map(|(adapter, _)| adapter.clone())
    }

    /// Returns the cost of an eviction: demand and waiting requests, times the time of a reload.
    ///
    /// An older version without waiting requests is below all others and goes first.
    fn eviction_cost(
        &self,
        adapter: &str,
        slot: &Slot,
        waiting: &BTreeMap<AdapterKey, u32>,
        now: Duration,
    ) -> f64 {
        let waiting = f64::from(waiting.get(adapter).copied().unwrap_or(0));
        if slot.is_superseded && waiting == 0.0 {
            return -1.0;
        }
        let cost_s = self.reload_costs_s.get(adapter).copied().unwrap_or(DEFAULT_RELOAD_COST_S);
        (self.demand.level(adapter, now) + waiting) * cost_s
    }
}

/// Reports whether two model names have the same base model and adapter, whatever their versions.
fn is_same_adapter(a: &str, b: &str) -> bool {
    let name = |model: &str| model.rsplit_once('@').map(|(name, _)| name.to_owned());
    name(a).is_some() && name(a) == name(b)
}
