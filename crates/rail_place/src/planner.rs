//! What an engine should run and load next.

use crate::{
    objective::Objective,
    policy::Policy,
    residency::{AdapterKey, LoadDecision, Residency},
};
use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

/// One request that waits for the engine.
#[derive(Debug, Clone, Copy)]
pub struct WorkItem<'a> {
    /// Adapter version that it names.
    pub adapter: &'a str,
    /// Whether somebody waits for the answer.
    pub urgent: bool,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When the answer is of no use any more.
    pub expires_at: Duration,
}

/// A load that waiting work asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRequest {
    /// Adapter version to load.
    pub adapter: AdapterKey,
    /// Whether urgent work, or deferrable work close to its deadline, waits for it.
    pub urgent: bool,
    /// Worth of the load; greater goes first.
    pub worth: f64,
    /// Arrival of the oldest request that waits for it.
    pub since: Duration,
}

/// What to do now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Positions of waiting requests to dispatch, ascending.
    pub dispatch: Vec<usize>,
    /// Loads to get a permit for, most worth first.
    pub loads: Vec<LoadRequest>,
}

/// Size and policy of one engine.
#[derive(Debug, Clone, Copy)]
pub struct PlannerConfig {
    /// Adapter slots.
    pub adapter_slots: usize,
    /// Requests that run at once.
    pub slots: usize,
    /// Placement policy.
    pub policy: Policy,
    /// Weights of the deployment.
    pub objective: Objective,
}

/// Decides for one engine.
#[derive(Debug, Clone)]
pub struct EnginePlanner {
    config: PlannerConfig,
    residency: Residency,
}

#[derive(Debug, Clone, Copy)]
struct Group {
    urgent: u32,
    deferrable: u32,
    arrived_at: Duration,
    release_at: Duration,
    escalate_at: Duration,
}

impl EnginePlanner {
    /// Starts with nothing loaded.
    pub fn new(config: PlannerConfig) -> Self {
        Self { config, residency: Residency::new(config.adapter_slots, config.policy.eviction()) }
    }

    /// Gives the slots.
    pub fn residency(&self) -> &Residency {
        &self.residency
    }

    /// Gives the slots to change.
    pub fn residency_mut(&mut self) -> &mut Residency {
        &mut self.residency
    }

    /// Plans for requests in the order of the queue while `running` others run.
    pub fn plan(&self, waiting: &[WorkItem<'_>], running: usize, now: Duration) -> Plan {
        let groups = self.group(waiting);
        let dispatch = self.plan_dispatch(waiting, &groups, running, now);
        Plan { dispatch, loads: self.plan_loads(&groups, now) }
    }

    fn group<'a>(&self, waiting: &[WorkItem<'a>]) -> BTreeMap<&'a str, Group> {
        let mut groups = BTreeMap::new();
        for item in waiting {
            let group = groups.entry(item.adapter).or_insert(Group {
                urgent: 0,
                deferrable: 0,
                arrived_at: item.arrived_at,
                release_at: Duration::MAX,
                escalate_at: Duration::MAX,
            });
            group.arrived_at = group.arrived_at.min(item.arrived_at);
            if item.urgent {
                group.urgent += 1;
            } else {
                group.deferrable += 1;
                let release_at = self.config.objective.release_at(item.arrived_at, item.expires_at);
                group.release_at = group.release_at.min(release_at);
                let escalate_at =
                    self.config.objective.escalate_at(item.arrived_at, item.expires_at);
                group.escalate_at = group.escalate_at.min(escalate_at);
            }
        }
        groups
    }

    /// Reports whether the deferrable work of an adapter gathers no longer.
    fn is_released(&self, group: &Group, now: Duration) -> bool {
        !self.config.policy.uses_objective()
            || group.deferrable as usize >= self.config.slots
            || group.release_at <= now
    }

    fn plan_dispatch(
        &self,
        waiting: &[WorkItem<'_>],
        groups: &BTreeMap<&str, Group>,
        running: usize,
        now: Duration,
    ) -> Vec<usize> {
        let is_planned = self.config.policy.uses_objective();
        let reserved =
            if is_planned { self.config.objective.reserved_slots(self.config.slots) } else { 0 };
        let mut free = self.config.slots.saturating_sub(running);
        let resident = groups.iter().filter(|(adapter, _)| self.residency.is_resident(adapter));
        let ready: BTreeMap<&str, &Group> = resident.map(|(a, group)| (*a, group)).collect();
        let gathered: usize = ready.values().map(|group| group.deferrable as usize).sum();
        let mut is_filling =
            2 * running >= self.config.slots || gathered + reserved >= self.config.slots;
        let mut dispatch = Vec::new();
        for (index, item) in waiting.iter().enumerate() {
            let Some(group) = ready.get(item.adapter) else {
                continue;
            };
            let may_run = if item.urgent {
                free > 0
            } else {
                free > reserved && (is_filling || self.is_released(group, now))
            };
            if may_run {
                free -= 1;
                is_filling = true;
                dispatch.push(index);
            }
        }
        dispatch
    }

    fn plan_loads(&self, groups: &BTreeMap<&str, Group>, now: Duration) -> Vec<LoadRequest> {
        let counts = || groups.iter().map(|(a, g)| ((*a).to_owned(), g.urgent + g.deferrable));
        let mut waiting = None;
        let mut loads = Vec::new();
        for (adapter, group) in groups {
            if group.urgent == 0 && !self.is_released(group, now) {
                continue;
            }
            let waiting = waiting.get_or_insert_with(|| counts().collect());
            let admission = self.residency.decide_load(adapter, waiting, now);
            if matches!(admission, LoadDecision::Load | LoadDecision::Evict(_)) {
                loads.push(self.wish(adapter, group, now));
            }
        }
        loads.sort_by(LoadRequest::cmp_order);
        loads
    }

    /// Baselines load in the order of arrival.
    fn wish(&self, adapter: &str, group: &Group, now: Duration) -> LoadRequest {
        let is_planned = self.config.policy.uses_objective();
        let fill = f64::from(group.deferrable) / self.config.slots as f64;
        let worth = self.config.objective.load_worth(group.urgent, fill);
        LoadRequest {
            adapter: adapter.to_owned(),
            urgent: is_planned && (group.urgent > 0 || group.escalate_at <= now),
            worth: if is_planned { worth } else { 0.0 },
            since: group.arrived_at,
        }
    }
}

impl LoadRequest {
    /// Orders urgent loads first, then by worth, then by arrival.
    pub fn cmp_order(&self, other: &Self) -> Ordering {
        let class = other.urgent.cmp(&self.urgent);
        class.then(other.worth.total_cmp(&self.worth)).then(self.since.cmp(&other.since))
    }
}
