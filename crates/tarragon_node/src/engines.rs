//! Engines that this host owns: the shell around their decisions.

use crate::{
    events::Event,
    node::{Node, SharedNode},
};
use rail_peer::PlaceCall;
use rail_place::owner::{
    AdapterStatus, EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport,
    StartId, StartRequest,
};
use rail_route::{Upstream, UpstreamId};
use rail_site::engine::{
    EngineOrder, EngineReport, OrderOutcome, OrderPreconditions, decode_report, order_outcome,
    order_request, report_request,
};
use rail_upstream::SendError;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Time in which an engine must answer a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which an engine must answer an order; a copy under the same count does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after an order that got no answer.
const ORDER_PAUSE: Duration = Duration::from_millis(20);
/// Longest idle time of a connection that is used for orders again.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Largest report in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Interval at which owned engines are compared with the registered ones.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Wait for a place below which it is not worth a line.
const QUICK_PLACE: Duration = Duration::from_millis(50);
/// Shortest wait between two looks at an engine.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceAnswer {
    /// It may, on this version if one is given.
    Granted(Option<u64>),
    /// It can't start in time; it may come back after this time.
    Refused(Duration),
}

/// A request that waits for its place.
#[derive(Debug)]
struct Asker {
    request: String,
    adapter: String,
    warmth: AdapterStatus,
    since: Duration,
    answer: oneshot::Sender<PlaceAnswer>,
}

#[derive(Debug)]
struct Shell {
    id: UpstreamId,
    owner: RefCell<EngineOwner>,
    askers: RefCell<HashMap<StartId, Asker>>,
    wake: Notify,
    is_over: Cell<bool>,
}

/// Engines that this host owns; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    shells: Rc<RefCell<HashMap<UpstreamId, Rc<Shell>>>>,
    next_ask: Rc<Cell<StartId>>,
}

/// A request at an engine's owner; dropping it ends its wait or its grant.
#[derive(Debug)]
pub struct LocalPlace {
    shell: Rc<Shell>,
    id: StartId,
    end: GrantOutcome,
    now: rail_runtime::MonotonicClock,
    answer: Option<oneshot::Receiver<PlaceAnswer>>,
}

impl LocalPlace {
    /// Waits until it may start or is refused.
    pub async fn answer(&mut self) -> PlaceAnswer {
        match self.answer.take() {
            // The sender goes only with the engine.
            Some(answer) => answer.await.unwrap_or(PlaceAnswer::Refused(Duration::ZERO)),
            None => PlaceAnswer::Refused(Duration::ZERO),
        }
    }

    /// Tells how the request ended, in place of an ordinary end.
    pub fn end(mut self, end: GrantOutcome) {
        self.end = end;
    }
}

impl Drop for LocalPlace {
    fn drop(&mut self) {
        self.shell.askers.borrow_mut().remove(&self.id);
        self.shell.owner.borrow_mut().release(self.id, self.end, self.now.now());
        self.shell.wake.notify_one();
    }
}

impl Engines {
    /// Asks to start a request on an owned engine; none when this host does not own it.
    ///
    /// # Errors
    /// Gives the time after which it may come back when it can't start in time.
    pub fn place(&self, node: &Node, call: &PlaceCall) -> Option<Result<LocalPlace, Duration>> {
        let shell = Rc::clone(self.shells.borrow().get(&call.upstream)?);
        let id = self.next_ask.get();
        self.next_ask.set(id + 1);
        let now = node.now();
        let ask = StartRequest {
            id,
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            rank: call.rank,
            prompt_tokens: call.prompt_tokens,
            max_estimated_wait: Duration::from_millis(u64::from(call.max_estimate_ms)),
            start_deadline: now + Duration::from_millis(u64::from(call.wait_ms)),
            max_backlog: Duration::from_millis(u64::from(call.max_backlog_ms)),
        };
        let (answer, receiver) = oneshot::channel();
        let asker = Asker {
            request: call.request.clone(),
            adapter: call.adapter.clone().unwrap_or_default(),
            warmth: shell.warmth(call),
            since: now,
            answer,
        };
        let taken = shell.owner.borrow_mut().request_start(ask, now);
        if let Err(again) = taken {
            shell.record(node, &asker, PlaceAnswer::Refused(again));
            return Some(Err(again));
        }
        shell.askers.borrow_mut().insert(id, asker);
        shell.wake.notify_one();
        let answer = Some(receiver);
        Some(Ok(LocalPlace { shell, id, end: GrantOutcome::Ended, now: node.clock, answer }))
    }

    /// Counts the engines.
    pub fn len(&self) -> usize {
        self.shells.borrow().len()
    }

    /// Takes the announcement of an adapter version.
    pub fn announce(&self, adapter: &str, version: u64, now: Duration) {
        for shell in self.shells.borrow().values() {
            shell.owner.borrow_mut().record_version(adapter, version, now);
            shell.wake.notify_one();
        }
    }

    /// Starts driving owned engines on this thread.
    pub fn spawn(node: &SharedNode) {
        let node = Rc::clone(node);
        actix_rt::spawn(async move {
            loop {
                node.engines.sync(&node);
                let pause = tokio::time::sleep(SYNC_INTERVAL);
                tokio::select! {
                    () = pause => {}
                    () = node.changed.notified() => {}
                }
            }
        });
    }

    /// Compares the driven engines with those that this host owns.
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
        let mut shells = self.shells.borrow_mut();
        shells.retain(|id, shell| {
            let keeps = owned.iter().any(|upstream| upstream.id == *id);
            if !keeps {
                shell.is_over.set(true);
                shell.wake.notify_one();
            }
            keeps
        });
        for upstream in owned {
            if let Some(shell) = shells.get(&upstream.id) {
                shell.notice_start(upstream.started_unix_ms);
                continue;
            }
            if let Some(shell) = Shell::open(node, &upstream) {
                let shell = Rc::new(shell);
                shells.insert(upstream.id.clone(), Rc::clone(&shell));
                actix_rt::spawn(drive(Rc::clone(node), shell));
            }
        }
    }
}

impl Shell {
    fn open(node: &SharedNode, upstream: &Upstream) -> Option<Self> {
        let routes = node.routes.borrow();
        let service = routes.as_ref()?.services.get(&upstream.service)?;
        let shape = service.engine.as_ref()?;
        let version_time = node.bounds().version_rollout_timeout;
        let mut owner = EngineOwner::new(upstream.slots, shape.adapter_slots, version_time);
        owner.record_engine_start(upstream.started_unix_ms);
        let versions = node.versions.borrow();
        for (adapter, version, seen_at) in versions.iter() {
            owner.record_version(adapter, version, seen_at);
        }
        Some(Self {
            id: upstream.id.clone(),
            owner: RefCell::new(owner),
            askers: RefCell::default(),
            wake: Notify::new(),
            is_over: Cell::new(false),
        })
    }

    fn notice_start(&self, started_unix_ms: Option<u64>) {
        self.owner.borrow_mut().record_engine_start(started_unix_ms);
        self.wake.notify_one();
    }

    fn warmth(&self, call: &PlaceCall) -> AdapterStatus {
        // The base model itself is always there.
        let Some(adapter) = &call.adapter else { return AdapterStatus::Resident };
        self.owner.borrow().adapter_status(&format!("{}/{adapter}", call.model))
    }

    fn answer(&self, node: &Node, id: StartId, answer: PlaceAnswer) {
        let Some(asker) = self.askers.borrow_mut().remove(&id) else { return };
        self.record(node, &asker, answer);
        // An asker that has left drops its place, which releases the grant.
        let _left = asker.answer.send(answer);
    }

    /// Writes down a decision; places that are granted at once are only counted.
    fn record(&self, node: &Node, asker: &Asker, answer: PlaceAnswer) {
        let waited = node.now().saturating_sub(asker.since);
        let warmth = warmth_name(asker.warmth);
        let outcome = match answer {
            PlaceAnswer::Granted(_) => {
                node.metrics.place_time.observe(warmth, waited);
                if waited < QUICK_PLACE {
                    return;
                }
                "granted"
            }
            PlaceAnswer::Refused(_) => "refused",
        };
        let owner = self.owner.borrow();
        let again = match answer {
            PlaceAnswer::Granted(_) => Duration::ZERO,
            PlaceAnswer::Refused(again) => again,
        };
        node.events.routine(&Event::Place {
            request: &asker.request,
            engine: &self.id,
            adapter: &asker.adapter,
            outcome,
            warmth,
            waited_ms: waited.as_millis() as u64,
            again_ms: again.as_millis() as u64,
            running: owner.running(),
            waiting: owner.waiting(),
        });
    }
}

async fn drive(node: SharedNode, shell: Rc<Shell>) {
    while !shell.is_over.get() {
        let now = node.now();
        order_missing_model(&node, &shell, now);
        let fence = node.fence_of(&shell.id);
        let commands = shell.owner.borrow_mut().poll(now, fence.is_some());
        for command in commands {
            match command {
                OwnerCommand::Grant(id, version) => {
                    shell.answer(&node, id, PlaceAnswer::Granted(version));
                }
                OwnerCommand::Refuse(id, again) => {
                    shell.answer(&node, id, PlaceAnswer::Refused(again));
                }
                OwnerCommand::Order(order, expected) => {
                    actix_rt::spawn(give_order(
                        Rc::clone(&node),
                        Rc::clone(&shell),
                        order,
                        expected,
                    ));
                }
                OwnerCommand::Report => {
                    actix_rt::spawn(read_report(Rc::clone(&node), Rc::clone(&shell)));
                }
            }
        }
        let next = shell.owner.borrow().next_poll(now);
        let wait = next.saturating_sub(now).max(MIN_WAIT);
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shell.wake.notified() => {}
        }
    }
    shell.askers.borrow_mut().clear();
}

/// Orders the base model of the service on an engine that holds none.
fn order_missing_model(node: &SharedNode, shell: &Shell, now: Duration) {
    let routes = node.routes.borrow();
    let upstreams = node.upstreams.borrow();
    let Some(upstream) = upstreams.find(&shell.id) else { return };
    let service = routes.as_ref().and_then(|routes| routes.services.get(&upstream.service));
    let Some(shape) = service.and_then(|service| service.engine.as_ref()) else { return };
    let mut owner = shell.owner.borrow_mut();
    let holds_any = shape.models.iter().any(|model| owner.holds_model(&model.name));
    if let (false, Some(model)) = (holds_any, shape.models.first()) {
        owner.load_model(&model.name, model.load, now);
    }
}

async fn give_order(node: SharedNode, shell: Rc<Shell>, order: OrderKind, expected: u64) {
    let result = send_order(&node, &shell, &order, expected).await;
    if matches!(result, OrderResult::Unknown | OrderResult::NotSent) {
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    shell.owner.borrow_mut().finish_order(result, node.now());
    shell.wake.notify_one();
}

async fn send_order(
    node: &SharedNode,
    shell: &Shell,
    order: &OrderKind,
    expected: u64,
) -> OrderResult {
    let address = node.upstreams.borrow().find(&shell.id).map(|upstream| upstream.address);
    let (Some(address), Some(fence)) = (address, node.fence_of(&shell.id)) else {
        return OrderResult::NotSent;
    };
    let terms = OrderPreconditions {
        holder: &node.settings.host,
        fence,
        expected_order_count: Some(expected),
        upstream_id: &shell.id,
    };
    let request = order_request(&address.to_string(), &order_wish(order), &terms);
    let exchange = async {
        let mut answer = node.links.send(address, request, MAX_IDLE).await?;
        let outcome = order_outcome(answer.head.status);
        if answer.read(MAX_REPORT_BYTES).await.is_ok() {
            answer.keep();
        }
        Ok::<_, SendError>(outcome)
    };
    let (result, outcome) = match tokio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Err(_) | Ok(Err(SendError::Lost)) => (OrderResult::Unknown, "no_answer"),
        Ok(Err(SendError::NotSent)) => (OrderResult::NotSent, "not_sent"),
        Ok(Ok(outcome)) => match outcome {
            OrderOutcome::Accepted => (OrderResult::Accepted, "accepted"),
            OrderOutcome::Completed => (OrderResult::Accepted, "holds"),
            OrderOutcome::Conflict => (OrderResult::Conflict, "conflict"),
            OrderOutcome::Fenced => (OrderResult::Refused, "fenced"),
            OrderOutcome::OtherUpstream => (OrderResult::Refused, "other_upstream"),
            OrderOutcome::Refused(_) => (OrderResult::Refused, "refused"),
        },
    };
    node.metrics.orders.count(outcome);
    let (name, subject) = match order {
        OrderKind::LoadModel(model) => ("load_model", model),
        OrderKind::Load(path, _) => ("load", path),
        OrderKind::Unload(path) => ("unload", path),
    };
    node.events.routine(&Event::Order {
        engine: &shell.id,
        order: name,
        subject,
        expected,
        fence,
        outcome,
    });
    result
}

fn warmth_name(warmth: AdapterStatus) -> &'static str {
    match warmth {
        AdapterStatus::Resident => "hot",
        AdapterStatus::Loading => "coming",
        AdapterStatus::Recent => "recent",
        AdapterStatus::Cold => "cold",
    }
}

fn order_wish(order: &OrderKind) -> EngineOrder {
    let split = |path: &str| {
        let (model, adapter) = path.split_once('/').unwrap_or((path, ""));
        (model.to_owned(), adapter.to_owned())
    };
    match order {
        OrderKind::LoadModel(model) => EngineOrder::LoadModel { model: model.clone() },
        OrderKind::Load(path, version) => {
            let (model, adapter) = split(path);
            EngineOrder::LoadAdapter { model, adapter, version: *version }
        }
        OrderKind::Unload(path) => {
            let (model, adapter) = split(path);
            EngineOrder::UnloadAdapter { model, adapter }
        }
    }
}

async fn read_report(node: SharedNode, shell: Rc<Shell>) {
    let asked_at = node.now();
    let report = fetch_report(&node, &shell).await;
    let now = node.now();
    let mut owner = shell.owner.borrow_mut();
    match report {
        Some(report) => {
            drop(owner);
            shell.notice_start(report.started_unix_ms);
            owner = shell.owner.borrow_mut();
            owner.apply_report(&summarize(&report), asked_at, now);
        }
        None => owner.record_report_failure(now),
    }
    shell.wake.notify_one();
}

async fn fetch_report(node: &SharedNode, shell: &Shell) -> Option<EngineReport> {
    let address = node.upstreams.borrow().find(&shell.id)?.address;
    let request = report_request(&address.to_string());
    let exchange = async {
        let mut answer = node.links.send(address, request, MAX_IDLE).await.ok()?;
        let body = answer.read(MAX_REPORT_BYTES).await.ok()?;
        let report = decode_report(&body).ok()?;
        answer.keep();
        Some(report)
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}

fn summarize(report: &EngineReport) -> OwnerReport {
    let loaded = report.resident_models.iter().flat_map(|place| {
        let path = |name: &str| format!("{}/{name}", place.model);
        place.adapters.iter().map(move |(name, version)| (path(name), *version))
    });
    OwnerReport {
        models: report.resident_models.iter().map(|place| place.model.clone()).collect(),
        adapters: loaded.chain(report.loading.iter().cloned()).collect(),
        accepted_orders: report.accepted_orders,
        is_busy: report.is_busy,
    }
}
