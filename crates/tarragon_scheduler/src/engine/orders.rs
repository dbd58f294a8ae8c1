//! Orders to the engine, and what its load reports say.

use super::{
    EngineActor, LOAD_RETRY, REPORT_INTERVAL,
    permit::{Permit, PermitBroker},
};
use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, SpawnHandle, WrapFuture};
use rail_peer::PermitRequest;
use rail_place::{LoadDecision, LoadRequest, Result};
use rail_request::RequestRefusalReason;
use rail_upstream::LoadReport;
use std::time::Duration;

/// Loads of one engine that wait for a permit.
const MAX_ASKS: usize = 4;
/// Time by which a load report may be late.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Time after which no request of a previous owner can still run.
const LONGEST_REQUEST: Duration = Duration::from_secs(3600);

/// A load report, and when it was asked for.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Report {
    report: LoadReport,
    asked_at: Duration,
}

/// A wait for a permit.
#[derive(Debug)]
pub(super) struct PermitTask {
    urgent: bool,
    task: SpawnHandle,
}

/// A load that may start.
#[derive(Debug)]
struct Granted {
    adapter: String,
    permit: Permit,
}

impl EngineActor {
    /// Asks for permits of wished loads and withdraws those that nobody wishes any more.
    pub(super) fn follow_wishes(&mut self, wishes: &[LoadRequest], ctx: &mut Context<Self>) {
        let Some(broker) = PermitBroker::current() else {
            return;
        };
        let wishes = wishes.iter().filter(|wish| !self.preparing.contains(&wish.adapter));
        let wishes: Vec<&LoadRequest> = wishes.take(MAX_ASKS).collect();
        self.asks.retain(|adapter, ask| {
            let is_wish =
                |wish: &&LoadRequest| wish.adapter == *adapter && wish.urgent == ask.urgent;
            let is_wished = wishes.iter().any(is_wish);
            if !is_wished {
                ctx.cancel_future(ask.task);
            }
            is_wished
        });
        for wish in wishes {
            if !self.asks.contains_key(&wish.adapter) {
                let ask = self.ask_permit(wish, broker.clone(), ctx);
                self.asks.insert(wish.adapter.clone(), ask);
            }
        }
    }

    fn ask_permit(
        &self,
        wish: &LoadRequest,
        broker: PermitBroker,
        ctx: &mut Context<Self>,
    ) -> PermitTask {
        let (urgent, adapter) = (wish.urgent, wish.adapter.clone());
        let request = PermitRequest { urgent, worth_milli: (wish.worth * 1000.0) as u64 };
        let wait = async move { broker.acquire(request).await };
        let task = wait.into_actor(self).map(move |permit, actor, ctx| {
            actor.asks.remove(&adapter);
            actor.prepare(Granted { adapter, permit }, ctx);
            actor.pump(ctx);
        });
        PermitTask { urgent, task: ctx.spawn(task) }
    }

    /// Loads an adapter with its permit, after an eviction when no slot is free.
    fn prepare(&mut self, granted: Granted, ctx: &mut Context<Self>) {
        let Granted { adapter, permit } = granted;
        let waiting = self.queue.count_by_adapter();
        if !self.session.is_in_force() || !waiting.contains_key(&adapter) {
            return;
        }
        let now = self.clock.now();
        match self.planner.residency().decide_load(&adapter, &waiting, now) {
            LoadDecision::Load => self.load(adapter, permit, ctx),
            LoadDecision::Evict(victim) => {
                self.preparing.insert(adapter.clone());
                self.evict(&victim, Granted { adapter, permit }, ctx);
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
            actor.pump(ctx);
        }));
    }

    fn refuse_adapter(&mut self, adapter: &str) {
        for waiting in self.queue.remove_adapter(adapter) {
            self.refuse(&waiting, RequestRefusalReason::LoadFailed, LOAD_RETRY);
        }
    }

    fn evict(&mut self, victim: &str, then: Granted, ctx: &mut Context<Self>) {
        let started = self.planner.residency_mut().start_evict(victim, self.clock.now());
        let Some(ticket) = self.count_undone(started) else {
            self.preparing.remove(&then.adapter);
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
            actor.preparing.remove(&then.adapter);
            if evicted {
                actor.load(then.adapter, then.permit, ctx);
            }
            actor.pump(ctx);
        }));
    }

    /// Counts a step that is no longer possible, by reason.
    pub(super) fn count_undone<T>(&self, result: Result<T>) -> Option<T> {
        result.inspect_err(|error| self.metrics.undone_steps.count(&error.to_string())).ok()
    }

    /// Reads the load report of the engine at a fixed interval.
    pub(super) fn follow_reports(&self, ctx: &Context<Self>) {
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

    fn take_report(&mut self, report: &LoadReport, asked_at: Duration) {
        let now = self.clock.now();
        if self.boot_id != Some(report.boot_id) {
            if self.boot_id.is_some() {
                self.metrics.undone_steps.count("cold_restart");
            }
            self.planner.residency_mut().clear();
            self.boot_id = Some(report.boot_id);
            self.adopted.clear();
            self.adopted_at = now;
        }
        let unknown = self.planner.residency_mut().reconcile(&report.loaded, asked_at, now);
        self.adopted.extend(unknown);
        let is_over = now.saturating_sub(self.adopted_at) > LONGEST_REQUEST;
        if is_over || asked_at >= self.adopted_at + REPORT_LAG {
            self.release_adopted(|adapter| !is_over && report.is_busy(adapter));
        }
    }

    /// Releases the adapters that were held for a previous owner's work, but for those still busy.
    fn release_adopted(&mut self, is_busy: impl Fn(&str) -> bool) {
        let adopted = std::mem::take(&mut self.adopted);
        let (kept, idle): (Vec<_>, Vec<_>) =
            adopted.into_iter().partition(|ticket| is_busy(ticket.adapter()));
        self.adopted = kept;
        for ticket in idle {
            let released = self.planner.residency_mut().release(ticket);
            self.count_undone(released);
        }
    }
}

impl Handler<Report> for EngineActor {
    type Result = ();

    fn handle(&mut self, message: Report, ctx: &mut Self::Context) {
        self.take_report(&message.report, message.asked_at);
        self.pump(ctx);
    }
}
