//! Engines that this host owns: runs the decisions of [`EngineOwner`] against real time and the
//! network.

use crate::{
    engine_orders::{execute_order, update_from_report},
    events::Event,
    node::{Node, SharedNode},
};
use rail_peer::{GrantRelease, GrantRequest};
use rail_place::{
    AdapterVersion, AnnouncedAfter, SharedPart,
    owner::{
        AdapterStatus, EngineOwner, GrantOutcome, OwnerCommand, StartId, StartRequest, WorkShare,
    },
};
use rail_route::{Upstream, UpstreamId};
use rail_runtime::time_since_boot;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Notify, oneshot};

/// Interval at which drivers are started and stopped to match the ownership records.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest wait after which a grant is logged; grants after shorter waits are only counted.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(50);
/// Least wait that a refused request accepts, in milliseconds, for its refusal to be logged. Requests
/// that accept less only compare engines.
const MIN_LOGGED_LIMIT_MS: u32 = 300;
/// Shortest prompt whose grant is logged after any wait, since it may hold up running streams.
const MIN_LOGGED_PROMPT_TOKENS: u32 = 4_000;
/// Shortest time between two polls of one engine's owner.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Decision of an engine's owner on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantDecision {
    /// The request may start, on this adapter version if one is given.
    Granted(Option<u64>),
    /// The request can't start in time; the caller may retry after this time.
    Refused(Duration),
}

/// A request that waits for the decision of the owner.
#[derive(Debug)]
struct WaitingRequest {
    request: String,
    adapter: String,
    adapter_status: AdapterStatus,
    prompt_tokens: u32,
    queued_at: Duration,
    decision: oneshot::Sender<GrantDecision>,
}

/// Connects the state machine of one owned engine with its waiting requests and its task.
#[derive(Debug)]
pub struct EngineDriver {
    /// Identity of the engine.
    pub id: UpstreamId,
    /// State machine that decides for it.
    pub owner: RefCell<EngineOwner>,
    waiting_requests: RefCell<HashMap<StartId, WaitingRequest>>,
    /// Lets the owner decide again.
    pub wake: Notify,
    is_stopped: Cell<bool>,
}

/// Engines that this host owns. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct OwnedEngines {
    drivers: Rc<RefCell<HashMap<UpstreamId, Rc<EngineDriver>>>>,
    next_start_id: Rc<Cell<StartId>>,
}

/// A request queued or granted at an engine that this host owns; dropping it cancels the wait or
/// releases the grant.
#[derive(Debug)]
pub struct LocalGrant {
    driver: Rc<EngineDriver>,
    id: StartId,
    release: GrantRelease,
    clock: rail_runtime::MonotonicClock,
    decision: Option<oneshot::Receiver<GrantDecision>>,
}

impl LocalGrant {
    /// Waits until the owner grants or refuses the request. Later calls return a refusal.
    pub async fn decision(&mut self) -> GrantDecision {
        match self.decision.take() {
            // The sender is dropped only when this host stops owning the engine.
            Some(decision) => decision.await.unwrap_or(GrantDecision::Refused(Duration::ZERO)),
            None => GrantDecision::Refused(Duration::ZERO),
        }
    }

    /// Releases the grant and tells the owner how the request ended. Dropping it instead says that
    /// the request was abandoned.
    pub fn release(mut self, release: GrantRelease) {
        self.release = release;
    }
}

impl Drop for LocalGrant {
    fn drop(&mut self) {
        self.driver.waiting_requests.borrow_mut().remove(&self.id);
        let GrantRelease { outcome, timing } = self.release;
        self.driver.owner.borrow_mut().release(self.id, outcome, timing, self.clock.now());
        self.driver.wake.notify_one();
    }
}

impl OwnedEngines {
    /// Requests to start on an engine. Returns `None` if this host does not own the engine.
    ///
    /// # Errors
    /// Returns the time after which to retry if the request can't start in time.
    pub fn request_grant(
        &self,
        node: &Node,
        call: &GrantRequest,
        share: Option<WorkShare>,
    ) -> Option<Result<LocalGrant, Duration>> {
        let driver = Rc::clone(self.drivers.borrow().get(&call.upstream)?);
        let id = self.next_start_id.get();
        self.next_start_id.set(id + 1);
        let now = node.now();
        let start_request = StartRequest {
            id,
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            priority: call.priority,
            prompt_tokens: call.prompt_tokens,
            shared_parts: call
                .shared_parts
                .iter()
                .map(|(key, tokens)| SharedPart { key: *key, tokens: *tokens })
                .collect(),
            max_event_gap: call.max_event_gap_ms.map(|gap_ms| Duration::from_millis(gap_ms.into())),
            max_estimated_wait: Duration::from_millis(u64::from(call.max_estimated_wait_ms)),
            start_deadline: now + Duration::from_millis(u64::from(call.wait_ms)),
            may_be_late: call.may_be_late,
            late_at: now + Duration::from_millis(u64::from(call.late_in_ms)),
            max_backlog: Duration::from_millis(u64::from(call.max_backlog_ms)),
        };
        let (decision, receiver) = oneshot::channel();
        let waiting_request = WaitingRequest {
            request: call.request.clone(),
            adapter: call.adapter.clone().unwrap_or_default(),
            adapter_status: driver.adapter_status(call),
            prompt_tokens: call.prompt_tokens,
            queued_at: now,
            decision,
        };
        let accepted = driver.owner.borrow_mut().request_start_for(start_request, share, now);
        if let Err(retry_after) = accepted {
            if call.max_estimated_wait_ms >= MIN_LOGGED_LIMIT_MS {
                driver.log_decision(node, &waiting_request, GrantDecision::Refused(retry_after));
            }
            return Some(Err(retry_after));
        }
        driver.waiting_requests.borrow_mut().insert(id, waiting_request);
        driver.wake.notify_one();
        let decision = Some(receiver);
        Some(Ok(LocalGrant {
            driver,
            id,
            release: GrantRelease { outcome: GrantOutcome::Abandoned, timing: None },
            clock: node.clock,
            decision,
        }))
    }

    /// Returns the number of engines that this host owns.
    pub fn len(&self) -> usize {
        self.drivers.borrow().len()
    }

    /// Passes a newly announced adapter version to the owners of all engines.
    pub fn announce_version(
        &self,
        node: &Node,
        adapter: &str,
        version: AdapterVersion,
        announced_after: AnnouncedAfter,
    ) {
        let announced_after = on_node_clock(node, announced_after);
        for driver in self.drivers.borrow().values() {
            driver.owner.borrow_mut().record_version(adapter, version, announced_after);
            driver.wake.notify_one();
        }
    }

    /// Spawns the task that starts and stops an [`EngineDriver`] as ownership changes.
    pub fn spawn(node: &SharedNode) {
        let node = Rc::clone(node);
        actix_rt::spawn(async move {
            loop {
                node.engines.sync(&node);
                let pause = tokio::time::sleep(SYNC_INTERVAL);
                tokio::select! {
                    () = pause => {}
                    () = node.records_changed.notified() => {}
                }
            }
        });
    }

    /// Starts drivers for newly owned engines and stops those of engines that were lost.
    fn sync(&self, node: &SharedNode) {
        let owned: Vec<Arc<Upstream>> = {
            let (upstreams, owners) = (node.upstreams.borrow(), node.owners.borrow());
            let is_own = |upstream: &&Arc<Upstream>| {
                owners
                    .get(&upstream.id)
                    .is_some_and(|owner| owner.record.host == node.settings.host)
            };
            upstreams.iter().filter(is_own).cloned().collect()
        };
        let mut drivers = self.drivers.borrow_mut();
        drivers.retain(|id, driver| {
            let is_owned = owned.iter().any(|upstream| upstream.id == *id);
            if !is_owned {
                driver.is_stopped.set(true);
                driver.wake.notify_one();
            }
            is_owned
        });
        for upstream in owned {
            if let Some(driver) = drivers.get(&upstream.id) {
                driver.record_engine_start(upstream.started_unix_ms);
                continue;
            }
            if let Some(driver) = EngineDriver::new(node, &upstream) {
                let driver = Rc::new(driver);
                drivers.insert(upstream.id.clone(), Rc::clone(&driver));
                actix_rt::spawn(drive(Rc::clone(node), driver));
            }
        }
    }
}

impl EngineDriver {
    /// Creates the driver of an engine, or returns `None` if the configuration does not list its
    /// service as one with engines.
    fn new(node: &SharedNode, upstream: &Upstream) -> Option<Self> {
        let routes = node.routes.borrow();
        let service = routes.as_ref()?.services.get(&upstream.service)?;
        let engine_config = service.engine.as_ref()?;
        let rollout_timeout = node.bounds().version_rollout_timeout;
        let mut owner =
            EngineOwner::new(upstream.slots, engine_config.adapter_slots, rollout_timeout);
        owner.record_engine_start(upstream.started_unix_ms);
        let owners = node.owners.borrow();
        if owners.get(&upstream.id).is_some_and(|ownership| ownership.has_predecessor) {
            owner.record_takeover(engine_age(upstream), node.now());
        }
        let versions = node.versions.borrow();
        for (adapter, version, announced_after) in versions.iter() {
            owner.record_version(adapter, version, on_node_clock(node, announced_after));
        }
        Some(Self {
            id: upstream.id.clone(),
            owner: RefCell::new(owner),
            waiting_requests: RefCell::default(),
            wake: Notify::new(),
            is_stopped: Cell::new(false),
        })
    }

    /// Records the start time of the engine from its registration or its report.
    pub fn record_engine_start(&self, started_unix_ms: Option<u64>) {
        self.owner.borrow_mut().record_engine_start(started_unix_ms);
        self.wake.notify_one();
    }

    fn adapter_status(&self, call: &GrantRequest) -> AdapterStatus {
        // A request for the base model alone needs no adapter, which counts as resident.
        let Some(adapter) = &call.adapter else { return AdapterStatus::Resident };
        self.owner.borrow().adapter_status(&format!("{}/{adapter}", call.model))
    }

    fn send_decision(&self, node: &Node, id: StartId, decision: GrantDecision) {
        let Some(waiting_request) = self.waiting_requests.borrow_mut().remove(&id) else { return };
        self.log_decision(node, &waiting_request, decision);
        // A requester that has left drops its `LocalGrant`, which releases the grant.
        let _left = waiting_request.decision.send(decision);
    }

    /// Logs a decision; grants of short prompts after a short wait are only counted.
    fn log_decision(&self, node: &Node, waiting_request: &WaitingRequest, decision: GrantDecision) {
        let waited = node.now().saturating_sub(waiting_request.queued_at);
        let warmth = status_name(waiting_request.adapter_status);
        let outcome = match decision {
            GrantDecision::Granted(_) => {
                node.metrics.grant_wait_time.observe(warmth, waited);
                let is_long = waiting_request.prompt_tokens >= MIN_LOGGED_PROMPT_TOKENS;
                if waited < MIN_LOGGED_WAIT && !is_long {
                    return;
                }
                "granted"
            }
            GrantDecision::Refused(_) => "refused",
        };
        let owner = self.owner.borrow();
        let retry_after = match decision {
            GrantDecision::Granted(_) => Duration::ZERO,
            GrantDecision::Refused(retry_after) => retry_after,
        };
        node.events.routine(&Event::Place {
            request: &waiting_request.request,
            engine: &self.id,
            adapter: &waiting_request.adapter,
            outcome,
            warmth,
            prompt_tokens: waiting_request.prompt_tokens,
            reading_tokens_per_s: owner.reading_tokens_per_s() as u64,
            slot_hold_ms: owner.slot_hold_time(node.now()).as_millis() as u64,
            waited_ms: waited.as_millis() as u64,
            again_ms: retry_after.as_millis() as u64,
            running: owner.running(),
            waiting: owner.waiting(),
        });
    }
}

/// Converts a time of the boot clock, which runs while the machine is suspended, to that of
/// [`Node::clock`]; `None` if it is before the start of the process.
fn on_node_clock(node: &Node, announced_after: AnnouncedAfter) -> AnnouncedAfter {
    let age = time_since_boot().saturating_sub(announced_after?);
    node.now().checked_sub(age)
}

/// Polls the owner of one engine and carries out its commands until the engine is not owned any
/// more.
async fn drive(node: SharedNode, driver: Rc<EngineDriver>) {
    while !driver.is_stopped.get() {
        let now = node.now();
        load_missing_model(&node, &driver, now);
        let fence = node.current_fence(&driver.id);
        let commands = driver.owner.borrow_mut().poll(now, fence.is_some());
        for command in commands {
            match command {
                OwnerCommand::Grant(id, version) => {
                    driver.send_decision(&node, id, GrantDecision::Granted(version));
                }
                OwnerCommand::Refuse(id, retry_after) => {
                    driver.send_decision(&node, id, GrantDecision::Refused(retry_after));
                }
                OwnerCommand::Order(order, expected) => {
                    actix_rt::spawn(execute_order(
                        Rc::clone(&node),
                        Rc::clone(&driver),
                        order,
                        expected,
                    ));
                }
                OwnerCommand::Report => {
                    actix_rt::spawn(update_from_report(Rc::clone(&node), Rc::clone(&driver)));
                }
            }
        }
        let next_poll = driver.owner.borrow().next_poll(now);
        let wait = next_poll.saturating_sub(now).max(MIN_POLL_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = driver.wake.notified() => {}
        }
    }
    driver.waiting_requests.borrow_mut().clear();
}

/// Orders the first base model of the service on an engine that has none of its models loaded.
fn load_missing_model(node: &SharedNode, driver: &EngineDriver, now: Duration) {
    let routes = node.routes.borrow();
    let upstreams = node.upstreams.borrow();
    let Some(upstream) = upstreams.find(&driver.id) else { return };
    let service = routes.as_ref().and_then(|routes| routes.services.get(&upstream.service));
    let Some(engine_config) = service.and_then(|service| service.engine.as_ref()) else { return };
    let mut owner = driver.owner.borrow_mut();
    let has_model = engine_config.models.iter().any(|model| owner.has_model(&model.name));
    if let (false, Some(model)) = (has_model, engine_config.models.first()) {
        owner.load_model(&model.name, model.load, now);
    }
}

/// Returns the time since the start of an engine; unlimited if its record doesn't say when it started.
fn engine_age(upstream: &Upstream) -> Duration {
    let Some(started_unix_ms) = upstream.started_unix_ms else { return Duration::MAX };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.saturating_sub(Duration::from_millis(started_unix_ms))
}

fn status_name(status: AdapterStatus) -> &'static str {
    match status {
        AdapterStatus::Resident => "hot",
        AdapterStatus::Loading => "coming",
        AdapterStatus::Recent => "recent",
        AdapterStatus::Cold => "cold",
    }
}
