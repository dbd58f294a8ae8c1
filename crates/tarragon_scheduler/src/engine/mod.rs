//! Runs one owned engine: queue, residency and dispatch.
//!
//! [`queue`] orders what waits, the planner of `rail_place` decides what runs
//! and loads next, [`orders`] carries out loads and evictions, and [`run`]
//! forwards the answer of one dispatched request.

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
use queue::{Queue, Waiting};
use rail_admit::{EntryId, RefusalReason, Refused};
use rail_config::Upstream;
use rail_place::{
    AdapterKey, EnginePlanner, PlannerConfig, ReplicaController, ReplicaCount, SlotTicket,
};
use rail_platform::ConfigFollower;
use rail_request::{RequestRefusal, RequestRefusalReason, WorkEvent, WorkOrder};
use rail_runtime::MonotonicClock;
use rail_upstream::EngineClient;
use run::Run;
use settings::PlacementSettings;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// Interval between looks at queue and engine.
const TICK: Duration = Duration::from_millis(50);
/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// When a caller should come back after a failed load.
const LOAD_RETRY: Duration = Duration::from_millis(500);
/// When a caller should come back after the engine went to another process.
const TRANSFER_RETRY: Duration = Duration::from_millis(100);

type Events = mpsc::Sender<WorkEvent>;

/// Gives a request to the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Submit {
    order: WorkOrder,
    events: Events,
}

impl Submit {
    /// Pairs a request with the receiver of its events.
    pub fn new(order: WorkOrder, events: Events) -> Self {
        Self { order, events }
    }
}

/// Refuses waiting work and waits until the engine finished the rest.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Drain;

/// Ends at once: the engine belongs to another process.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// A request left the engine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Finished {
    ticket: SlotTicket,
}

/// Marks an adapter as in use until dropped.
#[derive(Debug)]
struct InUse {
    ticket: Option<SlotTicket>,
    engine: Addr<EngineActor>,
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.engine.do_send(Finished { ticket });
        }
    }
}

/// One owned engine.
#[derive(Debug)]
pub struct EngineActor {
    client: EngineClient,
    fence: u64,
    session: Session,
    clock: MonotonicClock,
    metrics: SchedulerMetrics,
    planner: EnginePlanner,
    queue: Queue,
    widths: ReplicaController,
    batch: usize,
    asks: BTreeMap<AdapterKey, PermitTask>,
    preparing: BTreeSet<AdapterKey>,
    in_flight: usize,
    is_isolated: bool,
    boot_id: Option<u64>,
    adopted: Vec<SlotTicket>,
    adopted_at: Duration,
    draining: Vec<oneshot::Sender<()>>,
}

impl EngineActor {
    /// Prepares an engine that was taken with this fencing number.
    pub fn new(
        upstream: &Upstream,
        fence: u64,
        session: Session,
        _config: ConfigFollower,
        clock: MonotonicClock,
        metrics: SchedulerMetrics,
    ) -> Self {
        let PlacementSettings { policy, objective, admission } = PlacementSettings::current();
        let (slots, batch) = (upstream.slots as usize, upstream.batch as usize);
        Self {
            client: EngineClient::open(upstream.address),
            fence,
            session,
            clock,
            metrics,
            planner: EnginePlanner::new(PlannerConfig {
                adapter_slots: slots,
                slots: batch,
                policy,
                objective,
            }),
            queue: Queue::new(admission, batch),
            widths: ReplicaController::default(),
            batch,
            asks: BTreeMap::new(),
            preparing: BTreeSet::new(),
            in_flight: 0,
            is_isolated: false,
            boot_id: None,
            adopted: Vec::new(),
            adopted_at: Duration::ZERO,
            draining: Vec::new(),
        }
    }

    fn refuse(&self, waiting: &Waiting, reason: RequestRefusalReason, retry_after: Duration) {
        self.metrics.refusals.count(&reason.to_string());
        // A gateway that is gone needs no answer.
        let _gone =
            waiting.events.try_send(WorkEvent::NotRun(RequestRefusal { reason, retry_after }));
    }

    /// Takes a request into the queue, refusing at once what has no place there.
    fn admit(&mut self, waiting: Waiting, now: Duration) {
        let refused = self.queue.push(waiting, now);
        self.refuse_all(refused);
    }

    fn refuse_all(&self, refused: Vec<Refused<Waiting>>) {
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

    /// Refuses what has expired and starts what can run.
    fn pump(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let expired = self.queue.remove_expired(now);
        self.refuse_all(expired);
        if self.boot_id.is_none() || !self.session.is_in_force() {
            return;
        }
        let order = self.queue.order(now);
        let plan = self.planner.plan(&self.queue.items(&order), self.in_flight, now);
        let dispatch = self.keep_isolated_alone(&order, plan.dispatch);
        for waiting in self.queue.remove_positions(&order, &dispatch) {
            self.dispatch(waiting, now, ctx);
        }
        self.follow_wishes(&plan.loads, ctx);
        self.finish_drain();
    }

    /// Gives an isolated request the engine for itself, once its adapter is resident.
    fn keep_isolated_alone(&self, order: &[EntryId], planned: Vec<usize>) -> Vec<usize> {
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

    fn dispatch(&mut self, waiting: Waiting, now: Duration, ctx: &mut Context<Self>) {
        let residency = self.planner.residency_mut();
        let Some(ticket) = residency.acquire(&waiting.order.model, now) else {
            self.admit(waiting, now);
            return;
        };
        let since = residency.resident_since(&waiting.order.model).unwrap_or(now);
        let stall = since.saturating_sub(waiting.arrived_at);
        self.metrics.count_stall(waiting.order.urgent, stall);
        let width = self.observe_width(&waiting.order.model, now);
        self.in_flight += 1;
        self.is_isolated = waiting.order.isolated;
        let in_use = InUse { ticket: Some(ticket), engine: ctx.address() };
        let run = Run {
            client: self.client.clone(),
            fence: self.fence,
            order: waiting.order,
            events: waiting.events,
            metrics: self.metrics.clone(),
            boot_id: self.boot_id,
            width,
        };
        actix_rt::spawn(async move {
            run.complete().await;
            drop(in_use);
        });
    }

    /// Takes in how much of the batch an adapter uses or waits for; gives its width.
    fn observe_width(&mut self, adapter: &str, now: Duration) -> ReplicaCount {
        let used = self.planner.residency().in_use_count(adapter) as usize;
        let share = (used + self.queue.count_of(adapter)) as f64 / self.batch as f64;
        self.widths.update(adapter, share, now)
    }

    fn finish_drain(&mut self) {
        if self.in_flight == 0 {
            for done in self.draining.drain(..) {
                // The waiter may have been cancelled.
                let _cancelled = done.send(());
            }
        }
    }
}

impl Actor for EngineActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, Self::pump);
        self.follow_reports(ctx);
    }
}

impl Handler<Submit> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Submit, ctx: &mut Self::Context) {
        let Submit { order, events } = message;
        let arrived_at = self.clock.now();
        let expires_at = arrived_at + order.deadline;
        self.planner.residency_mut().record_demand(&order.model, arrived_at);
        self.admit(Waiting { order, events, arrived_at, expires_at }, arrived_at);
        self.pump(ctx);
    }
}

impl Handler<Finished> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Finished, ctx: &mut Self::Context) {
        let saturated = self.in_flight >= self.batch;
        self.queue.finish_one(self.clock.now(), saturated);
        self.in_flight -= 1;
        self.is_isolated &= self.in_flight > 0;
        let released = self.planner.residency_mut().release(message.ticket);
        self.count_undone(released);
        self.pump(ctx);
        self.finish_drain();
    }
}

impl Handler<Drain> for EngineActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _message: Drain, _ctx: &mut Self::Context) -> Self::Result {
        for waiting in self.queue.take_all() {
            self.refuse(&waiting, RequestRefusalReason::Leaving, TRANSFER_RETRY);
        }
        let (done, finished) = oneshot::channel();
        self.draining.push(done);
        self.finish_drain();
        Box::pin(async move {
            // A dropped sender means that the engine is gone.
            let _gone = finished.await;
        })
    }
}

impl Handler<Stop> for EngineActor {
    type Result = MessageResult<Stop>;

    fn handle(&mut self, _message: Stop, ctx: &mut Self::Context) -> Self::Result {
        for waiting in self.queue.take_all() {
            self.refuse(&waiting, RequestRefusalReason::NotOwner, TRANSFER_RETRY);
        }
        ctx.stop();
        MessageResult(())
    }
}
