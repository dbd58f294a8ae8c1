//! The loop over events in virtual time.

use super::{
    engine::{Engine, Request},
    router::Router,
    store::Store,
    tally::Tally,
};
use crate::{
    belady::fewest_loads,
    profile::{Profile, Shift},
    report::{Measure, Result},
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

/// Time of one order or message over a link.
const LINK: Duration = Duration::from_millis(1);
/// Interval between looks at queues.
const TICK: Duration = Duration::from_millis(250);
/// Loads of one engine that wait for a permit.
const MAX_ASKS: usize = 4;
/// Tokens that only urgent loads may use under the product's policy.
const URGENT_RESERVE: f64 = 1.0;

/// What happens at a moment.
#[derive(Debug)]
enum Event {
    Arrive(usize),
    Done { engine: usize, boot: u32, ticket: SlotTicket, request: Request },
    Loaded { engine: usize, ticket: SlotTicket, permit: PermitId },
    Evicted { engine: usize, ticket: SlotTicket, adapter: String, permit: PermitId },
    Permits,
    Shift,
    Tick,
}

/// Everything that a replay holds.
#[derive(Debug)]
struct World<'a> {
    profile: &'a Profile,
    shift: Shift,
    policy: Policy,
    trace: &'a [Arrival],
    engines: Vec<Engine>,
    router: Router,
    store: Store,
    permits: PermitOwner,
    asked: HashMap<PermitId, (usize, String)>,
    next_permit: PermitId,
    next_grant_at: Option<Duration>,
    agenda: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    open: usize,
    tally: Tally,
}

/// Replays a trace under a policy and sums up.
///
/// # Errors
/// Fails when a histogram can't be made.
pub fn replay(
    profile: &Profile,
    shift: Shift,
    trace: &[Arrival],
    (policy, policy_name): (Policy, &str),
    objective: Objective,
    seed: u64,
) -> Result<Measure> {
    let shape =
        PlannerConfig { adapter_slots: profile.slots, slots: profile.batch, policy, objective };
    let mut world = World {
        profile,
        shift,
        policy,
        trace,
        engines: (0..profile.engines).map(|_| Engine::new(shape)).collect(),
        router: Router::new(policy, profile.engines),
        store: Store::new(profile),
        permits: new_owner(profile, policy, Duration::ZERO),
        asked: HashMap::new(),
        next_permit: 0,
        next_grant_at: None,
        agenda: BTreeMap::new(),
        next_event: 0,
        open: trace.len(),
        tally: Tally::open(profile)?,
    };
    world.run();
    let belady = fewest_loads(trace, profile.slots * profile.engines, profile.warm_up);
    Ok(world.tally.measure(policy_name, seed, world.store.over_rate(), belady))
}

fn new_owner(profile: &Profile, policy: Policy, now: Duration) -> PermitOwner {
    let reserve = if policy.uses_objective() { URGENT_RESERVE } else { 0.0 };
    PermitOwner::new(profile.store_limits(reserve), now)
}

impl World<'_> {
    fn run(&mut self) {
        if !self.trace.is_empty() {
            self.schedule(self.trace[0].at, Event::Arrive(0));
        }
        self.schedule(self.profile.shift_at(), Event::Shift);
        self.schedule(TICK, Event::Tick);
        while self.open > 0
            && let Some(((now, _), event)) = self.agenda.pop_first()
        {
            self.tally.advance(self.engines.iter().map(|engine| engine.running), now);
            self.handle(event, now);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.agenda.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrive(index) => self.arrive(index, now),
            Event::Done { engine, boot, ticket, request } => {
                self.finish(engine, boot, ticket, request, now);
            }
            Event::Loaded { engine, ticket, permit } => {
                self.store.finish();
                self.permits.finish(permit);
                // A load of an earlier boot is of no use.
                let _stale = self.engines[engine]
                    .planner
                    .residency_mut()
                    .finish_load(ticket, true, now, 0.0);
                self.pump(engine, now);
                self.grant(now);
            }
            Event::Evicted { engine, ticket, adapter, permit } => {
                let state = &mut self.engines[engine];
                state.preparing.remove(&adapter);
                let evicted = state.planner.residency_mut().finish_evict(ticket, true, now);
                match evicted {
                    Ok(()) => self.load(engine, &adapter, permit, now),
                    Err(_) => self.permits.finish(permit),
                }
            }
            Event::Permits => {
                self.next_grant_at = None;
                self.grant(now);
            }
            Event::Shift => self.change(now),
            Event::Tick => {
                for engine in 0..self.engines.len() {
                    self.pump(engine, now);
                }
                self.schedule(now + TICK, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Duration) {
        let Arrival { adapter, urgent, .. } = self.trace[index];
        let traffic = if urgent { self.profile.urgent } else { self.profile.deferrable };
        if let Some(next) = self.trace.get(index + 1) {
            self.schedule(next.at, Event::Arrive(index + 1));
        }
        let request = Request {
            adapter: format!("base:a{adapter}@v1"),
            urgent,
            arrived_at: now,
            expires_at: now + traffic.deadline,
        };
        self.route(request, index as u128, now);
    }

    fn route(&mut self, request: Request, id: u128, now: Duration) {
        if self.router.wants_loads(now) {
            let loads = self.engines.iter().map(|engine| engine.load(self.profile.batch));
            self.router.report(loads.collect(), now);
        }
        let engines = &self.engines;
        let queued = |engine: usize| engines[engine].running + engines[engine].queue.len();
        let engine = self.router.choose(&request.adapter, id, queued, now);
        self.engines[engine].planner.residency_mut().record_demand(&request.adapter, now);
        self.engines[engine].push(request);
        self.pump(engine, now);
    }

    fn finish(
        &mut self,
        engine: usize,
        boot: u32,
        ticket: SlotTicket,
        request: Request,
        now: Duration,
    ) {
        let state = &mut self.engines[engine];
        if state.boot != boot {
            // The restart cut it off; all work of a trace is idempotent and runs again.
            self.route(request, 0, now);
            return;
        }
        state.running -= 1;
        if let Some(count) = state.in_use.get_mut(&request.adapter) {
            *count -= 1;
        }
        // The boot is the current one, so the ticket is too.
        let _current = state.planner.residency_mut().release(ticket);
        self.open -= 1;
        self.pump(engine, now);
    }

    /// Does what the planner of an engine decides now.
    fn pump(&mut self, engine: usize, now: Duration) {
        for request in self.engines[engine].remove_expired(now) {
            self.open -= 1;
            self.tally.record(&request, now.saturating_sub(request.arrived_at), false);
        }
        let state = &self.engines[engine];
        let plan = state.planner.plan(&state.items(), state.running, now);
        for position in plan.dispatch.iter().rev() {
            let request = self.engines[engine].queue.remove(*position);
            self.dispatch(engine, request, now);
        }
        self.follow_wishes(engine, &plan.loads, now);
    }

    fn dispatch(&mut self, engine: usize, request: Request, now: Duration) {
        let state = &mut self.engines[engine];
        let Some(ticket) = state.planner.residency_mut().acquire(&request.adapter, now) else {
            state.push(request);
            return;
        };
        let since = state.planner.residency().resident_since(&request.adapter).unwrap_or(now);
        self.tally.record(&request, since.saturating_sub(request.arrived_at), true);
        state.running += 1;
        let in_use = state.in_use.entry(request.adapter.clone()).or_default();
        *in_use += 1;
        let share = f64::from(*in_use) / self.profile.batch as f64;
        let boot = state.boot;
        self.router.observe(&request.adapter, engine, share, now);
        let traffic = if request.urgent { self.profile.urgent } else { self.profile.deferrable };
        let done_at = now + LINK + self.profile.token * traffic.tokens;
        self.schedule(done_at, Event::Done { engine, boot, ticket, request });
    }

    /// Asks for permits of wished loads and withdraws the others.
    fn follow_wishes(&mut self, engine: usize, wishes: &[LoadRequest], now: Duration) {
        let state = &self.engines[engine];
        let wishes = wishes.iter().filter(|wish| !state.preparing.contains(&wish.adapter));
        let wishes: Vec<&LoadRequest> = wishes.take(MAX_ASKS).collect();
        let is_wished = |adapter: &String, urgent: bool| {
            wishes.iter().any(|wish| wish.adapter == *adapter && wish.urgent == urgent)
        };
        let (permits, asked) = (&mut self.permits, &mut self.asked);
        self.engines[engine].asks.retain(|adapter, (id, urgent)| {
            let keep = is_wished(adapter, *urgent);
            if !keep {
                permits.finish(*id);
                asked.remove(id);
            }
            keep
        });
        for wish in wishes {
            if self.engines[engine].asks.contains_key(&wish.adapter) {
                continue;
            }
            let id = self.next_permit;
            self.next_permit += 1;
            if !self.policy.needs_permits() {
                self.prepare(engine, wish.adapter.clone(), id, now);
                continue;
            }
            let ask = PendingPermit { urgent: wish.urgent, worth: wish.worth, requested_at: now };
            self.permits.request(id, ask);
            self.asked.insert(id, (engine, wish.adapter.clone()));
            self.engines[engine].asks.insert(wish.adapter.clone(), (id, wish.urgent));
        }
        self.grant(now);
    }

    fn grant(&mut self, now: Duration) {
        while let Some(id) = self.permits.grant(now) {
            let Some((engine, adapter)) = self.asked.remove(&id) else {
                self.permits.finish(id);
                continue;
            };
            self.engines[engine].asks.remove(&adapter);
            self.prepare(engine, adapter, id, now);
        }
        let Some(wait) = self.permits.time_until_grant().filter(|wait| !wait.is_zero()) else {
            return;
        };
        if self.next_grant_at.is_none_or(|at| now + wait < at) {
            self.next_grant_at = Some(now + wait);
            self.schedule(now + wait, Event::Permits);
        }
    }

    fn prepare(&mut self, engine: usize, adapter: String, permit: PermitId, now: Duration) {
        let state = &mut self.engines[engine];
        match state.planner.residency().decide_load(&adapter, &state.waiting(), now) {
            LoadDecision::Load => self.load(engine, &adapter, permit, now),
            LoadDecision::Evict(victim) => {
                let Ok(ticket) = state.planner.residency_mut().start_evict(&victim, now) else {
                    self.permits.finish(permit);
                    return;
                };
                state.preparing.insert(adapter.clone());
                self.schedule(now + LINK, Event::Evicted { engine, ticket, adapter, permit });
            }
            LoadDecision::Resident
            | LoadDecision::Loading
            | LoadDecision::Full
            | LoadDecision::BackOff(_) => {
                self.permits.finish(permit);
            }
        }
    }

    fn load(&mut self, engine: usize, adapter: &str, permit: PermitId, now: Duration) {
        let residency = self.engines[engine].planner.residency_mut();
        let Ok(ticket) = residency.start_load(adapter, now) else {
            self.permits.finish(permit);
            return;
        };
        self.tally.count_load(now);
        let loaded_at = now + LINK + self.store.book(now);
        self.schedule(loaded_at, Event::Loaded { engine, ticket, permit });
    }

    fn change(&mut self, now: Duration) {
        match self.shift {
            Shift::ColdRestart => {
                let state = &mut self.engines[0];
                state.boot += 1;
                state.running = 0;
                state.in_use.clear();
                state.preparing.clear();
                state.planner.residency_mut().clear();
            }
            Shift::PermitOwner => {
                self.permits = new_owner(self.profile, self.policy, now);
                for engine in &mut self.engines {
                    engine.asks.clear();
                }
                self.asked.clear();
            }
            Shift::None | Shift::Reshuffle | Shift::FlashCrowd | Shift::Night => {}
        }
    }
}
