//! Estimates of the time until a request can start.

use super::{
    EngineOwner, MAX_CONCURRENT_LOADS, REPORT_LAG, UNTRIED_LOAD_TIME,
    adapter::{AdapterEntry, LoadState, Occupancy},
    fairness::WorkShare,
    message::{AdapterPath, EngineRoom, StartRequest},
};
use std::time::Duration;

/// Shortest time after which a request that waited in vain may be retried.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Estimated time until an adapter slot can be freed while all adapters are in use.
const ADAPTER_SLOT_WAIT: Duration = Duration::from_millis(600);
/// Largest cost of an eviction, in loads.
const MAX_EVICTION_COST: f64 = 0.5;
/// Estimated wait for an order while the engine is unresponsive.
const UNRESPONSIVE_WAIT: Duration = Duration::from_secs(2);
/// Consecutive orders without an answer after which an engine counts as unresponsive.
const MAX_CONSECUTIVE_UNANSWERED: u32 = 2;

impl EngineOwner {
    /// Estimates the time until a request can start: the longer one of the wait for a slot and the
    /// wait for its adapter, with the cost of an eviction.
    pub(super) fn estimate_wait(
        &self,
        request: &StartRequest,
        share: Option<WorkShare>,
        now: Duration,
    ) -> Duration {
        if !self.has_model(&request.model) {
            return Duration::from_secs(2);
        }
        let ahead = self.requests_ahead(request, share, now).count();
        let occupied = self.granted.len() + ahead;
        let excess = (occupied + 1).saturating_sub(self.slots as usize);
        let slot_wait = self.slot_times.wait_for(excess, self.slots, now);
        let Some(path) = request.path() else { return slot_wait };
        let load_wait = match self.adapters.get(&path).map(|entry| entry.state) {
            Some(LoadState::Resident) => Duration::ZERO,
            // The estimate exceeds the wait that requests accept at first, so those that need a load
            // try another engine.
            _ if self.is_unresponsive() => UNRESPONSIVE_WAIT,
            Some(LoadState::Unconfirmed { until }) => until.saturating_sub(now),
            Some(LoadState::Loading { ready_at }) => ready_at.saturating_sub(now),
            Some(LoadState::Unloading) => self.recent_load_estimate * 2,
            None if self.accepted_orders.is_none() => REPORT_LAG,
            None if self.can_free_slot(now) => {
                self.load_time(&path) + self.load_queue_wait(now) + self.eviction_cost(now)
            }
            None => ADAPTER_SLOT_WAIT,
        };
        slot_wait.max(load_wait)
    }

    /// Returns the time for which a request is expected to keep a slot of the engine.
    pub fn slot_hold_time(&self, now: Duration) -> Duration {
        self.slot_times.hold_time(now)
    }

    /// Reports whether the engine has stopped answering orders.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.consecutive_unanswered >= MAX_CONSECUTIVE_UNANSWERED
    }

    /// Estimates the duration of a load of an adapter.
    pub(super) fn load_time(&self, path: &str) -> Duration {
        if self.recent.contains_key(path) {
            self.recent_load_estimate
        } else {
            self.cold_load_estimate
        }
    }

    /// Returns what this owner assumes about the engine's adapter slots.
    pub fn room(&self, now: Duration) -> EngineRoom {
        EngineRoom {
            occupied: self
                .adapters
                .values()
                .filter(|entry| entry.occupancy != Occupancy::None)
                .count(),
            proven: self
                .adapters
                .values()
                .filter(|entry| entry.occupancy == Occupancy::Proven)
                .count(),
            report_age: self.reported_at.map(|requested_at| now.saturating_sub(requested_at)),
        }
    }

    /// Returns the wait that an eviction is expected to cause to later requests, so that a request for
    /// a rare adapter goes to an engine that can spare a slot.
    fn eviction_cost(&self, now: Duration) -> Duration {
        if self.adapters.len() < self.adapter_slots {
            return Duration::ZERO;
        }
        let evicted = self.select_eviction(now).and_then(|path| self.adapters.get(&path));
        let demand = evicted.map_or(0.0, |entry| entry.demand_at(now));
        self.cold_load_estimate.mul_f64(MAX_EVICTION_COST * demand / (demand + 1.0))
    }

    /// Reports whether an adapter slot is free or can be freed by an eviction.
    pub(super) fn can_free_slot(&self, now: Duration) -> bool {
        self.adapters.len() < self.adapter_slots || self.select_eviction(now).is_some()
    }

    /// Returns the number of adapters that may still be loading: their load is not expected to have
    /// ended, or has only just ended by the estimate and no request has tried them yet.
    pub(super) fn loading(&self, now: Duration) -> usize {
        let is_loading = |entry: &&AdapterEntry| match entry.state {
            LoadState::Loading { .. } => true,
            LoadState::Unconfirmed { until } => !entry.was_tried && now < until + UNTRIED_LOAD_TIME,
            LoadState::Resident | LoadState::Unloading => false,
        };
        self.adapters.values().filter(is_loading).count()
    }

    /// Estimates the time until another load can start.
    pub(super) fn load_queue_wait(&self, now: Duration) -> Duration {
        if self.loading(now) < MAX_CONCURRENT_LOADS {
            return Duration::ZERO;
        }
        let next = self.adapters.values().filter_map(|entry| match entry.state {
            LoadState::Loading { ready_at } => Some(ready_at.saturating_sub(now)),
            LoadState::Unconfirmed { .. } | LoadState::Resident | LoadState::Unloading => None,
        });
        let mut queued: Vec<AdapterPath> = self
            .waiting
            .values()
            .filter_map(|waiting| waiting.request.path())
            .filter(|path| !self.adapters.contains_key(path))
            .collect();
        queued.sort_unstable();
        queued.dedup();
        let rounds = (queued.len() / MAX_CONCURRENT_LOADS) as u32;
        next.min().unwrap_or_default() + self.cold_load_estimate * rounds
    }

    /// Reports whether a request needs a load from an engine that answers no orders.
    pub(super) fn waits_for_unresponsive(&self, request: &StartRequest) -> bool {
        self.is_unresponsive() && request.path().is_some_and(|path| !self.is_resident(&path))
    }
}
