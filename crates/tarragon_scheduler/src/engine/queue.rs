//! Queue of the requests for one engine, under the admission rules of `rail_admit`.

use super::Events;
use rail_admit::{
    AdmissionQueue, AdmissionRequest, EntryId, QueueLimits, QueuePolicy, Refused, Urgency,
};
use rail_place::{AdapterKey, WorkItem};
use rail_request::WorkOrder;
use std::{collections::BTreeMap, time::Duration};

/// Estimated memory of a waiting request without its prompt, in bytes.
const ENTRY_BYTES: usize = 512;

/// A queued request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) order: WorkOrder,
    pub(super) events: Events,
    pub(super) arrived_at: Duration,
    pub(super) deadline: Duration,
}

/// Queue of one engine.
#[derive(Debug)]
pub(super) struct Queue {
    waiting: AdmissionQueue<QueuedRequest>,
}

impl Queue {
    /// Creates an empty queue for an engine with this many slots.
    pub(super) fn new(policy: QueuePolicy, slots: usize) -> Self {
        let limits = QueueLimits { policy, engine_slots: slots, ..QueueLimits::default() };
        Self { waiting: AdmissionQueue::new(limits) }
    }

    /// Adds a request; returns the requests that are refused in its favor, or the request itself if
    /// it is refused.
    pub(super) fn push(
        &mut self,
        waiting: QueuedRequest,
        now: Duration,
    ) -> Vec<Refused<QueuedRequest>> {
        let urgent = waiting.order.urgent;
        let request = AdmissionRequest {
            caller: waiting.order.caller.clone(),
            urgency: if urgent { Urgency::Urgent } else { Urgency::Deferrable },
            size_bytes: waiting.order.prompt.len() + ENTRY_BYTES,
            deadline: waiting.deadline,
        };
        self.waiting.push(request, waiting, now).unwrap_or_else(|refused| vec![refused])
    }

    /// Removes and returns expired requests; drops requests whose events nobody receives.
    pub(super) fn remove_expired(&mut self, now: Duration) -> Vec<Refused<QueuedRequest>> {
        self.remove_if(|w| w.events.is_closed());
        self.waiting.remove_expired(now)
    }

    /// Removes all requests for one adapter.
    pub(super) fn remove_adapter(&mut self, adapter: &str) -> Vec<QueuedRequest> {
        self.remove_if(|w| w.order.model == adapter)
    }

    /// Removes all requests.
    pub(super) fn remove_all(&mut self) -> Vec<QueuedRequest> {
        self.waiting.drain()
    }

    /// Lists the requests in the order in which they should start.
    pub(super) fn start_order(&self, now: Duration) -> Vec<EntryId> {
        self.waiting.start_order(now)
    }

    /// Describes these requests for the planner.
    pub(super) fn work_items(&self, order: &[EntryId]) -> Vec<WorkItem<'_>> {
        let found = order.iter().filter_map(|id| self.waiting.find(*id));
        let items = found.map(|(_, waiting)| WorkItem {
            adapter: &waiting.order.model,
            urgent: waiting.order.urgent,
            arrived_at: waiting.arrived_at,
            deadline: waiting.deadline,
        });
        items.collect()
    }

    /// Removes the requests at these positions of an order.
    pub(super) fn remove_positions(
        &mut self,
        order: &[EntryId],
        positions: &[usize],
    ) -> Vec<QueuedRequest> {
        let ids = positions.iter().filter_map(|position| order.get(*position));
        ids.filter_map(|id| self.waiting.dequeue(*id)).collect()
    }

    /// Finds the first isolated request whose adapter `is_ready`, by its position in an order.
    pub(super) fn find_isolated(
        &self,
        order: &[EntryId],
        is_ready: impl Fn(&str) -> bool,
    ) -> Option<usize> {
        let can_start =
            |waiting: &QueuedRequest| waiting.order.isolated && is_ready(&waiting.order.model);
        order.iter().position(|id| self.waiting.find(*id).is_some_and(|(_, w)| can_start(w)))
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
    pub(super) fn count_for(&self, adapter: &str) -> usize {
        self.waiting.iter().filter(|(_, waiting)| waiting.order.model == adapter).count()
    }

    /// Records that the engine finished a request, and whether all of its slots were in use.
    pub(super) fn record_completion(&mut self, now: Duration, is_saturated: bool) {
        self.waiting.record_completion(now, is_saturated);
    }

    fn remove_if(&mut self, is_removed: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let removed = self.waiting.iter().filter(|(_, w)| is_removed(w)).map(|(id, _)| id);
        let removed: Vec<EntryId> = removed.collect();
        removed.into_iter().filter_map(|id| self.waiting.dequeue(id)).collect()
    }
}
