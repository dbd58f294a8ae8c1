//! Requests that wait for their engine, and their order.

use super::Events;
use rail_place::{AdapterKey, WorkItem};
use rail_request::WorkOrder;
use std::{collections::BTreeMap, time::Duration};

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) order: WorkOrder,
    pub(super) events: Events,
    pub(super) arrived_at: Duration,
    pub(super) expires_at: Duration,
}

/// Waiting requests: urgent before deferrable, earliest deadline first within each.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a request in its place.
    pub(super) fn push(&mut self, waiting: Waiting) {
        let place = |w: &Waiting| (!w.order.urgent, w.expires_at, w.arrived_at);
        let index = self.waiting.partition_point(|w| place(w) <= place(&waiting));
        self.waiting.insert(index, waiting);
    }

    /// Removes what has expired; forgets what nobody waits for.
    pub(super) fn remove_expired(&mut self, now: Duration) -> Vec<Waiting> {
        self.waiting.retain(|w| !w.events.is_closed());
        self.remove_if(|w| w.expires_at <= now)
    }

    /// Removes all requests for one adapter.
    pub(super) fn remove_adapter(&mut self, adapter: &str) -> Vec<Waiting> {
        self.remove_if(|w| w.order.model == adapter)
    }

    /// Removes all requests, in order.
    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// Lists the requests in order, as the planner takes them.
    pub(super) fn items(&self) -> Vec<WorkItem<'_>> {
        let item = |w| {
            let Waiting { order, arrived_at, expires_at, .. }: &Waiting = w;
            WorkItem {
                adapter: &order.model,
                urgent: order.urgent,
                arrived_at: *arrived_at,
                expires_at: *expires_at,
            }
        };
        self.waiting.iter().map(item).collect()
    }

    /// Removes the requests at these ascending positions.
    pub(super) fn remove_positions(&mut self, positions: &[usize]) -> Vec<Waiting> {
        let mut removed: Vec<Waiting> =
            positions.iter().rev().map(|position| self.waiting.remove(*position)).collect();
        removed.reverse();
        removed
    }

    /// Counts the requests that wait for each adapter.
    pub(super) fn count_by_adapter(&self) -> BTreeMap<AdapterKey, u32> {
        let mut counts = BTreeMap::new();
        for waiting in &self.waiting {
            *counts.entry(waiting.order.model.clone()).or_default() += 1;
        }
        counts
    }

    fn remove_if(&mut self, is_removed: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let (removed, kept) = self.take_all().into_iter().partition(is_removed);
        self.waiting = kept;
        removed
    }
}
