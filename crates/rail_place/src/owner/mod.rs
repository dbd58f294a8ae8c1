//! What the owner of one engine decides.
//!
//! Each request asks before it is sent. The owner grants it when its adapter is resident and a
//! batch slot is free, orders the load of an adapter that is not, and refuses at once what can't
//! start within the time that the asker gives. Only adapters without a grant are evicted, the one
//! in least demand first. Orders go out one at a time, each with the count of orders that the
//! engine must have accepted, so a late copy of an earlier order is not carried out.

mod held;
mod message;
mod orders;
mod waits;

pub use message::{
    AdapterPath, AdapterStatus, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerCounts,
    OwnerReport, StartId, StartRequest,
};

use held::{Held, HeldState};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use waits::{SLOT_WAIT, reading_time};

/// Adapters that may be on their way to one engine.
///
/// The weight store slows all loads down once too many are under way, so a few at a time end sooner
/// on average than all together.
const MAX_COMING: usize = 2;
/// First estimate of the time of a load from the weight store.
const COLD_LOAD: Duration = Duration::from_millis(255);
/// First estimate of the time of a load that the engine held recently.
const RECENT_LOAD: Duration = Duration::from_millis(30);
/// Time after which a request that was not turned away shows that an adapter is ready.
const PROOF_TIME: Duration = Duration::from_millis(20);
/// Time after which an adapter that no request has tried counts as loaded.
const UNPROVED_REST: Duration = Duration::from_millis(400);
/// Share of the time for a new version after which it replaces an adapter in use.
const FORCE_VERSION_SHARE: f64 = 0.4;
/// Lag of engine reports.
const REPORT_LAG: Duration = Duration::from_millis(450);
/// Pause between reports while the state of the engine is not known.
const REPORT_PAUSE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct Waiting {
    ask: StartRequest,
    since: Duration,
}

/// Decisions for one engine.
#[derive(Debug)]
pub struct EngineOwner {
    slots: u32,
    places: usize,
    version_time: Duration,
    started_unix_ms: Option<u64>,
    models: Vec<String>,
    loading_model: Option<(String, Duration)>,
    held: HashMap<AdapterPath, Held>,
    recent: HashMap<AdapterPath, Duration>,
    granted: HashMap<StartId, Option<AdapterPath>>,
    /// When the prompts of the granted requests should have been read.
    prompts_read_at: Duration,
    waiting: BTreeMap<StartId, Waiting>,
    announced: HashMap<AdapterPath, (u64, Duration)>,
    orders: Vec<OrderKind>,
    sent: Option<OrderKind>,
    accepted_orders: Option<u64>,
    /// Whether a copy of the next order may have been carried out already.
    has_unknown: bool,
    conflicts: u32,
    /// Orders in a row that got no answer.
    unanswered: u32,
    order_at: Duration,
    is_reading: bool,
    read_at: Duration,
    changed_at: Duration,
    cold_load: Duration,
    recent_load: Duration,
    counts: OwnerCounts,
}

impl EngineOwner {
    /// Starts without knowing what the engine holds; a report is due first.
    pub fn new(slots: u32, places: usize, version_time: Duration) -> Self {
        Self {
            slots,
            places,
            version_time,
            started_unix_ms: None,
            models: Vec::new(),
            loading_model: None,
            held: HashMap::new(),
            recent: HashMap::new(),
            granted: HashMap::new(),
            prompts_read_at: Duration::ZERO,
            waiting: BTreeMap::new(),
            announced: HashMap::new(),
            orders: Vec::new(),
            sent: None,
            accepted_orders: None,
            has_unknown: false,
            conflicts: 0,
            unanswered: 0,
            order_at: Duration::ZERO,
            is_reading: false,
            read_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            cold_load: COLD_LOAD,
            recent_load: RECENT_LOAD,
            counts: OwnerCounts::default(),
        }
    }

    /// Gives the counters.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// Counts the requests that were let go and have not ended.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Counts the requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Reports whether an adapter is resident.
    pub fn is_resident(&self, path: &str) -> bool {
        self.held.get(path).is_some_and(|held| held.state == HeldState::Resident)
    }

    /// Tells where an adapter is, as far as a request that asks now has to wait for it.
    pub fn adapter_status(&self, path: &str) -> AdapterStatus {
        match self.held.get(path).map(|held| held.state) {
            Some(HeldState::Resident) => AdapterStatus::Resident,
            Some(HeldState::Loading { .. } | HeldState::Proving { .. }) => AdapterStatus::Loading,
            Some(HeldState::Leaving) | None if self.recent.contains_key(path) => {
                AdapterStatus::Recent
            }
            Some(HeldState::Leaving) | None => AdapterStatus::Cold,
        }
    }

    /// Reports whether the engine holds a base model.
    pub fn holds_model(&self, model: &str) -> bool {
        self.models.iter().any(|held| held == model)
    }

    /// Takes a request that asks to run.
    ///
    /// # Errors
    /// Gives the time after which it may come back when it can't start in time.
    pub fn request_start(&mut self, ask: StartRequest, now: Duration) -> Result<(), Duration> {
        let wait = self.estimate_wait(&ask, now);
        let backlog = self.backlog(now);
        if wait > ask.max_estimated_wait
            || now + wait > ask.start_deadline
            || backlog > ask.max_backlog
        {
            return Err(wait + backlog);
        }
        if let Some(path) = ask.path() {
            self.prepare(&path, now);
        }
        self.waiting.insert(ask.id, Waiting { ask, since: now });
        Ok(())
    }

    /// Takes that an asker waits no more or that its request ended.
    pub fn release(&mut self, id: StartId, end: GrantOutcome, now: Duration) {
        self.waiting.remove(&id);
        let Some(Some(path)) = self.granted.remove(&id) else { return };
        let Some(held) = self.held.get_mut(&path) else { return };
        held.in_use = held.in_use.saturating_sub(1);
        match end {
            GrantOutcome::Ended => {}
            // An engine calls an adapter absent that is still on its way.
            GrantOutcome::Absent if !held.is_coming_late() => {
                self.held.remove(&path);
                self.resync();
            }
            GrantOutcome::NotReady | GrantOutcome::Absent => self.delay(&path, now),
        }
    }

    /// Takes the announcement of an adapter version.
    pub fn record_version(&mut self, path: &str, version: u64, now: Duration) {
        let known = self.announced.get(path).is_some_and(|(known, _)| *known >= version);
        if !known {
            self.announced.insert(path.to_owned(), (version, now));
            self.recent.remove(path);
        }
    }

    /// Orders a base model that the engine lacks.
    pub fn load_model(&mut self, model: &str, load_time: Duration, now: Duration) {
        let is_known = self.holds_model(model) || self.loading_model.is_some();
        if is_known || self.accepted_orders.is_none() {
            return;
        }
        self.loading_model = Some((model.to_owned(), now + load_time * 3));
        self.orders.push(OrderKind::LoadModel(model.to_owned()));
    }

    /// Takes a report that was asked for at `asked_at`.
    pub fn apply_report(&mut self, report: &OwnerReport, asked_at: Duration, now: Duration) {
        self.is_reading = false;
        // A report shows some moments ago; one that may be older than the last change is no use.
        if asked_at < self.changed_at + REPORT_LAG && self.changed_at > Duration::ZERO {
            self.read_at = now + REPORT_PAUSE;
            return;
        }
        self.unanswered = 0;
        self.models.clone_from(&report.models);
        if let Some((model, give_up_at)) = &self.loading_model {
            let is_over = self.models.contains(model) || (!report.is_busy && now > *give_up_at);
            if is_over {
                self.loading_model = None;
            }
        }
        if self.sent.is_none() && self.orders.is_empty() {
            self.accepted_orders = Some(report.accepted_orders);
        }
        let reported: HashMap<&AdapterPath, u64> =
            report.adapters.iter().map(|(path, version)| (path, *version)).collect();
        self.held.retain(|path, held| {
            reported.contains_key(path) || held.in_use > 0 || held.state != HeldState::Resident
        });
        for (path, version) in &report.adapters {
            let held = self.held.entry(path.clone()).or_insert_with(|| Held {
                state: HeldState::Resident,
                was_recent: false,
                has_proof: true,
                delays: 0,
                version: Some(*version),
                in_use: 0,
                demand: 0.0,
                used_at: now,
            });
            held.version = held.version.max(Some(*version));
        }
    }

    /// Takes that a report did not come.
    pub fn record_report_failure(&mut self, now: Duration) {
        self.is_reading = false;
        self.read_at = now + REPORT_PAUSE;
    }

    /// Takes when the engine started, as a record or a report says; either may be behind the other,
    /// so only a later start than the known one means that the engine started anew.
    pub fn record_engine_start(&mut self, started_unix_ms: Option<u64>) {
        let is_later = started_unix_ms > self.started_unix_ms;
        let was_known = self.started_unix_ms.is_some();
        self.started_unix_ms = self.started_unix_ms.max(started_unix_ms);
        if is_later && was_known {
            self.reset();
        }
    }

    /// Forgets everything about the engine, which started anew.
    pub fn reset(&mut self) {
        self.models.clear();
        self.loading_model = None;
        self.held.clear();
        self.orders.clear();
        self.accepted_orders = None;
        self.changed_at = Duration::ZERO;
    }

    /// Gives what is due; `may_order` tells whether orders may be sent now.
    pub fn poll(&mut self, now: Duration, may_order: bool) -> Vec<OwnerCommand> {
        let mut commands = Vec::new();
        self.finish_loads(now);
        self.replace_versions(now);
        self.refuse_late(now, &mut commands);
        self.grant_waiting(now, &mut commands);
        if may_order && self.sent.is_none() && now >= self.order_at {
            commands.extend(self.next_order());
        }
        let wants_report = self.accepted_orders.is_none() || self.loading_model.is_some();
        if wants_report && !self.is_reading && now >= self.read_at && self.sent.is_none() {
            self.is_reading = true;
            self.read_at = now + REPORT_PAUSE;
            commands.push(OwnerCommand::Report);
        }
        commands
    }

    /// Tells when [`EngineOwner::poll`] should be called again without an event.
    pub fn next_poll(&self, now: Duration) -> Duration {
        let loads = self.held.values().filter_map(|held| match held.state {
            HeldState::Loading { ready_at } => Some(ready_at),
            HeldState::Proving { until } => held.has_proof.then_some(until),
            HeldState::Resident | HeldState::Leaving => None,
        });
        let starts = self.waiting.values().map(|waiting| waiting.ask.start_deadline);
        let reads = (self.accepted_orders.is_none() || self.loading_model.is_some())
            .then_some(self.read_at);
        let order = (!self.orders.is_empty() && self.order_at > now).then_some(self.order_at);
        loads.chain(starts).chain(reads).chain(order).min().unwrap_or(now + Duration::from_secs(1))
    }

    /// Starts what an adapter needs to become resident, if there is room.
    fn prepare(&mut self, path: &str, now: Duration) {
        if let Some(held) = self.held.get_mut(path) {
            held.touch(now);
            if held.state == HeldState::Resident {
                self.counts.hits += 1;
            }
            return;
        }
        if self.coming(now) >= MAX_COMING || !self.has_place(now) || self.accepted_orders.is_none()
        {
            return;
        }
        if self.held.len() >= self.places {
            let Some(victim) = self.pick_victim(now) else { return };
            if let Some(held) = self.held.get_mut(&victim) {
                held.state = HeldState::Leaving;
            }
            self.orders.push(OrderKind::Unload(victim));
        }
        let was_recent = self.recent.contains_key(path);
        let load_time = self.load_time(path);
        if was_recent {
            self.counts.recent_loads += 1;
        } else {
            self.counts.cold_loads += 1;
        }
        let version = self.announced.get(path).map(|(version, _)| *version);
        let state = HeldState::Loading { ready_at: now + load_time };
        let held = Held {
            state,
            was_recent,
            has_proof: false,
            delays: 0,
            version,
            in_use: 0,
            demand: 1.0,
            used_at: now,
        };
        self.held.insert(path.to_owned(), held);
        self.orders.push(OrderKind::Load(path.to_owned(), version));
    }

    fn pick_victim(&self, now: Duration) -> Option<AdapterPath> {
        let wanted = |path: &str| {
            self.waiting.values().any(|waiting| waiting.ask.path().as_deref() == Some(path))
        };
        let idle = self.held.iter().filter(|(path, held)| {
            let is_there = match held.state {
                HeldState::Resident => true,
                // The engine refuses to unload what is still on its way.
                HeldState::Proving { until } => now >= until + UNPROVED_REST,
                HeldState::Loading { .. } | HeldState::Leaving => false,
            };
            held.in_use == 0 && is_there && !wanted(path)
        });
        idle.min_by(|(_, a), (_, b)| {
            let demand = a.demand_at(now).total_cmp(&b.demand_at(now));
            demand.then(a.used_at.cmp(&b.used_at))
        })
        .map(|(path, _)| path.clone())
    }

    fn finish_loads(&mut self, now: Duration) {
        let is_queued = |path: &str, orders: &[OrderKind], sent: &Option<OrderKind>| {
            orders
                .iter()
                .chain(sent)
                .any(|order| matches!(order, OrderKind::Load(p, _) if p == path))
        };
        for (path, held) in &mut self.held {
            if let HeldState::Loading { ready_at } = held.state
                && now >= ready_at
                && !is_queued(path, &self.orders, &self.sent)
            {
                held.state = HeldState::Proving { until: now };
                held.has_proof = false;
            }
            if let HeldState::Proving { until } = held.state
                && held.has_proof
                && now >= until
            {
                held.delays = 0;
                held.state = HeldState::Resident;
            }
        }
    }

    /// Replaces adapters of which a newer version was announced.
    fn replace_versions(&mut self, now: Duration) {
        if self.accepted_orders.is_none() {
            return;
        }
        let force_after = self.version_time.mul_f64(FORCE_VERSION_SHARE);
        let stale: Vec<(AdapterPath, u64)> = self
            .announced
            .iter()
            .filter(|(path, (version, since))| {
                self.held.get(*path).is_some_and(|held| {
                    let is_due = held.in_use == 0 || now >= *since + force_after;
                    held.state == HeldState::Resident && held.version < Some(*version) && is_due
                })
            })
            .map(|(path, (version, _))| (path.clone(), *version))
            .collect();
        for (path, version) in stale {
            let ready_at = now + self.cold_load;
            if let Some(held) = self.held.get_mut(&path) {
                held.state = HeldState::Loading { ready_at };
                held.was_recent = false;
                held.version = Some(version);
            }
            self.counts.cold_loads += 1;
            self.orders.push(OrderKind::Load(path, Some(version)));
        }
    }

    fn refuse_late(&mut self, now: Duration, commands: &mut Vec<OwnerCommand>) {
        let late: Vec<StartId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                now > waiting.ask.start_deadline || self.waits_in_vain(&waiting.ask)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(waiting) = self.waiting.remove(&id) {
                let again = self.estimate_wait(&waiting.ask, now).max(SLOT_WAIT);
                commands.push(OwnerCommand::Refuse(id, again));
            }
        }
    }

    /// Lets waiting requests go whose adapter is resident, urgent ones first.
    fn grant_waiting(&mut self, now: Duration, commands: &mut Vec<OwnerCommand>) {
        let mut order: Vec<(u8, Duration, StartId)> = self
            .waiting
            .iter()
            .map(|(id, waiting)| (waiting.ask.rank, waiting.since, *id))
            .collect();
        order.sort_unstable();
        for (_, _, id) in order {
            if self.granted.len() >= self.slots as usize {
                return;
            }
            let Some(path) = self.waiting.get(&id).map(|waiting| waiting.ask.path()) else {
                continue;
            };
            let version = match &path {
                None => None,
                Some(path) => {
                    self.prepare_again(path, now);
                    let Some(held) = self.held.get_mut(path) else { continue };
                    match held.state {
                        HeldState::Resident => {}
                        HeldState::Proving { .. } if !held.has_proof => {
                            held.has_proof = true;
                            held.state = HeldState::Proving { until: now + PROOF_TIME };
                        }
                        HeldState::Proving { .. }
                        | HeldState::Loading { .. }
                        | HeldState::Leaving => continue,
                    }
                    held.in_use += 1;
                    let is_announced = self.announced.contains_key(path);
                    held.version.filter(|_| is_announced)
                }
            };
            if let Some(waiting) = self.waiting.remove(&id) {
                let reading = reading_time(&waiting.ask);
                self.prompts_read_at = self.prompts_read_at.max(now) + reading;
            }
            self.granted.insert(id, path);
            commands.push(OwnerCommand::Grant(id, version));
        }
    }

    fn prepare_again(&mut self, path: &str, now: Duration) {
        if !self.held.contains_key(path) {
            self.prepare(path, now);
        }
    }
}
