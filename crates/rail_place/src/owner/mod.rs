//! Grants, loads and evictions of one engine, decided by its owner.
//!
//! Each request needs a grant before it is sent to the engine. The owner grants it when its adapter
//! is resident and a slot is free, orders the load of an adapter that is not resident, and refuses
//! at once a request that can't start within its limits. Only idle adapters are evicted, the one
//! with the least demand first. Orders are sent one at a time, each with the count of orders that
//! the engine must have accepted, so a late copy of an earlier order is not carried out.

mod adapter;
mod estimate;
mod fairness;
mod grants;
mod late_copies;
mod load_states;
mod message;
mod orders;

pub use fairness::{WorkShare, WorkspaceKey};
pub use message::{
    AdapterPath, AdapterStatus, EngineRoom, GrantOutcome, OrderKind, OrderResult, OwnerCommand,
    OwnerCounts, OwnerReport, StartId, StartRequest,
};

use crate::{
    kept::KeptParts,
    pace::{PromptPacer, StreamTiming},
    slot_time::SlotTimes,
    versions::{AdapterVersion, AdapterVersions, AnnouncedAfter},
};
use adapter::{AdapterEntry, LoadState, Occupancy};
use fairness::WorkShares;
use grants::GrantedRequest;
use late_copies::LateCopies;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Most loads in progress on one engine. The weight store slows all loads down once too many are
/// in progress, so a few at a time end sooner on average than all at once.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Estimated duration of a load from the weight store before any was observed.
const INITIAL_COLD_LOAD_ESTIMATE: Duration = Duration::from_millis(255);
/// The same estimate for an adapter that the engine had recently.
const INITIAL_RECENT_LOAD_ESTIMATE: Duration = Duration::from_millis(30);
/// Time after the trial request of an unconfirmed adapter was granted, after which the adapter
/// counts as resident unless the engine refused the request.
const CONFIRM_TIME: Duration = Duration::from_millis(20);
/// Time after the expected end of a load until which an adapter that no request has tried may still
/// be loading; it is not evicted before.
const UNTRIED_LOAD_TIME: Duration = Duration::from_millis(400);
/// Time by which the contents of an engine's report can lag behind the engine.
const REPORT_LAG: Duration = Duration::from_millis(450);
/// Interval between reports while the state of the engine is not known.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct WaitingRequest {
    request: StartRequest,
    /// Share of the workspace that sends it; `None` without workspaces.
    share: Option<WorkShare>,
    queued_at: Duration,
}

/// State of one engine, and the requests that wait for it or run on it.
#[derive(Debug)]
pub struct EngineOwner {
    slots: u32,
    adapter_slots: usize,
    version_timeout: Duration,
    started_unix_ms: Option<u64>,
    models: Vec<String>,
    loading_model: Option<(String, Duration)>,
    adapters: HashMap<AdapterPath, AdapterEntry>,
    /// Adapters that should be in the engine's host memory, with the time of their last order.
    recent: HashMap<AdapterPath, Duration>,
    granted: HashMap<StartId, GrantedRequest>,
    pacer: PromptPacer,
    slot_times: SlotTimes,
    /// Parts of prompts that the engine need not read again.
    kept: KeptParts,
    /// When the engine may read the next prompt, if one waits only for that.
    reads_at: Option<Duration>,
    waiting: BTreeMap<StartId, WaitingRequest>,
    work_shares: WorkShares,
    announced: AdapterVersions,
    orders: Vec<OrderKind>,
    sent: Option<OrderKind>,
    /// Orders that the engine has accepted; none until a report contains the count.
    accepted_orders: Option<u64>,
    /// Whether a copy of the next order got no answer and may have been carried out.
    has_unanswered_copy: bool,
    /// Orders that a restarted engine may still carry out.
    late_copies: LateCopies,
    consecutive_conflicts: u32,
    consecutive_unanswered: u32,
    /// When the last applied report was requested.
    reported_at: Option<Duration>,
    /// Earliest time of the next order.
    order_at: Duration,
    awaits_report: bool,
    /// Earliest time at which the next report is requested.
    report_at: Duration,
    changed_at: Duration,
    cold_load_estimate: Duration,
    recent_load_estimate: Duration,
    counts: OwnerCounts,
}

impl EngineOwner {
    /// Creates the owner of an engine whose state is not known, so a report is requested first.
    /// A newly announced adapter version should be loaded within `version_timeout`.
    pub fn new(slots: u32, adapter_slots: usize, version_timeout: Duration) -> Self {
        Self {
            slots,
            adapter_slots,
            version_timeout,
            started_unix_ms: None,
            models: Vec::new(),
            loading_model: None,
            adapters: HashMap::new(),
            recent: HashMap::new(),
            granted: HashMap::new(),
            pacer: PromptPacer::default(),
            slot_times: SlotTimes::default(),
            kept: KeptParts::default(),
            reads_at: None,
            waiting: BTreeMap::new(),
            work_shares: WorkShares::default(),
            announced: AdapterVersions::default(),
            orders: Vec::new(),
            sent: None,
            accepted_orders: None,
            has_unanswered_copy: false,
            late_copies: LateCopies::default(),
            consecutive_conflicts: 0,
            consecutive_unanswered: 0,
            reported_at: None,
            order_at: Duration::ZERO,
            awaits_report: false,
            report_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            cold_load_estimate: INITIAL_COLD_LOAD_ESTIMATE,
            recent_load_estimate: INITIAL_RECENT_LOAD_ESTIMATE,
            counts: OwnerCounts::default(),
        }
    }

    /// Returns the counters since the creation of this owner.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// Returns the number of granted requests that have not ended.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of requests that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the speed at which the engine seems to read prompts, in tokens per second.
    pub fn reading_tokens_per_s(&self) -> f64 {
        self.pacer.tokens_per_s()
    }

    /// Reports whether an adapter is resident.
    pub fn is_resident(&self, path: &str) -> bool {
        self.adapters.get(path).is_some_and(|entry| entry.state == LoadState::Resident)
    }

    /// Returns how soon the engine can use an adapter.
    pub fn adapter_status(&self, path: &str) -> AdapterStatus {
        match self.adapters.get(path).map(|entry| entry.state) {
            Some(LoadState::Resident) => AdapterStatus::Resident,
            Some(LoadState::Loading { .. } | LoadState::Unconfirmed { .. }) => {
                AdapterStatus::Loading
            }
            Some(LoadState::Unloading) | None if self.recent.contains_key(path) => {
                AdapterStatus::Recent
            }
            Some(LoadState::Unloading) | None => AdapterStatus::Cold,
        }
    }

    /// Reports whether a base model is loaded on the engine.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|loaded| loaded == model)
    }

    /// Queues a request for a grant, and orders the load of its adapter if necessary.
    ///
    /// # Errors
    /// Returns when the request may be retried, if it can't start within its limits.
    pub fn request_start(&mut self, request: StartRequest, now: Duration) -> Result<(), Duration> {
        self.request_start_for(request, None, now)
    }

    /// Queues a request of a workspace, otherwise as [`EngineOwner::request_start`] does.
    ///
    /// # Errors
    /// Returns when the request may be retried, if it can't start within its limits.
    pub fn request_start_for(
        &mut self,
        request: StartRequest,
        share: Option<WorkShare>,
        now: Duration,
    ) -> Result<(), Duration> {
        if let Some(share) = share {
            self.work_shares.record_request(share, now);
        }
        let wait = self.estimate_wait(&request, share, now);
        let backlog = self.backlog_of(&request, share, now);
        if wait > request.max_estimated_wait
            || now + wait > request.start_deadline
            || backlog > request.max_backlog
            || (!request.may_be_late && self.would_be_late(&request, wait.max(backlog), now))
        {
            return Err(wait.max(backlog));
        }
        if let Some(path) = request.path() {
            self.ensure_load(&path, now);
        }
        self.waiting.insert(request.id, WaitingRequest { request, share, queued_at: now });
        Ok(())
    }

    /// Removes a waiting request, or ends a granted one, with the times of its answer if it was a
    /// stream.
    pub fn release(
        &mut self,
        id: StartId,
        outcome: GrantOutcome,
        timing: Option<StreamTiming>,
        now: Duration,
    ) {
        self.waiting.remove(&id);
        let may_have_run = outcome.may_have_run();
        let unread_tokens = self.pacer.stop_reading(id, may_have_run, now);
        self.pacer.end(id, timing);
        self.slot_times.end(id, may_have_run, now);
        let Some(granted) = self.granted.remove(&id) else { return };
        if outcome != GrantOutcome::Ended {
            self.give_back(&granted, unread_tokens, may_have_run, now);
        }
        let Some(path) = granted.adapter else { return };
        let Some(entry) = self.adapters.get_mut(&path) else { return };
        entry.in_use = entry.in_use.saturating_sub(1);
        match outcome {
            GrantOutcome::Ended => {}
            GrantOutcome::Abandoned => entry.record_abandoned_run(now),
            // An engine also answers that an adapter is absent while it is still being loaded.
            GrantOutcome::Absent if !entry.may_still_load() => {
                self.adapters.remove(&path);
                self.request_resync();
            }
            GrantOutcome::NotReady | GrantOutcome::Absent => self.postpone_adapter(&path, now),
        }
    }

    /// Records an announced version of an adapter; an older one than the known one is ignored.
    pub fn record_version(
        &mut self,
        path: &str,
        version: AdapterVersion,
        announced_after: AnnouncedAfter,
    ) {
        if self.announced.record(path, version, announced_after) {
            self.recent.remove(path);
        }
    }

    /// Orders the load of a base model, unless it is loaded or a load of a model is in progress.
    pub fn load_model(&mut self, model: &str, load_time: Duration, now: Duration) {
        let is_known = self.has_model(model) || self.loading_model.is_some();
        if is_known || self.accepted_orders.is_none() {
            return;
        }
        self.loading_model = Some((model.to_owned(), now + load_time * 3));
        self.orders.push(OrderKind::LoadModel(model.to_owned()));
    }

    /// Updates the tracked state from an engine's report that was requested at `requested_at`.
    pub fn apply_report(&mut self, report: &OwnerReport, requested_at: Duration, now: Duration) {
        self.awaits_report = false;
        // A report lags behind, so one that may be older than the last change is ignored.
        if requested_at < self.changed_at + REPORT_LAG && self.changed_at > Duration::ZERO {
            self.report_at = now + REPORT_INTERVAL;
            return;
        }
        self.consecutive_unanswered = 0;
        self.reported_at = Some(requested_at);
        self.models.clone_from(&report.models);
        if let Some((model, load_deadline)) = &self.loading_model {
            let is_done = self.models.contains(model) || (!report.is_busy && now > *load_deadline);
            if is_done {
                self.loading_model = None;
            }
        }
        let is_resync = self.accepted_orders.is_none();
        if self.sent.is_none() && self.orders.is_empty() {
            self.accepted_orders = Some(report.accepted_orders);
        }
        let reported: HashMap<&AdapterPath, u64> =
            report.adapters.iter().map(|(path, version)| (path, *version)).collect();
        let pending: Vec<AdapterPath> = self.pending_unloads().cloned().collect();
        self.adapters.retain(|path, entry| {
            let is_expected =
                !is_resync && entry.state != LoadState::Resident && !pending.contains(path);
            reported.contains_key(path) || entry.in_use > 0 || is_expected
        });
        for (path, version) in &report.adapters {
            let entry = self.adapters.entry(path.clone()).or_insert_with(|| AdapterEntry {
                state: LoadState::Resident,
                was_recent: false,
                was_tried: true,
                not_ready_count: 0,
                version: Some(*version),
                occupancy: Occupancy::Proven,
                in_use: 0,
                abandoned_until: Duration::ZERO,
                demand: 0.0,
                used_at: now,
            });
            entry.version = entry.version.max(Some(*version));
            entry.occupancy = Occupancy::Proven;
        }
    }

    /// Records that a requested report did not arrive; it is requested again after a pause.
    pub fn record_report_failure(&mut self, now: Duration) {
        self.awaits_report = false;
        self.report_at = now + REPORT_INTERVAL;
    }

    /// Records that another host or process may have ordered the engine until now, of which the
    /// engine may still carry out orders if it restarts. `engine_age` is the time since its start.
    pub fn record_takeover(&mut self, engine_age: Duration, now: Duration) {
        self.late_copies.record_takeover(engine_age, now);
    }

    /// Records the start time of the engine from its registration or its report. Either may lag
    /// behind the other, so only a later start than the known one counts as a restart.
    pub fn record_engine_start(&mut self, started_unix_ms: Option<u64>) {
        let is_later = started_unix_ms > self.started_unix_ms;
        let had_start = self.started_unix_ms.is_some();
        self.started_unix_ms = self.started_unix_ms.max(started_unix_ms);
        if is_later && had_start {
            self.reset();
        }
    }

    /// Clears the tracked state after the engine restarted.
    pub fn reset(&mut self) {
        self.models.clear();
        self.loading_model = None;
        self.adapters.clear();
        // Their runs ended with the engine, so they use no adapter that is loaded again.
        for granted in self.granted.values_mut() {
            granted.adapter = None;
        }
        self.orders.clear();
        self.accepted_orders = None;
        self.consecutive_conflicts = 0;
        self.consecutive_unanswered = 0;
        self.has_unanswered_copy = false;
        self.late_copies.record_restart();
        self.changed_at = Duration::ZERO;
        self.pacer.reset();
        self.slot_times.reset();
        self.kept.clear();
    }

    /// Returns the commands that are due now; orders only if `may_order` is set.
    pub fn poll(&mut self, now: Duration, may_order: bool) -> Vec<OwnerCommand> {
        let mut commands = Vec::new();
        self.late_copies.prune(now);
        self.update_load_states(now);
        self.replace_versions(now);
        self.refuse_overdue(now, &mut commands);
        self.grant_waiting(now, &mut commands);
        if may_order && self.sent.is_none() && now >= self.order_at {
            commands.extend(self.next_order(now));
        }
        if self.needs_report()
            && !self.awaits_report
            && now >= self.report_at
            && self.sent.is_none()
        {
            self.awaits_report = true;
            self.report_at = now + REPORT_INTERVAL;
            commands.push(OwnerCommand::Report);
        }
        commands
    }

    /// Returns the time at which [`EngineOwner::poll`] must be called if no event occurs before.
    pub fn next_poll(&self, now: Duration) -> Duration {
        let loads = self.adapters.values().filter_map(|entry| match entry.state {
            LoadState::Loading { ready_at } => Some(ready_at),
            LoadState::Unconfirmed { until } => entry.was_tried.then_some(until),
            LoadState::Resident | LoadState::Unloading => None,
        });
        let start = self.waiting.values().map(|waiting| waiting.request.start_deadline);
        let report = self.needs_report().then_some(self.report_at);
        let order = (!self.orders.is_empty() && self.order_at > now).then_some(self.order_at);
        let replacement = self.next_replacement();
        let times = loads.chain(start).chain(report).chain(order).chain(self.reads_at);
        times.chain(replacement).min().unwrap_or(now + Duration::from_secs(1))
    }

    /// Reports whether the count of orders, the model or a free slot is to be read from a report.
    fn needs_report(&self) -> bool {
        self.accepted_orders.is_none()
            || self.loading_model.is_some()
            || self.pending_unloads().next().is_some()
    }

    /// Counts a use of an adapter, or orders its load if an adapter slot can be freed for it.
    fn ensure_load(&mut self, path: &str, now: Duration) {
        if let Some(entry) = self.adapters.get_mut(path) {
            entry.record_use(now);
            if entry.state == LoadState::Resident {
                self.counts.hits += 1;
            }
            return;
        }
        if self.loading(now) >= MAX_CONCURRENT_LOADS
            || !self.can_free_slot(now)
            || self.accepted_orders.is_none()
        {
            return;
        }
        if self.adapters.len() >= self.adapter_slots {
            let Some(evicted) = self.select_eviction(now) else { return };
            if let Some(entry) = self.adapters.get_mut(&evicted) {
                entry.state = LoadState::Unloading;
            }
            self.orders.push(OrderKind::Unload(evicted));
        }
        let was_recent = self.recent.contains_key(path);
        let load_time = self.load_time(path);
        if was_recent {
            self.counts.recent_loads += 1;
        } else {
            self.counts.cold_loads += 1;
        }
        let version = self.announced.newest(path);
        let state = LoadState::Loading { ready_at: now + load_time };
        let entry = AdapterEntry {
            state,
            was_recent,
            was_tried: false,
            not_ready_count: 0,
            version,
            occupancy: Occupancy::None,
            in_use: 0,
            abandoned_until: Duration::ZERO,
            demand: 1.0,
            used_at: now,
        };
        self.adapters.insert(path.to_owned(), entry);
        self.orders.push(OrderKind::Load(path.to_owned(), version));
    }

    /// Selects the idle adapter with the least demand for which no request waits.
    fn select_eviction(&self, now: Duration) -> Option<AdapterPath> {
        let wanted = |path: &str| {
            self.waiting.values().any(|waiting| waiting.request.path().as_deref() == Some(path))
        };
        let idle = self.adapters.iter().filter(|(path, entry)| entry.is_idle(now) && !wanted(path));
        idle.min_by(|(_, a), (_, b)| {
            let demand = a.demand_at(now).total_cmp(&b.demand_at(now));
            demand.then(a.used_at.cmp(&b.used_at))
        })
        .map(|(path, _)| path.clone())
    }
}
