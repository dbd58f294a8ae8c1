//! Load and eviction orders to the engine, and the handling of its load reports.

use super::{
    EngineActor, LOAD_RETRY_AFTER, REPORT_INTERVAL,
    permit::{Permit, PermitBroker},
};
use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, SpawnHandle, WrapFuture};
use rail_peer::PermitRequest;
use rail_place::{LoadDecision, LoadRequest, Result};
use rail_request::RequestRefusalReason;
use rail_upstream::LoadReport;
use std::time::Duration;

/// Maximum number of loads of one engine that wait for a permit.
const MAX_PENDING_PERMITS: usize = 4;
/// Maximum time by which the state in a load report may be older than the request for the report.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);
/// Maximum duration of a request; after this no request of a previous owner can still run.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(3600);

/// Message: a load report of the engine, with the time at which it was requested.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Report {
    report: LoadReport,
    asked_at: Duration,
}

/// A pending request for a permit.
#[derive(Debug)]
pub(super) struct PermitTask {
    urgent: bool,
    task: SpawnHandle,
}

/// A load that has its permit.
#[derive(Debug)]
struct GrantedLoad {
    adapter: String,
    permit: Permit,
}

impl EngineActor {
    /// Requests permits for the planned loads and cancels requests for loads that are no longer
    /// planned.
    pub(super) fn update_permit_tasks(&mut self, loads: &[LoadRequest], ctx: &mut Context<Self>) {
        let Some(broker) = PermitBroker::current() else {
            return;
        };
        let loads = loads.iter().filter(|load| !self.awaiting_eviction.contains(&load.adapter));
        let loads: Vec<&LoadRequest> = loads.take(MAX_PENDING_PERMITS).collect();
        self.permit_tasks.retain(|adapter, permit_task| {
            let is_same_load =
                |load: &&LoadRequest| load.adapter == *adapter && load.urgent == permit_task.urgent;
            let is_planned = loads.iter().any(is_same_load);
            if !is_planned {
                ctx.cancel_future(permit_task.task);
            }
            is_planned
        });
        for load in loads {
            if !self.permit_tasks.contains_key(&load.adapter) {
                let permit_task = self.spawn_permit_task(load, broker.clone(), ctx);
                self.permit_tasks.insert(load.adapter.clone(), permit_task);
            }
        }
    }

    fn spawn_permit_task(
        &self,
        load: &LoadRequest,
        broker: PermitBroker,
        ctx: &mut Context<Self>,
    ) -> PermitTask {
        let (urgent, adapter) = (load.urgent, load.adapter.clone());
        let request = PermitRequest { urgent, worth_milli: (load.worth * 1000.0) as u64 };
        let wait = async move { broker.acquire(request).await };
        let task = wait.into_actor(self).map(move |permit, actor, ctx| {
            actor.permit_tasks.remove(&adapter);
            actor.start_granted_load(GrantedLoad { adapter, permit }, ctx);
            actor.schedule(ctx);
        });
        PermitTask { urgent, task: ctx.spawn(task) }
    }

    /// Loads an adapter with its permit, after an eviction if no adapter slot is free.
    fn start_granted_load(&mut self, granted: GrantedLoad, ctx: &mut Context<Self>) {
        let GrantedLoad { adapter, permit } = granted;
        let waiting = self.queue.count_by_adapter();
        if !self.session.is_valid() || !waiting.contains_key(&adapter) {
            return;
        }
        let now = self.clock.now();
        match self.planner.residency().decide_load(&adapter, &waiting, now) {
            LoadDecision::Load => self.load(adapter, permit, ctx),
            LoadDecision::Evict(evicted_adapter) => {
                self.awaiting_eviction.insert(adapter.clone());
                self.evict(&evicted_adapter, GrantedLoad { adapter, permit }, ctx);
            }
            LoadDecision::Resident
            | LoadDecision::Loading
            | LoadDecision::Full
            | LoadDecision::BackOff(_) => {}
        }
    }

    fn load(&mut self, adapter: String, permit: Permit, ctx: &mut Context<Self>) {
        let started = self.planner.residency_mut().start_load(&adapter, self.clock.now());
        let Some(ticket) = self.count_undone(started) else {
            return;
        };
        let client = self.client.clone();
        let fence = self.fence;
        let order = async move {
            let result = client.load_adapter(&adapter, fence).await;
            drop(permit);
            (adapter, ticket, result)
        };
        ctx.spawn(order.into_actor(self).map(|(adapter, ticket, result), actor, ctx| {
            let loaded = result.is_ok();
            actor.metrics.loads.count(if loaded { "loaded" } else { "failed" });
            let (now, jitter) = (actor.clock.now(), rand::random());
            let finished = actor.planner.residency_mut().finish_load(ticket, loaded, now, jitter);
            actor.count_undone(finished);
            if !loaded {
                actor.refuse_adapter(&adapter);
            }
            actor.schedule(ctx);
        }));
    }

    fn refuse_adapter(&mut self, adapter: &str) {
        for waiting in self.queue.remove_adapter(adapter) {
            self.refuse(&waiting, RequestRefusalReason::LoadFailed, LOAD_RETRY_AFTER);
        }
    }

    fn evict(&mut self, evicted_adapter: &str, granted: GrantedLoad, ctx: &mut Context<Self>) {
        let started = self.planner.residency_mut().start_evict(evicted_adapter, self.clock.now());
        let Some(ticket) = self.count_undone(started) else {
            self.awaiting_eviction.remove(&granted.adapter);
            return;
        };
        self.metrics.evictions.inc();
        let client = self.client.clone();
        let fence = self.fence;
        let order = async move {
            let result = client.unload_adapter(ticket.adapter(), fence).await;
            (ticket, result)
        };
        ctx.spawn(order.into_actor(self).map(move |(ticket, result), actor, ctx| {
            let now = actor.clock.now();
            let evicted = result.is_ok();
            let finished = actor.planner.residency_mut().finish_evict(ticket, evicted, now);
            actor.count_undone(finished);
            actor.awaiting_eviction.remove(&granted.adapter);
            if evicted {
                actor.load(granted.adapter, granted.permit, ctx);
            }
            actor.schedule(ctx);
        }));
    }

    /// Returns the value of a planned step, or counts in `undone_steps` the reason why the step is
    /// no longer possible.
    pub(super) fn count_undone<T>(&self, result: Result<T>) -> Option<T> {
        result.inspect_err(|error| self.metrics.undone_steps.count(&error.to_string())).ok()
    }

    /// Starts requesting the engine's load report at a fixed interval.
    pub(super) fn poll_reports(&self, ctx: &Context<Self>) {
        let (client, clock) = (self.client.clone(), self.clock);
        let engine = ctx.address();
        actix_rt::spawn(async move {
            while engine.connected() {
                let asked_at = clock.now();
                if let Ok(report) = client.load_report().await {
                    engine.do_send(Report { report, asked_at });
                }
                actix_rt::time::sleep(REPORT_INTERVAL).await;
            }
        });
    }

    fn apply_report(&mut self, report: &LoadReport, requested_at: Duration) {
        let now = self.clock.now();
        if self.boot_id != Some(report.boot_id) {
            if self.boot_id.is_some() {
                self.metrics.undone_steps.count("cold_restart");
            }
            self.planner.residency_mut().clear();
            self.boot_id = Some(report.boot_id);
            self.inherited.clear();
            self.inherited_at = now;
        }
        let untracked = self.planner.residency_mut().reconcile(&report.loaded, requested_at, now);
        self.inherited.extend(untracked);
        let is_expired = now.saturating_sub(self.inherited_at) > MAX_REQUEST_DURATION;
        if is_expired || requested_at >= self.inherited_at + MAX_REPORT_LAG {
            self.release_inherited(|adapter| !is_expired && report.is_busy(adapter));
        }
    }

    /// Releases the adapters that were kept for a previous owner's requests, except busy ones.
    fn release_inherited(&mut self, is_busy: impl Fn(&str) -> bool) {
        let inherited = std::mem::take(&mut self.inherited);
        let (busy, idle): (Vec<_>, Vec<_>) =
            inherited.into_iter().partition(|ticket| is_busy(ticket.adapter()));
        self.inherited = busy;
        for ticket in idle {
            let released = self.planner.residency_mut().release(ticket);
            self.count_undone(released);
        }
    }
}

impl Handler<Report> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Report, ctx: &mut Self::Context) {
        self.apply_report(&message.report, message.asked_at);
        self.schedule(ctx);
    }
}
