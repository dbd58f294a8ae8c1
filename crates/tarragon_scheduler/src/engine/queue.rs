//! Requests that wait for their engine, under the rules of `rail_admit`.

use super::Events;
use rail_admit::{
    AdmissionQueue, AdmissionRequest, EntryId, QueueLimits, QueuePolicy, Refused, Urgency,
};
use rail_place::{AdapterKey, WorkItem};
use rail_request::WorkOrder;
use std::{collections::BTreeMap, time::Duration};

/// Memory of a waiting request beside its prompt, in bytes.
const ENTRY_BYTES: usize = 512;

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) order: WorkOrder,
    pub(super) events: Events,
    pub(super) arrived_at: Duration,
    pub(super) expires_at: Duration,
}

/// Waiting requests of one engine.
#[derive(Debug)]
pub(super) struct Queue {
    waiting: AdmissionQueue<Waiting>,
}

impl Queue {
    /// Starts an empty queue.
    pub(super) fn new(policy: QueuePolicy, batch: usize) -> Self {
        let limits = QueueLimits { policy, engine_slots: batch, ..QueueLimits::default() };
        Self { waiting: AdmissionQueue::new(limits) }
    }

    /// Adds a request; returns what is refused for it, or the request itself.
    pub(super) fn push(&mut self, waiting: Waiting, now: Duration) -> Vec<Refused<Waiting>> {
        let urgent = waiting.order.urgent;
        let ticket = AdmissionRequest {
            caller: waiting.order.caller.clone(),
            urgency: if urgent { Urgency::Urgent } else { Urgency::Deferrable },
            size_bytes: waiting.order.prompt.len() + ENTRY_BYTES,
            deadline: waiting.expires_at,
        };
        self.waiting.push(ticket, waiting, now).unwrap_or_else(|refused| vec![refused])
    }

    /// Removes what has expired; forgets what nobody waits for.
    pub(super) fn remove_expired(&mut self, now: Duration) -> Vec<Refused<Waiting>> {
        self.remove_if(|w| w.events.is_closed());
        self.waiting.remove_expired(now)
    }

    /// Removes all requests for one adapter.
    pub(super) fn remove_adapter(&mut self, adapter: &str) -> Vec<Waiting> {
        self.remove_if(|w| w.order.model == adapter)
    }

    /// Removes all requests.
    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        self.waiting.drain()
    }

    /// Lists the requests in the order in which they should start.
    pub(super) fn order(&self, now: Duration) -> Vec<EntryId> {
        self.waiting.start_order(now)
    }

    /// Describes these requests as the planner takes them.
    pub(super) fn items(&self, order: &[EntryId]) -> Vec<WorkItem<'_>> {
        let found = order.iter().filter_map(|id| self.waiting.find(*id));
        let items = found.map(|(_, waiting)| WorkItem {
            adapter: &waiting.order.model,
            urgent: waiting.order.urgent,
            arrived_at: waiting.arrived_at,
            deadline: waiting.expires_at,
        });
        items.collect()
    }

    /// Removes the requests at these positions of an order.
    pub(super) fn remove_positions(
        &mut self,
        order: &[EntryId],
        positions: &[usize],
    ) -> Vec<Waiting> {
        let ids = positions.iter().filter_map(|position| order.get(*position));
        ids.filter_map(|id| self.waiting.dequeue(*id)).collect()
    }

    /// Finds the first isolated request whose adapter `is_ready`, by its position in an order.
    pub(super) fn find_isolated(
        &self,
        order: &[EntryId],
        is_ready: impl Fn(&str) -> bool,
    ) -> Option<usize> {
        let is_due = |waiting: &Waiting| waiting.order.isolated && is_ready(&waiting.order.model);
        order.iter().position(|id| self.waiting.find(*id).is_some_and(|(_, w)| is_due(w)))
    }

    /// Counts the requests that wait for each adapter.
    pub(super) fn count_by_adapter(&self) -> BTreeMap<AdapterKey, u32> {
        let mut counts = BTreeMap::new();
        for (_, waiting) in self.waiting.iter() {
            *counts.entry(waiting.order.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Counts the requests that wait for one adapter.
    pub(super) fn count_of(&self, adapter: &str) -> usize {
        self.waiting.iter().filter(|(_, waiting)| waiting.order.model == adapter).count()
    }

    /// Counts a request that the engine finished.
    pub(super) fn finish_one(&mut self, now: Duration, saturated: bool) {
        self.waiting.record_completion(now, saturated);
    }

    fn remove_if(&mut self, is_removed: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let removed = self.waiting.iter().filter(|(_, w)| is_removed(w)).map(|(id, _)| id);
        let removed: Vec<EntryId> = removed.collect();
        removed.into_iter().filter_map(|id| self.waiting.dequeue(id)).collect()
    }
}
