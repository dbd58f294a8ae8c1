//! Time for which requests keep the slots of one engine, and the wait for a slot that follows.
//!
//! Load pattern: engines of several speeds, and an engine that turns slow or silent. A slot of a slow
//! engine becomes free less often, so the same number of requests ahead means a longer wait there.

use crate::owner::StartId;
use std::{collections::HashMap, time::Duration};

/// Expected time for which a request keeps a slot before any has ended.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(600);
/// Weight of the last request in the mean.
const HOLD_TIME_WEIGHT: f64 = 0.1;

/// Slots of one engine that are in use, and the mean time of earlier uses.
#[derive(Debug, Clone, Default)]
pub struct SlotTimes {
    started_at: HashMap<StartId, Duration>,
    mean_hold_time: Option<Duration>,
}

impl SlotTimes {
    /// Records that a request got a slot.
    pub fn start(&mut self, id: StartId, now: Duration) {
        self.started_at.insert(id, now);
    }

    /// Records that a request has left its slot. The time of one that did not run says nothing.
    pub fn end(&mut self, id: StartId, has_run: bool, now: Duration) {
        let Some(started_at) = self.started_at.remove(&id) else { return };
        if !has_run {
            return;
        }
        let hold_time = now.saturating_sub(started_at);
        let mean = self.mean_hold_time.unwrap_or(INITIAL_HOLD_TIME);
        let blended = mean.mul_f64(1.0 - HOLD_TIME_WEIGHT) + hold_time.mul_f64(HOLD_TIME_WEIGHT);
        self.mean_hold_time = Some(blended);
    }

    /// Returns the time for which a request is expected to keep a slot. An engine that has slowed down
    /// since shows it first by the age of what it runs.
    pub fn hold_time(&self, now: Duration) -> Duration {
        let mean = self.mean_hold_time.unwrap_or(INITIAL_HOLD_TIME);
        let ages = self.started_at.values().map(|started_at| now.saturating_sub(*started_at));
        let running = self.started_at.len() as u32;
        mean.max(ages.sum::<Duration>() / running.max(1))
    }

    /// Estimates the time until that many slots have become free.
    pub fn wait_for(&self, needed: usize, slots: u32, now: Duration) -> Duration {
        self.hold_time(now) * needed as u32 / slots.max(1)
    }

    /// Forgets the slots in use and the speed, after the engine has restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
