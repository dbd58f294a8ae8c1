//! Calls between hosts for the instances of plain services.
//!
//! A host calls the dispatcher of a service before each send, if an instance has reported its pace or
//! can't turn many requests away: elsewhere each host chooses well enough by itself. It chooses by
//! itself too if no dispatcher replies.

use crate::{
    dispatch::{self, LocalRun},
    node::{Node, SharedNode},
    peer_calls::wait_for_holder_loss,
    request::CallerRequest,
};
use rail_dispatch::{DispatcherStanding, RunEnd, RunOutcome, rank_dispatchers};
use rail_peer::{
    DispatchReply, DispatchRequest, Error, PeerReply, PeerRequest, ReplySender, ReplyStream,
};
use rail_route::UpstreamId;
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Most slots of a service that is dispatched. Among more slots a host finds a free one by itself,
/// and the calls for so many requests would fill one host.
const MAX_DISPATCHED_SLOTS: u32 = 256;
/// Timeout of the first reply of a dispatcher, as a share of the target latency.
const REPLY_TIMEOUT_SHARE: f64 = 0.25;
/// Bounds of that timeout.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which a dispatcher reports that a request still waits.
const QUEUED_INTERVAL: Duration = Duration::from_millis(100);
/// Time without such a message after which the dispatcher is presumed to be gone.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a silent host is not called; it doubles with each further silence.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);
/// Longest such time.
const MAX_SILENCE_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a host of an earlier build is not called.
const OLD_BUILD_PAUSE: Duration = Duration::from_secs(10);
/// Share of the time left until the deadline that a request may wait for an instance.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Time after a request's deadline at which its run has certainly ended.
const RUN_SLACK: Duration = Duration::from_secs(1);
/// Time after which the calling host learns that its request waits; most decisions are sooner.
const FIRST_QUEUED_REPORT: Duration = Duration::from_millis(5);

/// Hosts that are not called for instances.
#[derive(Debug, Default)]
pub struct DispatchPauses {
    by_host: RefCell<HashMap<SocketAddr, Pause>>,
}

/// Time for which a host is not called.
#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Duration,
    /// Length of the last pause for a silence.
    length: Duration,
}

impl DispatchPauses {
    fn is_paused(&self, peer: SocketAddr, now: Duration) -> bool {
        self.by_host.borrow().get(&peer).is_some_and(|pause| now < pause.until)
    }

    fn record_silence(&self, peer: SocketAddr, now: Duration) {
        let mut pauses = self.by_host.borrow_mut();
        let doubled = pauses.get(&peer).map(|pause| pause.length * 2);
        let length = doubled.unwrap_or(SILENCE_PAUSE).min(MAX_SILENCE_PAUSE);
        pauses.insert(peer, Pause { until: now + length, length });
    }

    fn record_old_build(&self, peer: SocketAddr, now: Duration) {
        let pause = Pause { until: now + OLD_BUILD_PAUSE, length: SILENCE_PAUSE };
        self.by_host.borrow_mut().insert(peer, pause);
    }

    fn record_reply(&self, peer: SocketAddr) {
        self.by_host.borrow_mut().remove(&peer);
    }
}

/// A run that a dispatcher has started; dropping it ends the run.
#[derive(Debug)]
pub enum InstanceRun {
    /// Started by this host.
    Local(LocalRun),
    /// Started by another host.
    Remote(ReplyStream),
}

impl InstanceRun {
    /// Reports to the dispatcher how a run ended.
    pub fn release(
        self,
        node: &Node,
        request: &CallerRequest,
        upstream: &str,
        outcome: RunOutcome,
    ) {
        let report = node.upstream_loads.last_report(upstream);
        // With two attempts the time since the last send is not that of this run.
        let is_timed = outcome == RunOutcome::Answered && request.possible_runs() <= 1;
        let took = is_timed.then(|| request.running_time());
        let services = node.brittle_services.borrow();
        let max_refusals_per_s = services.max_refusals_per_s(&request.service);
        drop(services);
        let end = RunEnd { outcome, report, took, max_refusals_per_s };
        match self {
            Self::Local(run) => run.release(end),
            Self::Remote(call) => call.stop(end.code()),
        }
    }
}

/// Reply of one host that was called for an instance.
enum Reply {
    Start(UpstreamId, InstanceRun),
    Refused(Duration),
    /// The host does not dispatch, or did not reply.
    NoDecision(&'static str),
}

/// Requests one of the usable instances from the dispatcher of the service. Returns `None` if
/// the service is not dispatched or no dispatcher replies. The request waits for `max_wait` at
/// most.
///
/// # Errors
/// Returns the time after which the request may come back, if no instance has room in time.
pub async fn acquire(
    node: &SharedNode,
    request: &CallerRequest,
    usable: &[UpstreamId],
    max_wait: Duration,
) -> Result<Option<(UpstreamId, InstanceRun)>, Duration> {
    if !is_dispatched(node, &request.service) {
        return Ok(None);
    }
    let called_at = Instant::now();
    for host in dispatchers(node, &request.service) {
        let call = dispatch_request(node, request, usable, max_wait);
        let reply = if host == node.settings.host {
            request_from_own(node, &call).await
        } else {
            let peer = node.hosts.borrow().find(&host).map(|heartbeat| heartbeat.peer_address);
            let Some(peer) = peer else { continue };
            if node.dispatch_pauses.is_paused(peer, node.now()) {
                continue;
            }
            let target = request.route.target_latency;
            let reply_timeout = target.mul_f64(REPLY_TIMEOUT_SHARE);
            let reply_timeout = reply_timeout.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT);
            request_from_host(node, peer, call, reply_timeout).await
        };
        match reply {
            Reply::Start(instance, run) if usable.contains(&instance) => {
                node.metrics.dispatch.replies.count("started");
                node.metrics.dispatch.reply_time.observe("started", called_at.elapsed());
                return Ok(Some((instance, run)));
            }
            Reply::Start(..) => node.metrics.dispatch.replies.count("unusable"),
            Reply::Refused(retry_after) => {
                node.metrics.dispatch.replies.count("refused");
                node.metrics.dispatch.reply_time.observe("refused", called_at.elapsed());
                return Err(retry_after);
            }
            Reply::NoDecision(reason) => node.metrics.dispatch.replies.count(reason),
        }
    }
    Ok(None)
}

/// Returns whether a service is dispatched. It is if its instances can't turn many requests away, or
/// if one has reported its pace and there are so few slots that the requests of all hosts meet at
/// them.
fn is_dispatched(node: &Node, service: &str) -> bool {
    if node.brittle_services.borrow().max_refusals_per_s(service).is_some() {
        return true;
    }
    let upstreams = node.upstreams.borrow();
    let mut slots = 0;
    let mut is_uneven = false;
    for upstream in upstreams.ready(service) {
        slots = u32::saturating_add(slots, upstream.slots);
        is_uneven |= node.upstream_loads.reports_pace(&upstream.id);
    }
    is_uneven && slots <= MAX_DISPATCHED_SLOTS
}

fn dispatchers(node: &Node, service: &str) -> Vec<String> {
    let hosts = node.hosts.borrow();
    let ready = hosts.live(node.now()).filter(|heartbeat| heartbeat.is_ready);
    let capacities = ready.map(|heartbeat| (heartbeat.host.as_str(), heartbeat.capacity_milli));
    rank_dispatchers(service, capacities).map(str::to_owned).collect()
}

/// Returns which part this host has in dispatching a service.
pub fn standing(node: &Node, service: &str) -> DispatcherStanding {
    let is_first = dispatchers(node, service).first() == Some(&node.settings.host);
    let hosts = node.hosts.borrow();
    let live_hosts = hosts.live(node.now()).count();
    DispatcherStanding { is_first, live_hosts, known_hosts: hosts.len() }
}

fn dispatch_request(
    node: &Node,
    request: &CallerRequest,
    usable: &[UpstreamId],
    max_wait: Duration,
) -> DispatchRequest {
    let upstreams = node.upstreams.borrow();
    let ready = upstreams.ready(&request.service).map(|upstream| &upstream.id);
    let excluded = ready.filter(|id| !usable.contains(id)).cloned().collect();
    let target = request.route.target_latency;
    let time_left = request.time_left();
    DispatchRequest {
        service: request.service.clone(),
        zone: node.settings.zone.clone(),
        priority: request.priority(),
        late_in_ms: target.saturating_sub(request.arrived_at.elapsed()).as_millis() as u32,
        wait_ms: time_left.mul_f64(MAX_WAIT_SHARE).min(max_wait).as_millis() as u32,
        deadline_ms: time_left.as_millis() as u32,
        excluded,
    }
}

async fn request_from_own(node: &SharedNode, call: &DispatchRequest) -> Reply {
    match dispatch::request(node, call) {
        None => Reply::NoDecision("not_dispatcher"),
        Some(Err(retry_after)) => Reply::Refused(retry_after),
        Some(Ok(mut run)) => match run.decision().await {
            Ok(instance) => Reply::Start(instance, InstanceRun::Local(run)),
            Err(retry_after) => Reply::Refused(retry_after),
        },
    }
}

async fn request_from_host(
    node: &SharedNode,
    peer: SocketAddr,
    call: DispatchRequest,
    reply_timeout: Duration,
) -> Reply {
    let Some(mesh) = node.peers.mesh() else { return Reply::NoDecision("no_link") };
    let request = PeerRequest::Dispatch(call);
    let first_reply = async {
        let mut replies = mesh.call(peer, &request).await?;
        let reply = replies.next().await?;
        Ok::<_, Error>((replies, reply))
    };
    let (mut replies, mut reply) = match timeout(reply_timeout, first_reply).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Error::OldFormat)) => {
            node.dispatch_pauses.record_old_build(peer, node.now());
            return Reply::NoDecision("old_build");
        }
        Ok(Err(_)) | Err(_) => {
            node.dispatch_pauses.record_silence(peer, node.now());
            return Reply::NoDecision("no_reply");
        }
    };
    node.dispatch_pauses.record_reply(peer);
    while reply == Some(PeerReply::Dispatch(DispatchReply::Queued)) {
        let Ok(Ok(next)) = timeout(QUEUED_TIMEOUT, replies.next()).await else {
            node.dispatch_pauses.record_silence(peer, node.now());
            return Reply::NoDecision("no_reply");
        };
        reply = next;
    }
    match reply {
        Some(PeerReply::Dispatch(DispatchReply::Send(instance))) => {
            Reply::Start(instance, InstanceRun::Remote(replies))
        }
        Some(PeerReply::Dispatch(DispatchReply::Refused(retry_after_ms))) => {
            Reply::Refused(Duration::from_millis(retry_after_ms.into()))
        }
        _ => Reply::NoDecision("not_dispatcher"),
    }
}

/// Chooses an instance for a request of another host, and counts its run until that host ends it.
pub async fn serve(
    node: SharedNode,
    peer: SocketAddr,
    call: DispatchRequest,
    mut replies: ReplySender,
) {
    let mut run = match dispatch::request(&node, &call) {
        None => return send_final_reply(replies, DispatchReply::NotDispatcher).await,
        Some(Err(retry_after)) => {
            let retry_after_ms = retry_after.as_millis() as u32;
            return send_final_reply(replies, DispatchReply::Refused(retry_after_ms)).await;
        }
        Some(Ok(run)) => run,
    };
    let Some(decision) = decide(&mut run, &mut replies).await else { return };
    let instance = match decision {
        Ok(instance) => instance,
        Err(retry_after) => {
            let retry_after_ms = retry_after.as_millis() as u32;
            return send_final_reply(replies, DispatchReply::Refused(retry_after_ms)).await;
        }
    };
    if replies.send(&PeerReply::Dispatch(DispatchReply::Send(instance))).await.is_err() {
        return;
    }
    let longest_run = Duration::from_millis(call.deadline_ms.into()) + RUN_SLACK;
    let code = tokio::select! {
        code = replies.stop_code() => code,
        () = wait_for_holder_loss(&node, peer) => None,
        () = tokio::time::sleep(longest_run) => None,
    };
    run.release(code.map_or(RunEnd::UNKNOWN, RunEnd::from_code));
}

/// Waits for the decision on a request of another host, and reports to it while the request waits.
/// Returns `None` if that host has cancelled the call.
async fn decide(
    run: &mut LocalRun,
    replies: &mut ReplySender,
) -> Option<Result<UpstreamId, Duration>> {
    let mut decision = std::pin::pin!(run.decision());
    let mut report_after = FIRST_QUEUED_REPORT;
    loop {
        tokio::select! {
            biased;
            decision = &mut decision => return Some(decision),
            _code = replies.stop_code() => return None,
            () = tokio::time::sleep(report_after) => {}
        }
        replies.send(&PeerReply::Dispatch(DispatchReply::Queued)).await.ok()?;
        report_after = QUEUED_INTERVAL;
    }
}

async fn send_final_reply(mut replies: ReplySender, reply: DispatchReply) {
    if replies.send(&PeerReply::Dispatch(reply)).await.is_ok() {
        replies.finish();
    }
}
