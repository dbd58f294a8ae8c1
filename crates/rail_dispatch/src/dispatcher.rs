//! Choice of instances by one host for all.

use crate::{
    instance::{Instance, InstanceStatus, SpeedChange},
    queue::WaitQueue,
    room::RoomRule,
    run_end::RunEnd,
};
use rail_route::{Upstream, UpstreamId};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Identity of a request at its dispatcher.
pub type RunId = u64;

/// Most requests that wait.
const MAX_WAITING: usize = 1024;
/// Waiting requests that are examined for one that can start, since the first ones may exclude the
/// instances that have room.
const MAX_EXAMINED: usize = 8;
/// Multiple of the mean work time in which nearly all runs end. A request with less time left goes
/// behind those that will be in time.
const LIKELY_WORK_FACTOR: f64 = 2.0;
/// Share of the time until a request is late by which an instance in another availability zone must
/// be quicker to be chosen.
const OTHER_ZONE_SHARE: f64 = 0.02;
/// Longest expected run, as a share of the time until the request is late, on an instance whose
/// speed is not known any more.
const MAX_PROBE_SHARE: f64 = 0.7;
/// Part of the capacity that requests may use which come back after a refusal.
const RETURNING_SHARE: f64 = 0.5;
/// Longest time after which a refused request may come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that asks for an instance.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// Availability zone of the host that sends the request.
    pub zone: String,
    /// Priority, 0 for the highest.
    pub priority: u8,
    /// Time from which its answer is late.
    pub late_at: Duration,
    /// Time from which it can't start any more.
    pub expires_at: Duration,
    /// Instances that must not run it.
    pub excluded: Vec<UpstreamId>,
}

/// Decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The request is queued; [`Dispatcher::next_start`] returns it once an instance has room.
    Queued(RunId),
    /// The request can't start in time; it may come back after this time.
    Refused(Duration),
    /// No instance may run it.
    NoInstance,
}

/// A run that starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The request.
    pub id: RunId,
    /// Instance that runs it.
    pub instance: UpstreamId,
}

#[derive(Debug, Clone)]
enum Run {
    Waiting { late_at: Duration, priority: u8 },
    Started(UpstreamId),
}

/// Chooses the instances of one service for the requests of all hosts.
///
/// It answers demand that is uneven over availability zones, instances whose speed changes from one
/// moment to the next, and bursts beyond their slots: each request gets the instance on which it is
/// expected to end first, and those for which no instance has room wait in one queue.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    instances: BTreeMap<UpstreamId, Instance>,
    room_rule: RoomRule,
    runs: HashMap<RunId, Run>,
    waiting: WaitQueue,
    last_id: RunId,
    /// Time at which the last refused request may come back.
    last_return_at: Duration,
}

impl Dispatcher {
    /// Sets the instances that accept new requests.
    pub fn set_ready<'a>(&mut self, ready: impl Iterator<Item = &'a Arc<Upstream>>) {
        for instance in self.instances.values_mut() {
            instance.is_ready = false;
        }
        for upstream in ready {
            self.instances.entry(upstream.id.clone()).or_default().update(upstream);
        }
        self.instances.retain(|_, instance| instance.is_ready || instance.in_flight > 0);
    }

    /// Sets how many runs may start on one instance from now on.
    pub fn set_room_rule(&mut self, rule: RoomRule) {
        self.room_rule = rule;
    }

    /// Queues a request, or refuses it if it can't start in time.
    pub fn request(&mut self, request: RunRequest, now: Duration) -> Arrival {
        let is_allowed = |(id, instance): (&UpstreamId, &Instance)| {
            instance.is_ready && !request.excluded.contains(id)
        };
        if !self.instances.iter().any(is_allowed) {
            return Arrival::NoInstance;
        }
        let wait = self.expected_wait(&request, now);
        if now + wait > request.expires_at || self.waiting.len() >= MAX_WAITING {
            // A request that accepts no wait does not come back.
            let is_patient = request.expires_at > now;
            return Arrival::Refused(if is_patient { self.refuse(now) } else { Duration::ZERO });
        }
        self.last_id += 1;
        let RunRequest { late_at, priority, .. } = request;
        self.runs.insert(self.last_id, Run::Waiting { late_at, priority });
        self.waiting.insert(self.last_id, request, now);
        Arrival::Queued(self.last_id)
    }

    /// Returns a run that starts now, if any; it goes on until [`Dispatcher::end`].
    pub fn next_start(&mut self, now: Duration) -> Option<Start> {
        if self.waiting.len() == 0 {
            return None;
        }
        if self.waiting.len() > 1 {
            self.waiting.set_late(self.quickest_work(now).mul_f64(LIKELY_WORK_FACTOR), now);
        }
        let start = self.find_start(now)?;
        let started = self.runs.insert(start.id, Run::Started(start.instance.clone()));
        if let Some(Run::Waiting { late_at, priority }) = started {
            self.waiting.remove(start.id, late_at, priority);
        }
        if let Some(instance) = self.instances.get_mut(&start.instance) {
            instance.in_flight += 1;
        }
        Some(start)
    }

    fn find_start(&self, now: Duration) -> Option<Start> {
        for (id, request) in self.waiting.iter().take(MAX_EXAMINED) {
            if let Some(instance) = self.choose(request, now) {
                return Some(Start { id, instance: instance.clone() });
            }
            // Where a request that may run anywhere can't start, no other one can.
            if request.excluded.is_empty() {
                return None;
            }
        }
        None
    }

    /// Records the end of a run, or removes a request that waits.
    pub fn end(&mut self, id: RunId, end: RunEnd, now: Duration) {
        match self.runs.remove(&id) {
            Some(Run::Waiting { late_at, priority }) => {
                self.waiting.remove(id, late_at, priority);
            }
            Some(Run::Started(instance)) => {
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.record_end(end, self.room_rule, now);
                }
            }
            None => {}
        }
    }

    /// Returns the time after which a request that is refused now may come back. Each one gets a
    /// later time than the one before it, so that they don't come back all at once.
    pub fn refuse(&mut self, now: Duration) -> Duration {
        let backlog = self.waiting.len() as f64 / self.runs_per_ms(now);
        let interval_ms = 1.0 / (self.runs_per_ms(now) * RETURNING_SHARE);
        let earliest = now + duration_ms(backlog);
        let return_at = earliest.max(self.last_return_at + duration_ms(interval_ms));
        self.last_return_at = return_at.min(now + MAX_RETRY_AFTER);
        self.last_return_at.saturating_sub(now)
    }

    /// Returns whether runs wait or have not ended.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state of each instance.
    pub fn statuses(&self, now: Duration) -> impl Iterator<Item = InstanceStatus> {
        self.instances.iter().map(move |(id, instance)| instance.status(id, now))
    }

    /// Returns the instances that have become slower or faster than the others, or no longer are.
    pub fn update_classes(&mut self) -> Vec<SpeedChange> {
        let known = self.instances.values().filter_map(Instance::mean_work_ms);
        let mut work_ms: Vec<f64> = known.collect();
        if work_ms.len() < self.instances.len() {
            // The first runs of the others will tell what is usual.
            return Vec::new();
        }
        work_ms.sort_by(f64::total_cmp);
        let Some(median_ms) = work_ms.get(work_ms.len() / 2).copied() else { return Vec::new() };
        let mut changes = Vec::new();
        for (id, instance) in &mut self.instances {
            let Some(mean_work_ms) = instance.mean_work_ms() else { continue };
            let class = instance.class.next(mean_work_ms / median_ms);
            let before = std::mem::replace(&mut instance.class, class);
            if before != class {
                changes.push(SpeedChange { id: id.clone(), before, class, mean_work_ms });
            }
        }
        changes
    }

    /// Returns the instance with room on which a request is expected to end first. If one without
    /// room would still end it sooner, behind all that wait, the request goes on waiting.
    fn choose(&self, request: &RunRequest, now: Duration) -> Option<&UpstreamId> {
        let time_left_ms = request.late_at.saturating_sub(now).as_secs_f64() * 1000.0;
        let mut best: Option<(f64, &UpstreamId)> = None;
        let mut best_full_ms = f64::INFINITY;
        for (id, instance) in &self.instances {
            if !instance.is_usable(now) || request.excluded.contains(id) {
                continue;
            }
            let cost = instance.cost(time_left_ms, self.room_rule, now);
            let is_other_zone = instance.zone != request.zone;
            let zone_cost_ms = if is_other_zone { time_left_ms * OTHER_ZONE_SHARE } else { 0.0 };
            let finish_ms = cost.finish_ms + zone_cost_ms;
            if cost.is_speed_outdated && cost.has_room && finish_ms < time_left_ms * MAX_PROBE_SHARE
            {
                return Some(id);
            }
            if !cost.has_room {
                let queue_ms = cost.work_ms * self.waiting.len() as f64 / f64::from(instance.slots);
                best_full_ms = best_full_ms.min(finish_ms + queue_ms);
            } else if best.is_none_or(|(best_ms, _)| finish_ms < best_ms) {
                best = Some((finish_ms, id));
            }
        }
        best.filter(|(finish_ms, _)| *finish_ms <= best_full_ms).map(|(_, id)| id)
    }

    /// Returns the expected time until a new request starts.
    fn expected_wait(&self, request: &RunRequest, now: Duration) -> Duration {
        let ahead = self.waiting.ahead_of(request, now);
        if ahead == 0 {
            return Duration::ZERO;
        }
        duration_ms(ahead as f64 / self.runs_per_ms(now))
    }

    /// Returns the number of runs that all instances end in a millisecond.
    fn runs_per_ms(&self, now: Duration) -> f64 {
        let ready = self.instances.values().filter(|instance| instance.is_ready);
        let rates = ready.map(|instance| f64::from(instance.slots) / instance.work_ms(now));
        (rates.sum::<f64>() * self.room_rule.share()).max(0.001)
    }

    fn quickest_work(&self, now: Duration) -> Duration {
        let usable = self.instances.values().filter(|instance| instance.is_usable(now));
        let work_ms = usable.map(|instance| instance.work_ms(now));
        duration_ms(work_ms.fold(f64::INFINITY, f64::min))
    }
}

fn duration_ms(time_ms: f64) -> Duration {
    Duration::try_from_secs_f64(time_ms / 1000.0).unwrap_or(Duration::ZERO)
}
