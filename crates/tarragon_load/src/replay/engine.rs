//! State of one engine in virtual time: its planner, queue and running requests.

use rail_place::{AdapterKey, EnginePlanner, PermitId, PlannerConfig, WorkItem};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A request that waits or runs.
#[derive(Debug, Clone)]
pub struct Request {
    /// Requested adapter version.
    pub adapter: AdapterKey,
    /// Whether the request is urgent rather than deferrable.
    pub urgent: bool,
    /// Time of arrival.
    pub arrived_at: Duration,
    /// Time at which the request is dropped from the queue.
    pub deadline: Duration,
}

/// State of one engine.
#[derive(Debug)]
pub struct Engine {
    /// Decides on dispatch, loads and evictions.
    pub planner: EnginePlanner,
    /// Waiting requests, urgent first, then by deadline.
    pub queue: Vec<Request>,
    /// Number of running requests.
    pub running: usize,
    /// Running requests of each adapter.
    pub in_use: BTreeMap<AdapterKey, u32>,
    /// Requested load permit of each adapter, and whether it is for urgent requests.
    pub pending_permits: BTreeMap<AdapterKey, (PermitId, bool)>,
    /// Adapters whose load waits for an eviction to finish.
    pub awaiting_eviction: BTreeSet<AdapterKey>,
    /// Number of restarts; distinguishes results of earlier starts from current ones.
    pub restarts: u32,
}

impl Engine {
    /// Creates an engine with no adapter loaded.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            planner: EnginePlanner::new(config),
            queue: Vec::new(),
            running: 0,
            in_use: BTreeMap::new(),
            pending_permits: BTreeMap::new(),
            awaiting_eviction: BTreeSet::new(),
            restarts: 0,
        }
    }

    /// Adds a request to the queue, in its order.
    pub fn enqueue(&mut self, request: Request) {
        let order = |r: &Request| (!r.urgent, r.deadline, r.arrived_at);
        let index = self.queue.partition_point(|r| order(r) <= order(&request));
        self.queue.insert(index, request);
    }

    /// Removes and returns the queued requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Request> {
        let (expired, kept) =
            std::mem::take(&mut self.queue).into_iter().partition(|r| r.deadline <= now);
        self.queue = kept;
        expired
    }

    /// Returns the queued requests as input of the planner.
    pub fn work_items(&self) -> Vec<WorkItem<'_>> {
        let item = |r| {
            let Request { adapter, urgent, arrived_at, deadline }: &Request = r;
            WorkItem { adapter, urgent: *urgent, arrived_at: *arrived_at, deadline: *deadline }
        };
        self.queue.iter().map(item).collect()
    }

    /// Counts the queued requests of each adapter.
    pub fn queued_by_adapter(&self) -> BTreeMap<AdapterKey, u32> {
        let mut counts = BTreeMap::new();
        for request in &self.queue {
            *counts.entry(request.adapter.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the running and the queued urgent requests, relative to the batch size.
    pub fn load(&self, batch: usize) -> f64 {
        let urgent = self.queue.iter().take_while(|r| r.urgent).count();
        (self.running + urgent) as f64 / batch as f64
    }
}
