//! How long a request would wait.

use super::{
    EngineOwner, MAX_COMING, REPORT_LAG, UNPROVED_REST,
    held::{Held, HeldState},
    message::{AdapterPath, StartRequest},
};
use std::time::Duration;

/// Prompt tokens that an engine reads in a second beside the answers that it writes.
const PROMPT_TOKENS_PER_S: f64 = 16_000.0;
/// Time within which an idle batch slot is expected to come free.
pub(super) const SLOT_WAIT: Duration = Duration::from_millis(150);
/// Expected wait for an order while the engine is silent.
const SILENT_WAIT: Duration = Duration::from_secs(2);
/// Orders in a row without an answer after which an engine counts as silent.
const MAX_UNANSWERED: u32 = 2;

pub(super) fn reading_time(ask: &StartRequest) -> Duration {
    Duration::from_secs_f64(f64::from(ask.prompt_tokens) / PROMPT_TOKENS_PER_S)
}

impl EngineOwner {
    /// Estimates the time for which the prompts of requests that were let go or wait keep the
    /// engine busy.
    pub fn backlog(&self, now: Duration) -> Duration {
        let waiting = self.waiting.values().map(|waiting| reading_time(&waiting.ask)).sum();
        self.prompts_read_at.saturating_sub(now) + waiting
    }

    pub(super) fn estimate_wait(&self, ask: &StartRequest, now: Duration) -> Duration {
        if !self.holds_model(&ask.model) {
            return Duration::from_secs(2);
        }
        let ahead = self.waiting.values().filter(|waiting| waiting.ask.rank <= ask.rank).count();
        let used = self.granted.len() + ahead;
        let over = used.saturating_sub(self.slots as usize - 1) as u32;
        let slot_wait = SLOT_WAIT * over.div_ceil(self.slots.max(1) / 4 + 1);
        let Some(path) = ask.path() else { return slot_wait };
        let load_wait = match self.held.get(&path).map(|held| held.state) {
            Some(HeldState::Resident) => Duration::ZERO,
            // What needs an order goes elsewhere while the engine answers none.
            _ if self.is_silent() => SILENT_WAIT,
            Some(HeldState::Proving { until }) => until.saturating_sub(now),
            Some(HeldState::Loading { ready_at }) => ready_at.saturating_sub(now),
            Some(HeldState::Leaving) => self.recent_load * 2,
            None if self.accepted_orders.is_none() => REPORT_LAG,
            None if self.has_place(now) => self.load_time(&path) + self.load_queue(now),
            None => SLOT_WAIT * 4,
        };
        slot_wait.max(load_wait)
    }

    pub(super) fn is_silent(&self) -> bool {
        self.unanswered >= MAX_UNANSWERED
    }

    pub(super) fn load_time(&self, path: &str) -> Duration {
        if self.recent.contains_key(path) { self.recent_load } else { self.cold_load }
    }

    /// Reports whether a place is free or can be made free.
    pub(super) fn has_place(&self, now: Duration) -> bool {
        self.held.len() < self.places || self.pick_victim(now).is_some()
    }

    /// Counts the adapters that are on their way, or should just have come and were not tried.
    pub(super) fn coming(&self, now: Duration) -> usize {
        let is_coming = |held: &&Held| match held.state {
            HeldState::Loading { .. } => true,
            HeldState::Proving { until } => !held.has_proof && now < until + UNPROVED_REST,
            HeldState::Resident | HeldState::Leaving => false,
        };
        self.held.values().filter(is_coming).count()
    }

    /// Estimates the time until another load can start.
    pub(super) fn load_queue(&self, now: Duration) -> Duration {
        if self.coming(now) < MAX_COMING {
            return Duration::ZERO;
        }
        let next = self.held.values().filter_map(|held| match held.state {
            HeldState::Loading { ready_at } => Some(ready_at.saturating_sub(now)),
            HeldState::Proving { .. } | HeldState::Resident | HeldState::Leaving => None,
        });
        let mut queued: Vec<AdapterPath> = self
            .waiting
            .values()
            .filter_map(|waiting| waiting.ask.path())
            .filter(|path| !self.held.contains_key(path))
            .collect();
        queued.sort_unstable();
        queued.dedup();
        let rounds = (queued.len() / MAX_COMING) as u32;
        next.min().unwrap_or_default() + self.cold_load * rounds
    }

    /// Reports whether a request waits for an engine that answers no orders.
    pub(super) fn waits_in_vain(&self, ask: &StartRequest) -> bool {
        self.is_silent() && ask.path().is_some_and(|path| !self.is_resident(&path))
    }
}
