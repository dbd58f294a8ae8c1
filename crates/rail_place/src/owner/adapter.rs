//! One adapter slot of an engine, as its owner tracks it.

use super::UNTRIED_LOAD_TIME;
use std::time::Duration;

/// Time in which a request loses half its weight in the demand for an adapter.
const DEMAND_HALF_LIFE_S: f64 = 10.0;
/// Time for which an engine may go on with a run whose caller has left.
const ABANDONED_RUN_TIME: Duration = Duration::from_secs(2);
/// Consecutive requests that may find an adapter not ready before its load counts as lost.
const MAX_NOT_READY: u32 = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadState {
    /// A load order was or will be sent; the load is expected to end at `ready_at`.
    Loading {
        ready_at: Duration,
    },
    /// The load is expected to have ended, but no request has used the adapter yet. One request is
    /// granted as a trial; the adapter becomes resident if the engine has not refused that request
    /// by `until`.
    Unconfirmed {
        until: Duration,
    },
    Resident,
    /// An unload order was or will be sent.
    Unloading,
}

/// Whether an adapter occupies a slot of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Occupancy {
    /// Its load was not sent yet.
    None,
    /// Its load was sent, so it may.
    Possible,
    /// A report or an answer to its load has shown it.
    Proven,
}

#[derive(Debug, Clone)]
pub(super) struct AdapterEntry {
    pub(super) state: LoadState,
    /// Whether the engine had this adapter recently when its last load was ordered.
    pub(super) was_recent: bool,
    /// Whether a request was sent to it since its last load.
    pub(super) was_tried: bool,
    /// Consecutive requests that found it not ready.
    pub(super) not_ready_count: u32,
    /// Version of its weights, if one is known.
    pub(super) version: Option<u64>,
    pub(super) occupancy: Occupancy,
    /// Granted requests that have not ended.
    pub(super) in_use: u32,
    /// Time until which the engine may go on with runs that were abandoned.
    pub(super) abandoned_until: Duration,
    /// Decayed number of requests as of `used_at`.
    pub(super) demand: f64,
    pub(super) used_at: Duration,
}

impl AdapterEntry {
    pub(super) fn demand_at(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.used_at).as_secs_f64();
        self.demand * (-age_s / DEMAND_HALF_LIFE_S).exp2()
    }

    /// Reports whether it may occupy a slot of the engine.
    pub(super) fn occupies_slot(&self) -> bool {
        self.occupancy != Occupancy::None
    }

    /// Reports whether no granted request uses it and its load has ended, so that the engine unloads
    /// it at once.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        let is_loaded = match self.state {
            LoadState::Resident => true,
            // The engine refuses to unload an adapter that is still being loaded.
            LoadState::Unconfirmed { until } => now >= until + UNTRIED_LOAD_TIME,
            LoadState::Loading { .. } | LoadState::Unloading => false,
        };
        self.in_use == 0 && is_loaded
    }

    /// Records that a run was abandoned, with which the engine may go on for some time.
    pub(super) fn record_abandoned_run(&mut self, now: Duration) {
        self.abandoned_until = now + ABANDONED_RUN_TIME;
    }

    /// Reports whether an unload may have to wait for a run.
    pub(super) fn may_be_held(&self, now: Duration) -> bool {
        self.in_use > 0 || now < self.abandoned_until
    }

    /// Reports whether its load may still be in progress, longer than expected.
    pub(super) fn may_still_load(&self) -> bool {
        self.not_ready_count < MAX_NOT_READY && !matches!(self.state, LoadState::Resident)
    }

    pub(super) fn record_use(&mut self, now: Duration) {
        self.demand = self.demand_at(now) + 1.0;
        self.used_at = now;
    }
}
