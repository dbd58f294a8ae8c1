//! One engine in virtual time, around its planner.

use rail_place::{AdapterKey, EnginePlanner, PermitId, PlannerConfig, WorkItem};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A request that waits or runs.
#[derive(Debug, Clone)]
pub struct Request {
    /// Adapter version.
    pub adapter: AdapterKey,
    /// Whether somebody waits for the answer.
    pub urgent: bool,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When the answer is of no use any more.
    pub expires_at: Duration,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its decisions.
    pub planner: EnginePlanner,
    /// Waiting requests, urgent first, then by deadline.
    pub queue: Vec<Request>,
    /// Requests that run.
    pub running: usize,
    /// Requests in use of each adapter.
    pub in_use: BTreeMap<AdapterKey, u32>,
    /// Permits asked for each adapter, and whether for urgent work.
    pub asks: BTreeMap<AdapterKey, (PermitId, bool)>,
    /// Adapters whose load waits for an eviction.
    pub preparing: BTreeSet<AdapterKey>,
    /// Grows with each cold start.
    pub boot: u32,
}

impl Engine {
    /// Starts with nothing loaded.
    pub fn new(shape: PlannerConfig) -> Self {
        Self {
            planner: EnginePlanner::new(shape),
            queue: Vec::new(),
            running: 0,
            in_use: BTreeMap::new(),
            asks: BTreeMap::new(),
            preparing: BTreeSet::new(),
            boot: 0,
        }
    }

    /// Adds a request in its place.
    pub fn push(&mut self, request: Request) {
        let place = |r: &Request| (!r.urgent, r.expires_at, r.arrived_at);
        let index = self.queue.partition_point(|r| place(r) <= place(&request));
        self.queue.insert(index, request);
    }

    /// Removes requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Request> {
        let (expired, kept) =
            std::mem::take(&mut self.queue).into_iter().partition(|r| r.expires_at <= now);
        self.queue = kept;
        expired
    }

    /// Lists the requests as the planner takes them.
    pub fn items(&self) -> Vec<WorkItem<'_>> {
        let item = |r| {
            let Request { adapter, urgent, arrived_at, expires_at }: &Request = r;
            WorkItem { adapter, urgent: *urgent, arrived_at: *arrived_at, deadline: *expires_at }
        };
        self.queue.iter().map(item).collect()
    }

    /// Counts the requests that wait for each adapter.
    pub fn waiting(&self) -> BTreeMap<AdapterKey, u32> {
        let mut counts = BTreeMap::new();
        for request in &self.queue {
            *counts.entry(request.adapter.clone()).or_default() += 1;
        }
        counts
    }

    /// Gives the share of the batch that runs or waits urgently.
    pub fn load(&self, batch: usize) -> f64 {
        let urgent = self.queue.iter().take_while(|r| r.urgent).count();
        (self.running + urgent) as f64 / batch as f64
    }
}
