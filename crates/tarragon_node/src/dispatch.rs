//! Plain services that this host dispatches: it chooses the instance of each request, for all
//! hosts.

use crate::{
    brittle_services, dispatch_calls,
    events::Event,
    node::{Node, SharedNode},
};
use rail_dispatch::{
    Arrival, Dispatcher, InstanceStatus, RunEnd, RunId, RunKnowledge, RunOutcome, RunRequest,
};
use rail_peer::DispatchRequest;
use rail_route::{ServiceId, UpstreamId};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Time after which the registered instances of a service are read again.
const INSTANCE_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a waiting request checks for an instance whose pause has ended.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a request after which the state of a service is removed.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Services that this host dispatches.
#[derive(Debug, Default)]
pub struct Dispatch {
    services: RefCell<HashMap<ServiceId, DispatchedService>>,
}

#[derive(Debug, Default)]
struct DispatchedService {
    dispatcher: Dispatcher,
    knowledge: RunKnowledge,
    waiting: HashMap<RunId, oneshot::Sender<UpstreamId>>,
    instances_read_at: Option<Duration>,
    /// Last time at which a waiting request checked for an instance.
    checked_at: Duration,
    used_at: Duration,
}

/// A request at the dispatcher of this host; dropping it ends its run.
#[derive(Debug)]
pub struct LocalRun {
    node: SharedNode,
    service: ServiceId,
    id: RunId,
    decision: oneshot::Receiver<UpstreamId>,
    expires_at: Instant,
    end: RunEnd,
}

impl LocalRun {
    /// Waits until the run may start and returns its instance.
    ///
    /// # Errors
    /// Returns the time after which the request may come back, if no instance had room in time.
    pub async fn decision(&mut self) -> Result<UpstreamId, Duration> {
        let expires_at = tokio::time::Instant::from_std(self.expires_at);
        loop {
            tokio::select! {
                biased;
                instance = &mut self.decision => return instance.map_err(|_ended| Duration::ZERO),
                () = tokio::time::sleep_until(expires_at) => {
                    let now = self.node.now();
                    return Err(self.node.dispatch.with_service(&self.service, |service| {
                        service.dispatcher.refuse(now)
                    }));
                }
                () = tokio::time::sleep(WAIT_CHECK_INTERVAL) => {
                    self.node.dispatch.check_waiting(&self.node, &self.service);
                }
            }
        }
    }

    /// Ends the run.
    pub fn release(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for LocalRun {
    fn drop(&mut self) {
        let now = self.node.now();
        let is_answered = matches!(self.end.outcome, RunOutcome::Answered | RunOutcome::Refused);
        self.node.dispatch.with_service(&self.service, |service| {
            service.waiting.remove(&self.id);
            service.dispatcher.end(self.id, self.end, now);
            if is_answered {
                service.knowledge.record_answer();
            }
        });
        if is_answered {
            let max_refusals_per_s = self.end.max_refusals_per_s;
            brittle_services::record_answer(&self.node, &self.service, max_refusals_per_s);
        }
        self.node.dispatch.start_waiting(&self.node, &self.service);
    }
}

impl Dispatch {
    fn with_service<T>(&self, service: &str, f: impl FnOnce(&mut DispatchedService) -> T) -> T {
        let mut services = self.services.borrow_mut();
        if let Some(dispatched) = services.get_mut(service) {
            return f(dispatched);
        }
        f(services.entry(service.to_owned()).or_default())
    }

    /// Starts the waiting requests for which an instance has room.
    fn start_waiting(&self, node: &Node, service: &str) {
        let now = node.now();
        self.with_service(service, |dispatched| {
            dispatched.read_instances(node, service, now);
            dispatched.update_room(node, service, now);
            while let Some(start) = dispatched.dispatcher.next_start(now) {
                let waiting = dispatched.waiting.remove(&start.id);
                if waiting.is_none_or(|waiting| waiting.send(start.instance).is_err()) {
                    dispatched.dispatcher.end(start.id, RunEnd::UNKNOWN, now);
                }
            }
        });
    }

    /// Starts waiting requests, unless another waiting request has just checked.
    fn check_waiting(&self, node: &Node, service: &str) {
        let now = node.now();
        let is_due = self.with_service(service, |dispatched| {
            let is_due = now >= dispatched.checked_at + WAIT_CHECK_INTERVAL;
            if is_due {
                dispatched.checked_at = now;
            }
            is_due
        });
        if is_due {
            self.start_waiting(node, service);
        }
    }

    /// Returns the state of each instance that this host has chosen lately.
    pub fn statuses(&self, now: Duration) -> Vec<InstanceStatus> {
        let services = self.services.borrow();
        let of_service = |service: &DispatchedService| {
            service.dispatcher.statuses(now).collect::<Vec<InstanceStatus>>()
        };
        services.values().flat_map(of_service).collect()
    }

    /// Returns the number of requests that wait for an instance.
    pub fn waiting_count(&self) -> usize {
        let services = self.services.borrow();
        services.values().map(|service| service.dispatcher.waiting_count()).sum()
    }
}

impl DispatchedService {
    fn read_instances(&mut self, node: &Node, service: &str, now: Duration) {
        let is_recent = |at: Duration| now < at + INSTANCE_READ_INTERVAL;
        if !self.instances_read_at.is_some_and(is_recent) {
            self.instances_read_at = Some(now);
            self.dispatcher.set_ready(node.upstreams.borrow().ready(service));
        }
    }

    /// Updates how far the instances are filled.
    fn update_room(&mut self, node: &Node, service: &str, now: Duration) {
        let max_refusals_per_s = node.brittle_services.borrow().max_refusals_per_s(service);
        let standing = || dispatch_calls::standing(node, service);
        let rule = self.knowledge.room_rule(max_refusals_per_s, standing, now);
        self.dispatcher.set_room_rule(rule);
    }
}

/// Decides on the request of any host as the dispatcher of its service. Returns `None` if this host
/// is stopping or knows no instance that may run it, else the time of a refusal as the error.
pub fn request(node: &SharedNode, call: &DispatchRequest) -> Option<Result<LocalRun, Duration>> {
    if node.is_stopping.get() {
        return None;
    }
    let now = node.now();
    let wait = Duration::from_millis(call.wait_ms.into());
    let request = RunRequest {
        zone: call.zone.clone(),
        priority: call.priority,
        late_at: now + Duration::from_millis(call.late_in_ms.into()),
        expires_at: now + wait,
        excluded: call.excluded.clone(),
    };
    let (sender, decision) = oneshot::channel();
    let arrival = node.dispatch.with_service(&call.service, |service| {
        service.read_instances(node, &call.service, now);
        service.knowledge.record_request(now);
        service.update_room(node, &call.service, now);
        service.used_at = now;
        let arrival = service.dispatcher.request(request, now);
        if let Arrival::Queued(id) = arrival {
            service.waiting.insert(id, sender);
        }
        arrival
    });
    match arrival {
        Arrival::NoInstance => None,
        Arrival::Refused(retry_after) => Some(Err(retry_after)),
        Arrival::Queued(id) => {
            let run = LocalRun {
                node: Rc::clone(node),
                service: call.service.clone(),
                id,
                decision,
                expires_at: Instant::now() + wait,
                end: RunEnd::UNKNOWN,
            };
            node.dispatch.start_waiting(node, &call.service);
            Some(Ok(run))
        }
    }
}

/// Logs instances that have become slower or faster, and removes services that are not in use.
pub fn prune(node: &Node) {
    let now = node.now();
    let mut services = node.dispatch.services.borrow_mut();
    services
        .retain(|_, service| now < service.used_at + IDLE_TIME || service.dispatcher.has_runs());
    for service in services.values_mut() {
        for change in service.dispatcher.update_classes() {
            node.events.important(&Event::UpstreamSpeed {
                upstream: &change.id,
                before: change.before.name(),
                class: change.class.name(),
                mean_work_ms: change.mean_work_ms.round() as u64,
            });
        }
    }
}
