//! Decides which requests an engine starts and which adapters it loads next.

use crate::{
    objective::Objective,
    policy::Policy,
    residency::{AdapterKey, LoadDecision, Residency},
};
use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

/// A request that waits for the engine.
#[derive(Debug, Clone, Copy)]
pub struct WorkItem<'a> {
    /// Adapter version that the request names.
    pub adapter: &'a str,
    /// Whether the request is urgent; otherwise it is deferrable up to its deadline.
    pub urgent: bool,
    /// Time of arrival.
    pub arrived_at: Duration,
    /// Deadline, after which the answer is of no use.
    pub deadline: Duration,
}

/// A load that waiting requests need.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRequest {
    /// Adapter version to load.
    pub adapter: AdapterKey,
    /// Whether urgent requests, or deferrable requests close to their deadline, wait for it.
    pub urgent: bool,
    /// Worth of the load (see [`Objective::load_worth`]); loads of greater worth go first.
    pub worth: f64,
    /// Arrival time of the oldest request that waits for it.
    pub oldest_arrival: Duration,
}

/// Decisions of [`EnginePlanner::plan`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Positions of the waiting requests to dispatch now, ascending.
    pub dispatch: Vec<usize>,
    /// Loads to request permits for, in the order of [`LoadRequest::cmp_priority`].
    pub loads: Vec<LoadRequest>,
}

/// Capacity and policy of one engine.
#[derive(Debug, Clone, Copy)]
pub struct PlannerConfig {
    /// Adapters that the engine can keep loaded.
    pub adapter_slots: usize,
    /// Requests that the engine runs at once in one batch.
    pub slots: usize,
    /// Placement policy.
    pub policy: Policy,
    /// Weights of the deployment for load stalls and full batches.
    pub objective: Objective,
}

/// Plans the dispatch of requests and the loads of one engine.
#[derive(Debug, Clone)]
pub struct EnginePlanner {
    config: PlannerConfig,
    residency: Residency,
}

/// The waiting requests for one adapter.
#[derive(Debug, Clone, Copy)]
struct WaitingRequests {
    urgent: u32,
    deferrable: u32,
    oldest_arrival: Duration,
    /// Earliest time at which a deferrable request is no longer held back.
    release_at: Duration,
    /// Earliest time from which a deferrable request is loaded like an urgent one.
    escalate_at: Duration,
}

impl EnginePlanner {
    /// Creates a planner for an engine with no adapter loaded.
    pub fn new(config: PlannerConfig) -> Self {
        Self { config, residency: Residency::new(config.adapter_slots, config.policy.eviction()) }
    }

    /// Returns the adapter slots.
    pub fn residency(&self) -> &Residency {
        &self.residency
    }

    /// Returns the adapter slots for changes.
    pub fn residency_mut(&mut self) -> &mut Residency {
        &mut self.residency
    }

    /// Plans for the `waiting` requests, in the order of the queue, while `running` others run.
    pub fn plan(&self, waiting: &[WorkItem<'_>], running: usize, now: Duration) -> Plan {
        let waiting_by_adapter = self.group_by_adapter(waiting);
        let dispatch = self.plan_dispatch(waiting, &waiting_by_adapter, running, now);
        Plan { dispatch, loads: self.plan_loads(&waiting_by_adapter, now) }
    }

    fn group_by_adapter<'a>(&self, waiting: &[WorkItem<'a>]) -> BTreeMap<&'a str, WaitingRequests> {
        let mut waiting_by_adapter = BTreeMap::new();
        for item in waiting {
            let group = waiting_by_adapter.entry(item.adapter).or_insert(WaitingRequests {
                urgent: 0,
                deferrable: 0,
                oldest_arrival: item.arrived_at,
                release_at: Duration::MAX,
                escalate_at: Duration::MAX,
            });
            group.oldest_arrival = group.oldest_arrival.min(item.arrived_at);
            if item.urgent {
                group.urgent += 1;
            } else {
                group.deferrable += 1;
                let release_at = self.config.objective.release_at(item.arrived_at, item.deadline);
                group.release_at = group.release_at.min(release_at);
                let escalate_at = self.config.objective.escalate_at(item.arrived_at, item.deadline);
                group.escalate_at = group.escalate_at.min(escalate_at);
            }
        }
        waiting_by_adapter
    }

    /// Reports whether the deferrable requests for an adapter are no longer held back.
    fn is_released(&self, group: &WaitingRequests, now: Duration) -> bool {
        !self.config.policy.uses_objective()
            || group.deferrable as usize >= self.config.slots
            || group.release_at <= now
    }

    fn plan_dispatch(
        &self,
        waiting: &[WorkItem<'_>],
        waiting_by_adapter: &BTreeMap<&str, WaitingRequests>,
        running: usize,
        now: Duration,
    ) -> Vec<usize> {
        let uses_objective = self.config.policy.uses_objective();
        let reserved_slots = if uses_objective {
            self.config.objective.reserved_slots(self.config.slots)
        } else {
            0
        };
        let mut free_slots = self.config.slots.saturating_sub(running);
        let resident =
            waiting_by_adapter.iter().filter(|(adapter, _)| self.residency.is_resident(adapter));
        let ready: BTreeMap<&str, &WaitingRequests> =
            resident.map(|(a, group)| (*a, group)).collect();
        let deferrable_ready: usize = ready.values().map(|group| group.deferrable as usize).sum();
        let mut may_fill_batch = 2 * running >= self.config.slots
            || deferrable_ready + reserved_slots >= self.config.slots;
        let mut dispatch = Vec::new();
        for (index, item) in waiting.iter().enumerate() {
            let Some(group) = ready.get(item.adapter) else {
                continue;
            };
            let may_run = if item.urgent {
                free_slots > 0
            } else {
                free_slots > reserved_slots && (may_fill_batch || self.is_released(group, now))
            };
            if may_run {
                free_slots -= 1;
                may_fill_batch = true;
                dispatch.push(index);
            }
        }
        dispatch
    }

    fn plan_loads(
        &self,
        waiting_by_adapter: &BTreeMap<&str, WaitingRequests>,
        now: Duration,
    ) -> Vec<LoadRequest> {
        let counts =
            || waiting_by_adapter.iter().map(|(a, g)| ((*a).to_owned(), g.urgent + g.deferrable));
        let mut waiting = None;
        let mut loads = Vec::new();
        for (adapter, group) in waiting_by_adapter {
            if group.urgent == 0 && !self.is_released(group, now) {
                continue;
            }
            let waiting = waiting.get_or_insert_with(|| counts().collect());
            let decision = self.residency.decide_load(adapter, waiting, now);
            if matches!(decision, LoadDecision::Load | LoadDecision::Evict(_)) {
                loads.push(self.load_request(adapter, group, now));
            }
        }
        loads.sort_by(LoadRequest::cmp_priority);
        loads
    }

    /// Describes the load of an adapter; under a baseline policy all loads have the same worth and
    /// go in the order of arrival.
    fn load_request(&self, adapter: &str, group: &WaitingRequests, now: Duration) -> LoadRequest {
        let uses_objective = self.config.policy.uses_objective();
        let batch_fill = f64::from(group.deferrable) / self.config.slots as f64;
        let worth = self.config.objective.load_worth(group.urgent, batch_fill);
        LoadRequest {
            adapter: adapter.to_owned(),
            urgent: uses_objective && (group.urgent > 0 || group.escalate_at <= now),
            worth: if uses_objective { worth } else { 0.0 },
            oldest_arrival: group.oldest_arrival,
        }
    }
}

impl LoadRequest {
    /// Compares by priority: urgent loads first, then greater worth, then earlier arrival.
    pub fn cmp_priority(&self, other: &Self) -> Ordering {
        let by_urgency = other.urgent.cmp(&self.urgent);
        by_urgency
            .then(other.worth.total_cmp(&self.worth))
            .then(self.oldest_arrival.cmp(&other.oldest_arrival))
    }
}
