//! Requests to services without an engine: any ready instance may answer them.

use crate::{
    access, attempt, brittle_services, detour,
    dispatch_calls::{self, InstanceRun},
    engine_requests::StartedResponse,
    hedges::{self, FirstAttempt},
    lost_runs,
    node::{Node, SharedNode},
    quarantine::{self, Admission, KeyTrial},
    quotas, relay,
    reply::Failure,
    request::{CallerRequest, InFlight, fail_request, quarantine_response},
    send_permits,
    service_runs::ServiceRun,
};
use actix_http::{Response, body::BoxBody};
use rail_route::{
    AttemptCounts, AttemptFailure, AttemptOutcome, Upstream, UpstreamId, choose_instance,
    preferred_instances, trial_candidates, untried_instances,
};
use std::{sync::Arc, time::Duration};

/// `retry-after` for callers when no upstream could be reached.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(250);
/// `retry-after` for callers when the upstreams refused the request or it timed out unsent.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(120);

/// Sends a request to instances of its service until one answers or the deadline passes.
pub async fn serve(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
) -> Response<BoxBody> {
    if request.parsed_headers.is_detour && node.is_cut_off() {
        return detour::refuse(&node, &request);
    }
    let mut retry_state = RetryState::default();
    match request.within_time(answer(&node, &request, &mut retry_state)).await {
        Some(Ok(started_response)) => {
            return relay::respond(node, request, in_flight, started_response);
        }
        Some(Err(response)) => return response,
        None => {}
    }
    // Before a send a request may wait for its quota, its key or a permit.
    let is_sent = request.possible_runs() > 0;
    let may_have_run = retry_state.may_have_run && (is_sent || retry_state.is_detour_tried);
    let failure = if may_have_run { Failure::LateSent } else { Failure::LateUnsent };
    let retry_after = (!may_have_run).then_some(BUSY_RETRY_AFTER);
    if let (true, Some(upstream)) = (is_sent, &retry_state.current_upstream) {
        attempt::record_outcome(&node, &request, upstream, AttemptOutcome::Unreachable, "silent");
        let trial = retry_state.current_trial;
        lost_runs::record_unproven_end(&node, &request, upstream, trial, "silent");
    }
    let upstream =
        retry_state.current_upstream.as_ref().map_or("", |upstream| upstream.id.as_str());
    fail_request(&node, &request, failure, retry_after, upstream)
}

/// Answers a request with the response of an instance, which is complete, or of another host, which
/// is still to be read.
async fn answer(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &mut RetryState,
) -> Result<StartedResponse, Response<BoxBody>> {
    loop {
        if let Some(response) = send_with_retries(node, request, retry_state).await {
            return Err(response);
        }
        if let Some(result) = send_through_other_host(node, request, retry_state).await {
            return result;
        }
    }
}

/// Progress of one request over its attempts.
#[derive(Debug, Default)]
struct RetryState {
    tried_upstreams: Vec<String>,
    current_upstream: Option<Arc<Upstream>>,
    /// Trial as which the request runs there.
    current_trial: Option<KeyTrial>,
    /// Upstreams that name a limit and had no permit left for the request.
    over_limit: Vec<String>,
    attempts: AttemptCounts,
    may_have_run: bool,
    /// Whether other hosts were asked to serve the request.
    is_detour_tried: bool,
}

impl RetryState {
    /// Returns whether the request is sent again after an attempt that failed in this way. The
    /// retry budget is not considered.
    fn may_retry(&self, request: &CallerRequest, failure: AttemptFailure) -> bool {
        self.attempts.may_retry(failure, &request.route, request.time_left())
    }
}

/// Sends the request to one instance after another, within the limits of its route and the retry
/// budget. Returns `None` if the request has not run and goes through another host.
async fn send_with_retries(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &mut RetryState,
) -> Option<Response<BoxBody>> {
    loop {
        if is_detour_due(node, request, retry_state) {
            return None;
        }
        let candidates = || candidates(node, request, &retry_state.tried_upstreams);
        let admission = match quarantine::admit(node, request, candidates).await {
            Ok(admission) => admission,
            Err(refusal) => {
                return Some(quarantine_response(node, request, refusal, retry_state.may_have_run));
            }
        };
        // While the request waits for an instance, no upstream is to blame if its time runs out.
        retry_state.current_upstream = None;
        let (upstream, run) = match choose_upstream(node, request, retry_state, &admission).await {
            Choice::Send(upstream, run) => (upstream, run),
            Choice::Refused(retry_after) => {
                return Some(refused_response(node, request, retry_state, retry_after));
            }
            Choice::NoUpstream => return Some(no_upstream_response(node, request)),
        };
        let _load = node.upstream_loads.track(&upstream.id);
        retry_state.current_upstream = Some(Arc::clone(&upstream));
        let may_have_run_before = retry_state.may_have_run;
        retry_state.may_have_run = true;
        retry_state.current_trial = admission.trial_run();
        let first = FirstAttempt {
            upstream: &upstream,
            run,
            admission: &admission,
            earlier_attempts: retry_state.attempts.sent,
        };
        let others = || untried_upstreams(node, request, retry_state, &admission);
        let hedged = hedges::send(node, request, first, others).await;
        let (upstream, is_hedged) = (hedged.upstream, hedged.other.is_some());
        retry_state.tried_upstreams.extend(hedged.other);
        retry_state.attempts.sent += u32::from(is_hedged);
        let reason = match hedged.result {
            ServiceRun::Responded(buffered) => {
                let retries = buffered.head.status.is_server_error()
                    && retry_state.may_retry(request, AttemptFailure::ServerError);
                if !retries {
                    buffered.record_end(node, request, &upstream, admission);
                }
                if !retries || !node.try_retry(&request.service) {
                    return Some(buffered.into_response(node, request, &upstream));
                }
                "upstream_failed"
            }
            ServiceRun::Lost(reason) => {
                lost_runs::record_loss(node, request, &upstream, admission, reason).await;
                let is_allowed = retry_state.may_retry(request, AttemptFailure::Lost)
                    && node.try_retry(&request.service);
                if !is_allowed {
                    let failure = Failure::UpstreamLost;
                    return Some(fail_request(node, request, failure, None, &upstream.id));
                }
                reason
            }
            ServiceRun::OverLimit => {
                retry_state.may_have_run = may_have_run_before;
                retry_state.over_limit.push(upstream.id.clone());
                continue;
            }
            ServiceRun::Denied(refusal) => {
                return Some(access::refusal_response(node, request, refusal, may_have_run_before));
            }
            ServiceRun::OverQuota(refused) => {
                return Some(quotas::refuse(node, request, &refused));
            }
            ServiceRun::NotSent | ServiceRun::Withdrawn => {
                retry_state.may_have_run = may_have_run_before;
                if !retry_state.may_retry(request, AttemptFailure::NotSent) {
                    return Some(unsent_response(node, request, &upstream, may_have_run_before));
                }
                retry_state.attempts.unsent += 1;
                retry_state.tried_upstreams.push(upstream.id.clone());
                node.metrics.retries.count("not_sent");
                continue;
            }
            ServiceRun::NotRun(_) => {
                retry_state.may_have_run = may_have_run_before;
                let is_allowed = retry_state.may_retry(request, AttemptFailure::Refused)
                    && node.try_retry(&request.service);
                if !is_allowed {
                    return Some(busy_response(node, request, &upstream, may_have_run_before));
                }
                "not_run"
            }
        };
        retry_state.attempts.sent += 1;
        retry_state.tried_upstreams.push(upstream.id.clone());
        node.metrics.retries.count(reason);
    }
}

/// Ends a request that no instance can start in time.
fn refused_response(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &RetryState,
    retry_after: Duration,
) -> Response<BoxBody> {
    if retry_state.may_have_run {
        return fail_request(node, request, Failure::UpstreamLost, None, "");
    }
    fail_request(node, request, Failure::Busy, Some(retry_after), "")
}

/// Ends a request for which no instance is left.
fn no_upstream_response(node: &SharedNode, request: &CallerRequest) -> Response<BoxBody> {
    let (failure, retry_after) = match send_permits::shortest_pause(node, &request.service) {
        Some(pause) => (Failure::Busy, pause.max(BUSY_RETRY_AFTER)),
        None => (Failure::NoUpstream, NO_UPSTREAM_RETRY_AFTER),
    };
    fail_request(node, request, failure, Some(retry_after), "")
}

/// Ends a request that an instance has refused for want of room.
fn busy_response(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    may_have_run: bool,
) -> Response<BoxBody> {
    let failure = if may_have_run { Failure::UpstreamLost } else { Failure::Busy };
    let retry_after = (!may_have_run).then_some(BUSY_RETRY_AFTER);
    fail_request(node, request, failure, retry_after, &upstream.id)
}

/// Ends a request whose last attempts did not reach their instances.
fn unsent_response(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    may_have_run: bool,
) -> Response<BoxBody> {
    let failure = if may_have_run { Failure::UpstreamLost } else { Failure::NoUpstream };
    let retry_after = (!may_have_run).then_some(NO_UPSTREAM_RETRY_AFTER);
    fail_request(node, request, failure, retry_after, &upstream.id)
}

/// Returns whether the request, which has not run, goes through another host.
fn is_detour_due(node: &Node, request: &CallerRequest, retry_state: &RetryState) -> bool {
    !retry_state.is_detour_tried
        && !retry_state.may_have_run
        && detour::is_due(node, request, retry_state.attempts.unsent)
}

/// Passes a request on to another host. Returns `None` if no other host is live.
async fn send_through_other_host(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &mut RetryState,
) -> Option<Result<StartedResponse, Response<BoxBody>>> {
    retry_state.is_detour_tried = true;
    retry_state.current_upstream = None;
    retry_state.may_have_run = true;
    let answer = detour::answer(node, request).await;
    if answer.is_none() {
        retry_state.may_have_run = false;
    }
    answer
}

/// Returns the instances that may run the trial of a request, the preferred one first.
fn candidates(node: &SharedNode, request: &CallerRequest, tried: &[String]) -> Vec<UpstreamId> {
    let upstreams = node.upstreams.borrow();
    let ready = upstreams.ready(&request.service);
    let answering = ready.filter(|upstream| !node.upstream_ends.is_silent(upstream));
    let load = |id: &str| node.upstream_loads.estimate(id);
    trial_candidates(answering, tried, &node.outlier_detector.borrow(), load, node.now())
}

/// Instance that runs a request next.
enum Choice {
    /// This one, in a run of its dispatcher if the service has one.
    Send(Arc<Upstream>, Option<InstanceRun>),
    /// None can start it in time; it may come back after this time.
    Refused(Duration),
    /// None is usable.
    NoUpstream,
}

/// Chooses the instance that the dispatcher of the service names. Without one, this host chooses by
/// itself.
async fn choose_upstream(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &RetryState,
    admission: &Admission,
) -> Choice {
    let usable = usable_upstreams(node, request, retry_state, admission);
    let preferred = preferred_instances(
        &usable,
        &retry_state.tried_upstreams,
        &node.outlier_detector.borrow(),
        node.now(),
    );
    match dispatch_calls::acquire(node, request, &preferred, request.time_left()).await {
        Ok(Some((id, run))) => {
            let chosen = usable.into_iter().find(|upstream| upstream.id == id);
            chosen.map_or(Choice::NoUpstream, |upstream| Choice::Send(upstream, Some(run)))
        }
        Ok(None) => {
            let mut sendable = usable.clone();
            sendable.retain(|upstream| brittle_services::may_send_alone(node, upstream));
            if sendable.is_empty() && !usable.is_empty() {
                return Choice::Refused(BUSY_RETRY_AFTER);
            }
            choose_alone(node, &sendable, &retry_state.tried_upstreams)
        }
        Err(retry_after) => Choice::Refused(retry_after),
    }
}

/// Returns the ready instances that may run a request. One that names a limit and has no permit
/// left is not among them.
fn usable_upstreams(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &RetryState,
    admission: &Admission,
) -> Vec<Arc<Upstream>> {
    let upstreams = node.upstreams.borrow();
    let now = node.now();
    let mut ready = admission.filter(upstreams.ready(&request.service).collect());
    ready.retain(|upstream| {
        let is_paused = node.send_permits.pause(upstream, now).is_some();
        !is_paused && !retry_state.over_limit.contains(&upstream.id)
    });
    if !ready.iter().all(|upstream| node.upstream_ends.is_silent(upstream)) {
        ready.retain(|upstream| !node.upstream_ends.is_silent(upstream));
    }
    ready.into_iter().cloned().collect()
}

/// Returns the usable instances that are neither ejected nor tried.
fn untried_upstreams(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &RetryState,
    admission: &Admission,
) -> Vec<Arc<Upstream>> {
    let usable = usable_upstreams(node, request, retry_state, admission);
    let tried = &retry_state.tried_upstreams;
    untried_instances(usable, tried, &node.outlier_detector.borrow(), node.now())
}

/// Chooses the instance with the lowest cost by what this host has seen, preferring those that were
/// not tried yet.
fn choose_alone(node: &Node, usable: &[Arc<Upstream>], tried: &[String]) -> Choice {
    let outlier_detector = node.outlier_detector.borrow();
    let load = |id: &str| node.upstream_loads.estimate(id);
    let zone = &node.settings.zone;
    let chosen = choose_instance(usable.iter(), tried, zone, &outlier_detector, load, node.now());
    chosen.map_or(Choice::NoUpstream, |upstream| Choice::Send(Arc::clone(upstream), None))
}
