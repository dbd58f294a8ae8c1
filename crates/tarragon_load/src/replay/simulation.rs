//! Discrete-event simulation that replays a trace in virtual time.

use super::{
    engine::{Engine, Request},
    metrics::MetricsCollector,
    router::Router,
    store::Store,
};
use crate::{
    belady::fewest_loads,
    profile::{Profile, Shift},
    report::{Result, RunMetrics},
    trace::Arrival,
};
use rail_place::{
    LoadDecision, LoadRequest, Objective, PendingPermit, PermitId, PermitOwner, PlannerConfig,
    Policy, SlotTicket,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Latency of one order or message over a link.
const LINK_LATENCY: Duration = Duration::from_millis(1);
/// Interval at which every engine is planned even without an event.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum loads of one engine that wait for a permit.
const MAX_PENDING_PERMITS: usize = 4;
/// Tokens of the load budget that only urgent loads may use, if the policy uses the objective.
const URGENT_RESERVE_TOKENS: f64 = 1.0;

/// Event at a moment of virtual time.
#[derive(Debug)]
enum Event {
    /// The request at this position of the trace arrives.
    Arrival(usize),
    Completed {
        engine: usize,
        restarts: u32,
        ticket: SlotTicket,
        request: Request,
    },
    Loaded {
        engine: usize,
        ticket: SlotTicket,
        permit: PermitId,
    },
    Evicted {
        engine: usize,
        ticket: SlotTicket,
        adapter: String,
        permit: PermitId,
    },
    /// The budget may allow another load.
    GrantPermits,
    Shift,
    /// Every engine is planned.
    Plan,
}

/// State of a replay.
#[derive(Debug)]
struct Simulation<'a> {
    profile: &'a Profile,
    shift: Shift,
    policy: Policy,
    trace: &'a [Arrival],
    engines: Vec<Engine>,
    router: Router,
    store: Store,
    permits: PermitOwner,
    /// Engine and adapter of each permit that was requested and not granted yet.
    pending_permits: HashMap<PermitId, (usize, String)>,
    next_permit_id: PermitId,
    next_grant_at: Option<Duration>,
    /// Future events by time, and for the same time in the order of their scheduling.
    events: BTreeMap<(Duration, u64), Event>,
    next_event_id: u64,
    /// Requests of the trace that are neither completed nor expired.
    unfinished_requests: usize,
    metrics: MetricsCollector,
}

/// Replays a trace under a policy and returns the metrics.
///
/// # Errors
/// Returns an error if a histogram can't be created.
pub fn replay(
    profile: &Profile,
    shift: Shift,
    trace: &[Arrival],
    (policy, policy_name): (Policy, &str),
    objective: Objective,
    seed: u64,
) -> Result<RunMetrics> {
    let config =
        PlannerConfig { adapter_slots: profile.slots, slots: profile.batch, policy, objective };
    let mut simulation = Simulation {
        profile,
        shift,
        policy,
        trace,
        engines: (0..profile.engines).map(|_| Engine::new(config)).collect(),
        router: Router::new(policy, profile.engines),
        store: Store::new(profile),
        permits: new_permit_owner(profile, policy, Duration::ZERO),
        pending_permits: HashMap::new(),
        next_permit_id: 0,
        next_grant_at: None,
        events: BTreeMap::new(),
        next_event_id: 0,
        unfinished_requests: trace.len(),
        metrics: MetricsCollector::new(profile)?,
    };
    simulation.run();
    let belady_loads = fewest_loads(trace, profile.slots * profile.engines, profile.warm_up);
    Ok(simulation.metrics.run_metrics(
        policy_name,
        seed,
        simulation.store.over_rate(),
        belady_loads,
    ))
}

fn new_permit_owner(profile: &Profile, policy: Policy, now: Duration) -> PermitOwner {
    let reserve = if policy.uses_objective() { URGENT_RESERVE_TOKENS } else { 0.0 };
    PermitOwner::new(profile.store_limits(reserve), now)
}

impl Simulation<'_> {
    fn run(&mut self) {
        if !self.trace.is_empty() {
            self.schedule(self.trace[0].at, Event::Arrival(0));
        }
        self.schedule(self.profile.shift_at(), Event::Shift);
        self.schedule(PLAN_INTERVAL, Event::Plan);
        while self.unfinished_requests > 0
            && let Some(((now, _), event)) = self.events.pop_first()
        {
            self.metrics.advance(self.engines.iter().map(|engine| engine.running), now);
            self.handle(event, now);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.insert((at, self.next_event_id), event);
        self.next_event_id += 1;
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index, now),
            Event::Completed { engine, restarts, ticket, request } => {
                self.handle_completion(engine, restarts, ticket, request, now);
            }
            Event::Loaded { engine, ticket, permit } => {
                self.store.finish_load();
                self.permits.finish(permit);
                // The ticket is stale if the engine restarted during the load.
                let _stale_ticket = self.engines[engine]
                    .planner
                    .residency_mut()
                    .finish_load(ticket, true, now, 0.0);
                self.plan_engine(engine, now);
                self.start_granted_loads(now);
            }
            Event::Evicted { engine, ticket, adapter, permit } => {
                let state = &mut self.engines[engine];
                state.awaiting_eviction.remove(&adapter);
                let result = state.planner.residency_mut().finish_evict(ticket, true, now);
                match result {
                    Ok(()) => self.start_load(engine, &adapter, permit, now),
                    Err(_) => self.permits.finish(permit),
                }
            }
            Event::GrantPermits => {
                self.next_grant_at = None;
                self.start_granted_loads(now);
            }
            Event::Shift => self.apply_shift(now),
            Event::Plan => {
                for engine in 0..self.engines.len() {
                    self.plan_engine(engine, now);
                }
                self.schedule(now + PLAN_INTERVAL, Event::Plan);
            }
        }
    }

    fn handle_arrival(&mut self, index: usize, now: Duration) {
        let Arrival { adapter, urgent, .. } = self.trace[index];
        let traffic = if urgent { self.profile.urgent } else { self.profile.deferrable };
        if let Some(next) = self.trace.get(index + 1) {
            self.schedule(next.at, Event::Arrival(index + 1));
        }
        let request = Request {
            adapter: format!("base:a{adapter}@v1"),
            urgent,
            arrived_at: now,
            deadline: now + traffic.deadline,
        };
        self.route(request, index as u128, now);
    }

    fn route(&mut self, request: Request, id: u128, now: Duration) {
        if self.router.needs_engine_loads(now) {
            let loads = self.engines.iter().map(|engine| engine.load(self.profile.batch));
            self.router.record_engine_loads(loads.collect(), now);
        }
        let engines = &self.engines;
        let request_count = |engine: usize| engines[engine].running + engines[engine].queue.len();
        let engine = self.router.choose(&request.adapter, id, request_count, now);
        self.engines[engine].planner.residency_mut().record_demand(&request.adapter, now);
        self.engines[engine].enqueue(request);
        self.plan_engine(engine, now);
    }

    /// Handles the end of a request, which runs again if its engine restarted meanwhile.
    fn handle_completion(
        &mut self,
        engine: usize,
        restarts: u32,
        ticket: SlotTicket,
        request: Request,
        now: Duration,
    ) {
        let state = &mut self.engines[engine];
        if state.restarts != restarts {
            // The restart interrupted the request; all requests of a trace are idempotent.
            self.route(request, 0, now);
            return;
        }
        state.running -= 1;
        if let Some(count) = state.in_use.get_mut(&request.adapter) {
            *count -= 1;
        }
        // Releasing can't fail: the engine has not restarted since the ticket was issued.
        let _released = state.planner.residency_mut().release(ticket);
        self.unfinished_requests -= 1;
        self.plan_engine(engine, now);
    }

    /// Removes expired requests, then dispatches requests and requests permits for loads as the
    /// planner of the engine decides.
    fn plan_engine(&mut self, engine: usize, now: Duration) {
        for request in self.engines[engine].remove_expired(now) {
            self.unfinished_requests -= 1;
            self.metrics.record(&request, now.saturating_sub(request.arrived_at), false);
        }
        let state = &self.engines[engine];
        let plan = state.planner.plan(&state.work_items(), state.running, now);
        for position in plan.dispatch.iter().rev() {
            let request = self.engines[engine].queue.remove(*position);
            self.dispatch(engine, request, now);
        }
        self.update_permit_requests(engine, &plan.loads, now);
    }

    fn dispatch(&mut self, engine: usize, request: Request, now: Duration) {
        let state = &mut self.engines[engine];
        let Some(ticket) = state.planner.residency_mut().acquire(&request.adapter, now) else {
            state.enqueue(request);
            return;
        };
        let resident_since =
            state.planner.residency().resident_since(&request.adapter).unwrap_or(now);
        self.metrics.record(&request, resident_since.saturating_sub(request.arrived_at), true);
        state.running += 1;
        let in_use = state.in_use.entry(request.adapter.clone()).or_default();
        *in_use += 1;
        let share = f64::from(*in_use) / self.profile.batch as f64;
        let restarts = state.restarts;
        self.router.record_usage(&request.adapter, engine, share, now);
        let traffic = if request.urgent { self.profile.urgent } else { self.profile.deferrable };
        let completed_at = now + LINK_LATENCY + self.profile.token * traffic.tokens;
        self.schedule(completed_at, Event::Completed { engine, restarts, ticket, request });
    }

    /// Requests permits for the planned loads and withdraws those of loads no longer planned.
    fn update_permit_requests(&mut self, engine: usize, loads: &[LoadRequest], now: Duration) {
        let state = &self.engines[engine];
        let loads = loads.iter().filter(|load| !state.awaiting_eviction.contains(&load.adapter));
        let loads: Vec<&LoadRequest> = loads.take(MAX_PENDING_PERMITS).collect();
        let is_planned = |adapter: &String, urgent: bool| {
            loads.iter().any(|load| load.adapter == *adapter && load.urgent == urgent)
        };
        let (permits, pending) = (&mut self.permits, &mut self.pending_permits);
        self.engines[engine].pending_permits.retain(|adapter, (id, urgent)| {
            let keep = is_planned(adapter, *urgent);
            if !keep {
                permits.finish(*id);
                pending.remove(id);
            }
            keep
        });
        for load in loads {
            if self.engines[engine].pending_permits.contains_key(&load.adapter) {
                continue;
            }
            let id = self.next_permit_id;
            self.next_permit_id += 1;
            if !self.policy.needs_permits() {
                self.start_permitted_load(engine, load.adapter.clone(), id, now);
                continue;
            }
            let permit =
                PendingPermit { urgent: load.urgent, worth: load.worth, requested_at: now };
            self.permits.request(id, permit);
            self.pending_permits.insert(id, (engine, load.adapter.clone()));
            self.engines[engine].pending_permits.insert(load.adapter.clone(), (id, load.urgent));
        }
        self.start_granted_loads(now);
    }

    /// Starts the loads whose permits the budget grants now, and schedules the next grant.
    fn start_granted_loads(&mut self, now: Duration) {
        while let Some(id) = self.permits.grant(now) {
            let Some((engine, adapter)) = self.pending_permits.remove(&id) else {
                self.permits.finish(id);
                continue;
            };
            self.engines[engine].pending_permits.remove(&adapter);
            self.start_permitted_load(engine, adapter, id, now);
        }
        let Some(wait) = self.permits.time_until_grant().filter(|wait| !wait.is_zero()) else {
            return;
        };
        if self.next_grant_at.is_none_or(|at| now + wait < at) {
            self.next_grant_at = Some(now + wait);
            self.schedule(now + wait, Event::GrantPermits);
        }
    }

    /// Uses a permit: starts the load, or first the eviction that it needs. Returns the permit if
    /// the load is no longer needed or possible.
    fn start_permitted_load(
        &mut self,
        engine: usize,
        adapter: String,
        permit: PermitId,
        now: Duration,
    ) {
        let state = &mut self.engines[engine];
        match state.planner.residency().decide_load(&adapter, &state.queued_by_adapter(), now) {
            LoadDecision::Load => self.start_load(engine, &adapter, permit, now),
            LoadDecision::Evict(evicted) => {
                let Ok(ticket) = state.planner.residency_mut().start_evict(&evicted, now) else {
                    self.permits.finish(permit);
                    return;
                };
                state.awaiting_eviction.insert(adapter.clone());
                self.schedule(
                    now + LINK_LATENCY,
                    Event::Evicted { engine, ticket, adapter, permit },
                );
            }
            LoadDecision::Resident
            | LoadDecision::Loading
            | LoadDecision::Full
            | LoadDecision::BackOff(_) => {
                self.permits.finish(permit);
            }
        }
    }

    fn start_load(&mut self, engine: usize, adapter: &str, permit: PermitId, now: Duration) {
        let residency = self.engines[engine].planner.residency_mut();
        let Ok(ticket) = residency.start_load(adapter, now) else {
            self.permits.finish(permit);
            return;
        };
        self.metrics.count_load(now);
        let loaded_at = now + LINK_LATENCY + self.store.start_load(now);
        self.schedule(loaded_at, Event::Loaded { engine, ticket, permit });
    }

    /// Applies a shift that changes the fleet. Shifts of the traffic are already part of the trace.
    fn apply_shift(&mut self, now: Duration) {
        match self.shift {
            Shift::ColdRestart => {
                let state = &mut self.engines[0];
                state.restarts += 1;
                state.running = 0;
                state.in_use.clear();
                state.awaiting_eviction.clear();
                state.planner.residency_mut().clear();
            }
            Shift::PermitOwner => {
                self.permits = new_permit_owner(self.profile, self.policy, now);
                for engine in &mut self.engines {
                    engine.pending_permits.clear();
                }
                self.pending_permits.clear();
            }
            Shift::None | Shift::Reshuffle | Shift::FlashCrowd | Shift::Night => {}
        }
    }
}
