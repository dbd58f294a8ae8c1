//! Runs one owned engine: queue, residency and dispatch.

use crate::{metrics::SchedulerMetrics, session::Session};
use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message,
    MessageResult, ResponseFuture, WrapFuture,
};
use futures_util::StreamExt;
use rail_config::Upstream;
use rail_place::{Admission, LoadBudget, Residency};
use rail_platform::ConfigFollower;
use rail_request::{Failed, NotRun, NotRunReason, WorkEvent, WorkOrder};
use rail_runtime::MonotonicClock;
use rail_upstream::{Completion, EngineClient, LoadReport, StreamPart};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval between looks at queue and engine.
const TICK: Duration = Duration::from_millis(50);
/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests dispatched above the batch, so that it stays full.
const DISPATCH_AHEAD: usize = 2;
/// When a caller should come back after a failed load.
const LOAD_RETRY: Duration = Duration::from_millis(500);
/// Priority of deferrable work at the engine; urgent work has 0.
const DEFERRABLE_PRIORITY: i32 = 10;

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
    adapter: String,
}

#[derive(Debug)]
struct Waiting {
    order: WorkOrder,
    events: Events,
    expires_at: Duration,
}

/// Marks an adapter as in use until dropped.
#[derive(Debug)]
struct InUse {
    adapter: String,
    engine: Addr<EngineActor>,
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.engine.do_send(Finished { adapter: std::mem::take(&mut self.adapter) });
    }
}

/// One owned engine.
#[derive(Debug)]
pub struct EngineActor {
    client: EngineClient,
    fence: u64,
    batch: usize,
    session: Session,
    config: ConfigFollower,
    clock: MonotonicClock,
    metrics: SchedulerMetrics,
    residency: Residency,
    budget: LoadBudget,
    waiting: Vec<Waiting>,
    in_flight: usize,
    is_isolated: bool,
    boot_id: Option<u64>,
    adopted: Vec<String>,
    draining: Vec<oneshot::Sender<()>>,
}

impl EngineActor {
    /// Prepares an engine that was taken with this fencing number.
    pub fn new(
        upstream: &Upstream,
        fence: u64,
        session: Session,
        config: ConfigFollower,
        clock: MonotonicClock,
        metrics: SchedulerMetrics,
    ) -> Self {
        Self {
            client: EngineClient::open(upstream.address),
            fence,
            batch: upstream.batch as usize,
            session,
            config,
            clock,
            metrics,
            residency: Residency::new(upstream.slots as usize),
            budget: LoadBudget::new(1.0, 1.0, clock.now()),
            waiting: Vec::new(),
            in_flight: 0,
            is_isolated: false,
            boot_id: None,
            adopted: Vec::new(),
            draining: Vec::new(),
        }
    }

    fn refuse(&self, waiting: &Waiting, reason: NotRunReason, retry_after: Duration) {
        self.metrics.refusals.count(&reason.to_string());
        // A gateway that is gone needs no answer.
        let _gone = waiting.events.try_send(WorkEvent::NotRun(NotRun { reason, retry_after }));
    }

    /// Refuses what has expired and starts what can run.
    fn pump(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let (kept, expired): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| w.expires_at > now);
        for waiting in &expired {
            self.refuse(waiting, NotRunReason::Deadline, LOAD_RETRY);
        }
        self.waiting = kept;
        self.waiting.retain(|w| !w.events.is_closed());
        self.waiting.sort_by_key(|w| (!w.order.urgent, w.expires_at));
        if self.boot_id.is_none() || !self.session.is_in_force() {
            return;
        }
        self.waiting.sort_by_key(|w| !w.order.isolated);
        let is_isolation_due = self.waiting.iter().any(|w| {
            w.order.isolated && self.residency.admit(&w.order.model) == Admission::Resident
        });
        for waiting in std::mem::take(&mut self.waiting) {
            if is_isolation_due && !waiting.order.isolated {
                self.waiting.push(waiting);
            } else if let Some(waiting) = self.start_or_keep(waiting, now, ctx) {
                self.waiting.push(waiting);
            }
        }
        self.finish_drain();
    }

    fn start_or_keep(
        &mut self,
        waiting: Waiting,
        now: Duration,
        ctx: &mut Context<Self>,
    ) -> Option<Waiting> {
        let adapter = waiting.order.model.clone();
        match self.residency.admit(&adapter) {
            Admission::Resident if !self.may_join(&waiting.order) => {}
            Admission::Resident if self.in_flight < self.batch + DISPATCH_AHEAD => {
                self.dispatch(waiting, now, ctx);
                return None;
            }
            Admission::Load if self.take_permit(now) => self.load(adapter, now, ctx),
            Admission::Evict(victim) => self.evict(victim, ctx),
            Admission::Resident | Admission::Load | Admission::Loading | Admission::Full => {}
        }
        Some(waiting)
    }

    /// Reports whether an order may run beside what is in flight; an isolated one runs alone.
    fn may_join(&self, order: &WorkOrder) -> bool {
        !self.is_isolated && (!order.isolated || self.in_flight == 0)
    }

    fn take_permit(&mut self, now: Duration) -> bool {
        let store = self.config.current().store_budget;
        let share = f64::from(store.loads_per_s) / self.session.live_sessions() as f64;
        self.budget.set_rate(share, f64::from(store.at_once).min(share.max(1.0)));
        self.budget.try_take(now).is_ok()
    }

    fn dispatch(&mut self, waiting: Waiting, now: Duration, ctx: &mut Context<Self>) {
        if !self.residency.acquire(&waiting.order.model, now) {
            self.waiting.push(waiting);
            return;
        }
        self.in_flight += 1;
        let in_use = InUse { adapter: waiting.order.model.clone(), engine: ctx.address() };
        let run = Run {
            client: self.client.clone(),
            fence: self.fence,
            order: waiting.order,
            events: waiting.events,
            metrics: self.metrics.clone(),
            boot_id: self.boot_id,
        };
        self.is_isolated = run.order.isolated;
        actix_rt::spawn(async move {
            run.complete().await;
            drop(in_use);
        });
    }

    fn load(&mut self, adapter: String, now: Duration, ctx: &mut Context<Self>) {
        self.residency.start_load(&adapter, now);
        let client = self.client.clone();
        let fence = self.fence;
        let order = async move {
            let result = client.load_adapter(&adapter, fence).await;
            (adapter, result)
        };
        ctx.spawn(order.into_actor(self).map(|(adapter, result), actor, ctx| {
            let loaded = result.is_ok();
            actor.metrics.loads.count(if loaded { "loaded" } else { "failed" });
            actor.residency.finish_load(&adapter, loaded);
            if !loaded {
                actor.refuse_adapter(&adapter);
            }
            actor.pump(ctx);
        }));
    }

    fn refuse_adapter(&mut self, adapter: &str) {
        let (refused, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|w| w.order.model == adapter);
        for waiting in &refused {
            self.refuse(waiting, NotRunReason::LoadFailed, LOAD_RETRY);
        }
        self.waiting = kept;
    }

    fn evict(&mut self, victim: String, ctx: &mut Context<Self>) {
        self.residency.start_evict(&victim);
        self.metrics.evictions.inc();
        let client = self.client.clone();
        let fence = self.fence;
        let order = async move {
            let result = client.unload_adapter(&victim, fence).await;
            (victim, result)
        };
        ctx.spawn(order.into_actor(self).map(|(victim, result), actor, ctx| {
            actor.residency.finish_evict(&victim, result.is_ok());
            actor.pump(ctx);
        }));
    }

    fn take_report(&mut self, report: &LoadReport) {
        if self.boot_id != Some(report.boot_id) {
            if self.boot_id.is_some() {
                self.residency.clear();
            }
            self.boot_id = Some(report.boot_id);
            let now = self.clock.now();
            for adapter in &report.loaded {
                self.residency.adopt(adapter, now);
            }
            self.adopted.clone_from(&report.loaded);
        }
        let is_idle = report.running == 0 && report.waiting == 0 && self.in_flight == 0;
        if is_idle {
            for adapter in std::mem::take(&mut self.adopted) {
                self.residency.release(&adapter);
            }
        }
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
        let client = self.client.clone();
        let engine = ctx.address();
        actix_rt::spawn(async move {
            while engine.connected() {
                if let Ok(report) = client.load_report().await {
                    engine.do_send(Report(report));
                }
                actix_rt::time::sleep(REPORT_INTERVAL).await;
            }
        });
    }
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Report(LoadReport);

impl Handler<Report> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Report, ctx: &mut Self::Context) {
        self.take_report(&message.0);
        self.pump(ctx);
    }
}

impl Handler<Submit> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Submit, ctx: &mut Self::Context) {
        let expires_at = self.clock.now() + message.order.deadline;
        self.waiting.push(Waiting { order: message.order, events: message.events, expires_at });
        self.pump(ctx);
    }
}

impl Handler<Finished> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Finished, ctx: &mut Self::Context) {
        self.in_flight -= 1;
        self.is_isolated &= self.in_flight > 0;
        self.residency.release(&message.adapter);
        self.pump(ctx);
        self.finish_drain();
    }
}

impl Handler<Drain> for EngineActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _message: Drain, _ctx: &mut Self::Context) -> Self::Result {
        for waiting in std::mem::take(&mut self.waiting) {
            self.refuse(&waiting, NotRunReason::Leaving, Duration::from_millis(100));
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
        for waiting in std::mem::take(&mut self.waiting) {
            self.refuse(&waiting, NotRunReason::NotOwner, Duration::from_millis(100));
        }
        ctx.stop();
        MessageResult(())
    }
}

/// One request on the engine.
struct Run {
    client: EngineClient,
    fence: u64,
    order: WorkOrder,
    events: Events,
    metrics: SchedulerMetrics,
    boot_id: Option<u64>,
}

impl Run {
    async fn complete(self) {
        let last = self.stream().await;
        match &last {
            WorkEvent::Final { .. } => {
                self.metrics.answers.inc();
            }
            WorkEvent::NotRun(not_run) => self.metrics.refusals.count(&not_run.reason.to_string()),
            WorkEvent::Failed(failed) => self.metrics.failures.count(&failed.to_string()),
            WorkEvent::Dispatched | WorkEvent::Token { .. } => {}
        }
        if self.events.send(last).await.is_err() {
            self.cancel().await;
        }
    }

    /// Streams the answer; gives the event that ends the request.
    async fn stream(&self) -> WorkEvent {
        let completion = Completion {
            model: self.order.model.clone(),
            prompt: self.order.prompt.clone(),
            max_tokens: self.order.max_tokens,
            stream: true,
            priority: if self.order.urgent { 0 } else { DEFERRABLE_PRIORITY },
        };
        if self.events.send(WorkEvent::Dispatched).await.is_err() {
            return WorkEvent::Failed(Failed::UnknownOutcome);
        }
        let started = self.client.complete(&completion, self.order.request_id, self.fence).await;
        let mut parts = match started {
            Ok(parts) => parts,
            Err(error) if error.is_not_run() => {
                let reason = NotRunReason::RefusedByUpstream;
                return WorkEvent::NotRun(NotRun { reason, retry_after: LOAD_RETRY });
            }
            Err(rail_upstream::Error::Failed(_)) => {
                return WorkEvent::Failed(Failed::UpstreamFailed);
            }
            Err(_) => return WorkEvent::Failed(self.judge_loss().await),
        };
        let mut expected = 0;
        while let Some(part) = parts.next().await {
            match part {
                Ok(StreamPart::Token { offset, model, text }) if offset == expected => {
                    if model != self.order.model {
                        self.cancel().await;
                        return WorkEvent::Failed(Failed::WrongAdapter);
                    }
                    expected += 1;
                    let token = WorkEvent::Token { offset, model, text };
                    if self.events.send(token).await.is_err() {
                        self.cancel().await;
                        return WorkEvent::Failed(Failed::UnknownOutcome);
                    }
                }
                Ok(StreamPart::End) => return WorkEvent::Final { tokens: expected },
                Ok(StreamPart::Token { .. }) | Err(_) => break,
            }
        }
        WorkEvent::Failed(self.judge_loss().await)
    }

    /// Tells a lost connection from a crash: the engine does not serve, or has started cold.
    async fn judge_loss(&self) -> Failed {
        match self.client.load_report().await {
            Ok(report) if Some(report.boot_id) == self.boot_id => Failed::UnknownOutcome,
            _ => Failed::UpstreamCrashed,
        }
    }

    async fn cancel(&self) {
        if let Err(error) = self.client.cancel(self.order.request_id).await {
            log::debug!("cancellation failed: {error}");
        }
    }
}
