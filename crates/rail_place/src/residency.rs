//! Adapters resident on one engine.

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

/// States and events of one adapter.
const CHART: &str = include_str!("../../../charts/residency.toml");
/// Weight of the newest load time in the mean reload cost.
const COST_WEIGHT: f64 = 0.2;
/// Reload cost in seconds before the first load was timed.
const INITIAL_COST_S: f64 = 0.25;
/// Smallest reload cost in seconds, so that demand counts for quick loads too.
const MIN_COST_S: f64 = 0.01;

/// What must happen before an adapter can serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadDecision {
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
    /// Loads failed; wait this long before the next.
    BackOff(Duration),
}

/// Right to end one use, load or eviction of a slot; it does nothing to any other slot.
#[must_use = "an unreleased ticket pins its slot"]
#[derive(Debug, PartialEq, Eq)]
pub struct SlotTicket {
    adapter: AdapterKey,
    serial: u64,
}

impl SlotTicket {
    /// Gives the adapter.
    pub fn adapter(&self) -> &str {
        &self.adapter
    }
}

/// Adapter slots of one engine.
#[derive(Debug, Clone)]
pub struct Residency {
    chart: Chart<SlotState, SlotEvent>,
    slots: usize,
    eviction: Eviction,
    next_serial: u64,
    changed_at: Duration,
    entries: BTreeMap<AdapterKey, Slot>,
    costs_s: BTreeMap<AdapterKey, f64>,
    demand: Demand,
    backoff: Backoff,
}

impl Residency {
    /// Starts with no adapter loaded.
    ///
    /// # Panics
    /// Only when the embedded chart is not valid.
    pub fn new(slots: usize, eviction: Eviction) -> Self {
        Self {
            chart: Chart::parse(CHART).expect("the embedded chart is valid"),
            slots,
            eviction,
            next_serial: 0,
            changed_at: Duration::ZERO,
            entries: BTreeMap::new(),
            costs_s: BTreeMap::new(),
            demand: Demand::default(),
            backoff: Backoff::default(),
        }
    }

    /// Counts one arriving request for an adapter.
    pub fn record_demand(&mut self, adapter: &str, now: Duration) {
        self.demand.record(adapter, now);
    }

    /// Gives the decayed demand for an adapter.
    pub fn demand(&self, adapter: &str, now: Duration) -> f64 {
        self.demand.level(adapter, now)
    }

    /// Reports whether an adapter can serve now.
    pub fn is_resident(&self, adapter: &str) -> bool {
        self.entries.get(adapter).is_some_and(|slot| slot.state == SlotState::Resident)
    }

    /// Counts the requests that an adapter serves.
    pub fn in_use_count(&self, adapter: &str) -> u32 {
        self.entries.get(adapter).map_or(0, |slot| slot.in_use)
    }

    /// Gives the moment from which an adapter can serve.
    pub fn resident_since(&self, adapter: &str) -> Option<Duration> {
        let slot = self.entries.get(adapter)?;
        (slot.state == SlotState::Resident).then_some(slot.changed_at)
    }

    /// Counts adapters that are loaded or being loaded.
    pub fn occupied_slots(&self) -> usize {
        self.entries.len()
    }

    /// Tells what must happen before this adapter can serve; adapters with waiting work are kept.
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
        self.victim(waiting, now).map_or(LoadDecision::Full, LoadDecision::Evict)
    }

    /// Reserves a slot for a load; other versions of the adapter stay until they are idle.
    ///
    /// # Errors
    /// [`Error::NoSlot`] when all are taken, [`Error::Chart`] when the adapter is not absent.
    pub fn start_load(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        if self.entries.len() >= self.slots && !self.entries.contains_key(adapter) {
            return Err(Error::NoSlot);
        }
        let ticket = self.occupy(adapter, SlotEvent::Load, now)?;
        for (other, slot) in &mut self.entries {
            slot.is_superseded |= other != adapter && is_same_adapter(other, adapter);
        }
        Ok(ticket)
    }

    /// Records the end of a load; `jitter` in 0..1 spreads the delay after a failure.
    ///
    /// # Errors
    /// [`Error::StaleTicket`] when the slot is no longer the one of the load.
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
        self.step(&adapter, event, now)?;
        if loaded {
            let time_s = now.saturating_sub(started_at).as_secs_f64().max(MIN_COST_S);
            let cost_s = self.costs_s.entry(adapter.clone()).or_insert(time_s);
            *cost_s += COST_WEIGHT * (time_s - *cost_s);
            self.backoff.reset(&adapter);
        } else {
            self.backoff.record_failure(&adapter, now, jitter);
        }
        Ok(())
    }

    /// Marks an adapter as being evicted; nothing may use it any more.
    ///
    /// # Errors
    /// [`Error::InUse`] while it serves a request, [`Error::Chart`] when it is not resident.
    pub fn start_evict(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        let slot = self.entries.get(adapter).ok_or(Error::StaleTicket)?;
        if slot.in_use > 0 {
            return Err(Error::InUse);
        }
        let serial = slot.serial;
        self.step(adapter, SlotEvent::Evict, now)?;
        Ok(SlotTicket { adapter: adapter.to_owned(), serial })
    }

    /// Records the end of an eviction.
    ///
    /// # Errors
    /// [`Error::StaleTicket`] when the slot is no longer the one of the eviction.
    pub fn finish_evict(&mut self, ticket: SlotTicket, evicted: bool, now: Duration) -> Result<()> {
        self.slot(&ticket)?;
        let event = if evicted { SlotEvent::Evicted } else { SlotEvent::EvictFailed };
        let SlotTicket { adapter, .. } = ticket;
        self.step(&adapter, event, now)
    }

    /// Marks an adapter as serving one more request; none when it is not resident.
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

    /// Marks an adapter as serving one request fewer.
    ///
    /// # Errors
    /// [`Error::StaleTicket`] when the use belongs to a slot of an earlier boot.
    pub fn release(&mut self, ticket: SlotTicket) -> Result<()> {
        let SlotTicket { adapter, serial } = ticket;
        let slot = self.entries.get_mut(&adapter).filter(|slot| slot.serial == serial);
        let slot = slot.ok_or(Error::StaleTicket)?;
        slot.in_use = slot.in_use.saturating_sub(1);
        Ok(())
    }

    /// Takes in an adapter that a previous owner loaded, in use until its ticket is released.
    ///
    /// # Errors
    /// [`Error::Chart`] when the adapter is known already.
    pub fn adopt(&mut self, adapter: &str, now: Duration) -> Result<SlotTicket> {
        let ticket = self.occupy(adapter, SlotEvent::Adopt, now)?;
        if let Some(slot) = self.entries.get_mut(adapter) {
            slot.in_use = 1;
        }
        Ok(ticket)
    }

    /// Corrects the slots by a list of loaded adapters that was asked for at `asked_at`.
    ///
    /// A list that was asked for before the last change is too old to tell anything. Gives
    /// tickets of adapters that were not known, each in use until its ticket is released.
    pub fn reconcile(
        &mut self,
        loaded: &[AdapterKey],
        asked_at: Duration,
        now: Duration,
    ) -> Vec<SlotTicket> {
        if self.changed_at >= asked_at {
            return Vec::new();
        }
        let reported: BTreeSet<&AdapterKey> = loaded.iter().collect();
        let is_missing =
            |(name, slot): &(&AdapterKey, &Slot)| slot.is_evictable() && !reported.contains(name);
        let missing = self.entries.iter().filter(is_missing);
        let missing: Vec<AdapterKey> = missing.map(|(name, _)| name.clone()).collect();
        for adapter in missing {
            // An evictable slot is resident, for which the chart defines this step.
            let _absent = self.step(&adapter, SlotEvent::Vanished, now);
        }
        let unknown = loaded.iter().filter(|a| !self.entries.contains_key(*a));
        let unknown: Vec<&AdapterKey> = unknown.collect();
        unknown.into_iter().filter_map(|adapter| self.adopt(adapter, now).ok()).collect()
    }

    /// Forgets every slot after the engine restarted; tickets handed out before do nothing.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn slot(&self, ticket: &SlotTicket) -> Result<&Slot> {
        let slot = self.entries.get(&ticket.adapter);
        slot.filter(|slot| slot.serial == ticket.serial).ok_or(Error::StaleTicket)
    }

    fn occupy(&mut self, adapter: &str, event: SlotEvent, now: Duration) -> Result<SlotTicket> {
        let state = self.entries.get(adapter).map_or(self.chart.initial(), |slot| slot.state);
        let state = self.chart.step(state, event)?;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.changed_at = now;
        self.entries.insert(adapter.to_owned(), Slot::new(state, serial, now));
        Ok(SlotTicket { adapter: adapter.to_owned(), serial })
    }

    fn step(&mut self, adapter: &str, event: SlotEvent, now: Duration) -> Result<()> {
        let slot = self.entries.get_mut(adapter).ok_or(Error::StaleTicket)?;
        slot.state = self.chart.step(slot.state, event)?;
        slot.changed_at = now;
        self.changed_at = now;
        if slot.state == SlotState::Absent {
            self.entries.remove(adapter);
        }
        Ok(())
    }

    fn victim(&self, waiting: &BTreeMap<AdapterKey, u32>, now: Duration) -> Option<AdapterKey> {
        let idle = self.entries.iter().filter(|(_, slot)| slot.is_evictable());
        let worth = |adapter: &AdapterKey, slot: &Slot| match self.eviction {
            Eviction::LeastRecentlyUsed => slot.used_at.as_secs_f64(),
            Eviction::LeastFrequentlyUsed => f64::from(slot.uses),
            Eviction::LeastWorth => self.worth(adapter, slot, waiting, now),
        };
        idle.min_by(|(a, s), (b, t)| worth(a, s).total_cmp(&worth(b, t)))
            .map(|(adapter, _)| adapter.clone())
    }

    /// Demand and waiting work that an eviction would make wait for a reload.
    fn worth(
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
        let cost_s = self.costs_s.get(adapter).copied().unwrap_or(INITIAL_COST_S);
        (self.demand.level(adapter, now) + waiting) * cost_s
    }
}

/// Reports whether two model names differ at most in their version.
fn is_same_adapter(a: &str, b: &str) -> bool {
    let name = |model: &str| model.rsplit_once('@').map(|(name, _)| name.to_owned());
    name(a).is_some() && name(a) == name(b)
}
