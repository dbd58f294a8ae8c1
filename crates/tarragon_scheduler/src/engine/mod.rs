//! Runs one owned engine: queue, residency and dispatch.
//!
//! [`queue`] orders waiting requests, the planner of `rail_place` decides what
//! runs and loads next, [`orders`] carries out loads and evictions, and [`run`]
//! forwards the response to one dispatched request.

mod orders;
pub mod permit;
mod queue;
mod run;
pub mod settings;

use crate::{metrics::SchedulerMetrics, session::Session};
use actix::{
    Actor, ActorContext, Addr, AsyncContext, Context, Handler, Message, MessageResult,
    ResponseFuture,
};
use orders::PermitTask;
use queue::{Queue, QueuedRequest};
use rail_admit::{EntryId, RefusalReason, Refused};
use rail_config::Upstream;
use rail_place::{
    AdapterKey, EnginePlanner, PlannerConfig, ReplicaController, ReplicaCount, SlotTicket,
};
use rail_platform::ConfigFollower;
use rail_request::{RequestRefusal, RequestRefusalReason, WorkEvent, WorkOrder};
use rail_runtime::MonotonicClock;
use rail_upstream::EngineClient;
use run::RequestRun;
use settings::PlacementSettings;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// Interval between scheduling rounds; events such as finished loads start additional rounds.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between requests for a load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a caller may retry after a failed load.
const LOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which a caller may retry after the engine was handed over to another process.
const TRANSFER_RETRY_AFTER: Duration = Duration::from_millis(100);

type Events = mpsc::Sender<WorkEvent>;

/// Message: queue a request for the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Submit {
    order: WorkOrder,
    events: Events,
}

impl Submit {
    /// Creates the message from a request and the channel for its events.
    pub fn new(order: WorkOrder, events: Events) -> Self {
        Self { order, events }
    }
}

/// Message: refuse queued requests; the response follows once the dispatched ones have finished.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Drain;

/// Message: refuse queued requests and stop at once, as another process owns the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Message: a dispatched request has ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Finished {
    ticket: SlotTicket,
}

/// Marks an adapter as in use by a dispatched request until dropped.
#[derive(Debug)]
struct InUseGuard {
    ticket: Option<SlotTicket>,
    engine: Addr<EngineActor>,
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.engine.do_send(Finished { ticket });
        }
    }
}

/// Actor that schedules the requests of one owned engine.
#[derive(Debug)]
pub struct EngineActor {
    client: EngineClient,
    fence: u64,
    session: Session,
    clock: MonotonicClock,
    metrics: SchedulerMetrics,
    planner: EnginePlanner,
    queue: Queue,
    replica_controller: ReplicaController,
    /// Number of requests that the engine runs at once.
    slots: usize,
    /// Pending permit requests, by the adapter to load.
    permit_tasks: BTreeMap<AdapterKey, PermitTask>,
    /// Adapters whose load has a permit and waits for an eviction to end.
    awaiting_eviction: BTreeSet<AdapterKey>,
    /// Number of dispatched requests.
    in_flight: usize,
    /// Whether an isolated request is running, so that no other may start.
    is_isolated: bool,
    /// Engine process of the last load report; none before the first one.
    boot_id: Option<u64>,
    /// Adapters that the engine has loaded but this process has not ordered; requests of a previous
    /// owner may still use them.
    inherited: Vec<SlotTicket>,
    /// When the current engine process was first seen.
    inherited_at: Duration,
    /// Notified when no dispatched request is left.
    drain_waiters: Vec<oneshot::Sender<()>>,
}

impl EngineActor {
    /// Creates the actor of an engine that was acquired with this fencing number.
    pub fn new(
        upstream: &Upstream,
        fence: u64,
        session: Session,
        _config: ConfigFollower,
        clock: MonotonicClock,
        metrics: SchedulerMetrics,
    ) -> Self {
        let PlacementSettings { policy, objective, admission } = PlacementSettings::current();
        let (adapter_slots, slots) = (upstream.slots as usize, upstream.batch as usize);
        Self {
            client: EngineClient::open(upstream.address),
            fence,
            session,
            clock,
            metrics,
            planner: EnginePlanner::new(PlannerConfig { adapter_slots, slots, policy, objective }),
            queue: Queue::new(admission, slots),
            replica_controller: ReplicaController::default(),
            slots,
            permit_tasks: BTreeMap::new(),
            awaiting_eviction: BTreeSet::new(),
            in_flight: 0,
            is_isolated: false,
            boot_id: None,
            inherited: Vec::new(),
            inherited_at: Duration::ZERO,
            drain_waiters: Vec::new(),
        }
    }

    fn refuse(&self, waiting: &QueuedRequest, reason: RequestRefusalReason, retry_after: Duration) {
        self.metrics.refusals.count(&reason.to_string());
        // A gateway that no longer receives the events needs no refusal.
        let _closed =
            waiting.events.try_send(WorkEvent::NotRun(RequestRefusal { reason, retry_after }));
    }

    /// Adds a request to the queue and refuses the requests that the queue rejects.
    fn enqueue(&mut self, waiting: QueuedRequest, now: Duration) {
        let refused = self.queue.push(waiting, now);
        self.refuse_all(refused);
    }

    fn refuse_all(&self, refused: Vec<Refused<QueuedRequest>>) {
        for Refused { item, refusal } in refused {
            self.metrics.sheds.count(&refusal.reason.to_string());
            let reason = match refusal.reason {
                RefusalReason::Deadline => RequestRefusalReason::Deadline,
                RefusalReason::QueueFull | RefusalReason::QueueBytes | RefusalReason::OverShare => {
                    RequestRefusalReason::Overloaded
                }
            };
            self.refuse(&item, reason, refusal.retry_after);
        }
    }

    /// Runs one scheduling round: refuses expired requests, dispatches those that can run and
    /// requests permits for the planned loads.
    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let expired = self.queue.remove_expired(now);
        self.refuse_all(expired);
        if self.boot_id.is_none() || !self.session.is_valid() {
            return;
        }
        let order = self.queue.start_order(now);
        let plan = self.planner.plan(&self.queue.work_items(&order), self.in_flight, now);
        let dispatch = self.restrict_for_isolated(&order, plan.dispatch);
        for waiting in self.queue.remove_positions(&order, &dispatch) {
            self.dispatch(waiting, now, ctx);
        }
        self.update_permit_tasks(&plan.loads, ctx);
        self.finish_drain();
    }

    /// Replaces the planned dispatch where requests must run isolated: nothing starts beside an
    /// isolated request, and one whose adapter is resident starts once the engine is idle.
    fn restrict_for_isolated(&self, order: &[EntryId], planned: Vec<usize>) -> Vec<usize> {
        if self.is_isolated {
            return Vec::new();
        }
        let residency = self.planner.residency();
        match self.queue.find_isolated(order, |adapter| residency.is_resident(adapter)) {
            None => planned,
            Some(position) if self.in_flight == 0 => vec![position],
            Some(_) => Vec::new(),
        }
    }

    fn dispatch(&mut self, waiting: QueuedRequest, now: Duration, ctx: &mut Context<Self>) {
        let residency = self.planner.residency_mut();
        let Some(ticket) = residency.acquire(&waiting.order.model, now) else {
            self.enqueue(waiting, now);
            return;
        };
        let since = residency.resident_since(&waiting.order.model).unwrap_or(now);
        let stall = since.saturating_sub(waiting.arrived_at);
        self.metrics.count_stall(waiting.order.urgent, stall);
        let replicas = self.update_replicas(&waiting.order.model, now);
        self.in_flight += 1;
        self.is_isolated = waiting.order.isolated;
        let guard = InUseGuard { ticket: Some(ticket), engine: ctx.address() };
        let run = RequestRun {
            client: self.client.clone(),
            fence: self.fence,
            order: waiting.order,
            events: waiting.events,
            metrics: self.metrics.clone(),
            boot_id: self.boot_id,
            replicas,
        };
        actix_rt::spawn(async move {
            run.complete().await;
            drop(guard);
        });
    }

    /// Updates an adapter's replica count from the share of the engine's slots that its running and
    /// queued requests need.
    fn update_replicas(&mut self, adapter: &str, now: Duration) -> ReplicaCount {
        let used = self.planner.residency().in_use_count(adapter) as usize;
        let slot_share = (used + self.queue.count_for(adapter)) as f64 / self.slots as f64;
        self.replica_controller.update(adapter, slot_share, now)
    }

    fn finish_drain(&mut self) {
        if self.in_flight == 0 {
            for done in self.drain_waiters.drain(..) {
                // Fails only if the sender of the message no longer waits.
                let _cancelled = done.send(());
            }
        }
    }
}

impl Actor for EngineActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(SCHEDULE_INTERVAL, Self::schedule);
        self.poll_reports(ctx);
    }
}

impl Handler<Submit> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Submit, ctx: &mut Self::Context) {
        let Submit { order, events } = message;
        let arrived_at = self.clock.now();
        let deadline = arrived_at + order.deadline;
        self.planner.residency_mut().record_demand(&order.model, arrived_at);
        self.enqueue(QueuedRequest { order, events, arrived_at, deadline }, arrived_at);
        self.schedule(ctx);
    }
}

impl Handler<Finished> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Finished, ctx: &mut Self::Context) {
        let is_saturated = self.in_flight >= self.slots;
        self.queue.record_completion(self.clock.now(), is_saturated);
        self.in_flight -= 1;
        self.is_isolated &= self.in_flight > 0;
        let released = self.planner.residency_mut().release(message.ticket);
        self.count_undone(released);
        self.schedule(ctx);
        self.finish_drain();
    }
}

impl Handler<Drain> for EngineActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _message: Drain, _ctx: &mut Self::Context) -> Self::Result {
        for waiting in self.queue.remove_all() {
            self.refuse(&waiting, RequestRefusalReason::Leaving, TRANSFER_RETRY_AFTER);
        }
        let (done, finished) = oneshot::channel();
        self.drain_waiters.push(done);
        self.finish_drain();
        Box::pin(async move {
            // Fails only if the actor has stopped.
            let _closed = finished.await;
        })
    }
}

impl Handler<Stop> for EngineActor {
    type Result = MessageResult<Stop>;

    fn handle(&mut self, _message: Stop, ctx: &mut Self::Context) -> Self::Result {
        for waiting in self.queue.remove_all() {
            self.refuse(&waiting, RequestRefusalReason::NotOwner, TRANSFER_RETRY_AFTER);
        }
        ctx.stop();
        MessageResult(())
    }
}
