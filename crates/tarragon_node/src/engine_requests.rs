//! Requests to engines: obtains a grant from an engine's owner, then sends the request.

use crate::{
    access,
    attempt::{self, Attempt, AttemptOptions},
    detour,
    engine_grants::{self, Grant, NoGrant},
    lost_runs,
    node::SharedNode,
    quarantine::{self, Admission, KeyTrial},
    quotas, relay,
    reply::Failure,
    request::{CallerRequest, InFlight, fail_request, quarantine_response},
    send_permits,
    stream_origins::{self, NoOrigin},
};
use actix_http::{Response, body::BoxBody};
use http::StatusCode;
use rail_place::GrantOutcome;
use rail_route::{AttemptOutcome, Upstream};
use rail_upstream::UpstreamResponse;
use std::{sync::Arc, time::Duration};

/// Most attempts for one request, including those that the engine refused to run.
const MAX_ATTEMPTS: u32 = 6;
/// Consecutive refusals by one engine after which it is excluded for the request.
const MAX_REFUSALS_PER_ENGINE: u32 = 2;
/// `retry-after` for callers when no owner could be reached.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Lower bound of `retry-after` when every engine is busy.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Obtains a grant for a request, sends it and relays the response.
pub async fn serve(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
) -> Response<BoxBody> {
    let mut retry_state = RetryState::default();
    if request.parsed_headers.is_detour && node.is_cut_off() {
        return detour::refuse(&node, &request);
    }
    let result = request.within_time(dispatch(&node, &request, &mut retry_state)).await;
    let started_response = match result {
        Some(Ok(started_response)) => started_response,
        Some(Err(response)) => return response,
        None => {
            // Before a send a request may wait for its quota, its key or a permit.
            let is_sent = retry_state.is_sent && request.possible_runs() > 0;
            let may_have_run = is_sent
                || request.possible_runs() > 0
                || (retry_state.is_sent && retry_state.is_detour_tried);
            let failure = if may_have_run { Failure::LateSent } else { Failure::LateUnsent };
            let retry_after = (!may_have_run).then_some(MIN_RETRY_AFTER);
            if let (true, Some(upstream)) = (is_sent, &retry_state.current_upstream) {
                attempt::record_outcome(
                    &node,
                    &request,
                    upstream,
                    AttemptOutcome::Unreachable,
                    "silent",
                );
                let trial = retry_state.current_trial;
                lost_runs::record_unproven_end(&node, &request, upstream, trial, "silent");
            }
            let upstream =
                retry_state.current_upstream.as_ref().map_or("", |upstream| upstream.id.as_str());
            return fail_request(&node, &request, failure, retry_after, upstream);
        }
    };
    relay::respond(node, request, in_flight, started_response)
}

/// Continues a broken stream on another engine after the event `resume_after`.
///
/// Returns `None` when no engine can continue it. Only an engine with the software version and the
/// adapter version that began the stream may do so, since others would generate a different text.
pub async fn resume(
    node: &SharedNode,
    request: &CallerRequest,
    failed_engine: &str,
    version: Option<u64>,
    resume_after: Option<&str>,
) -> Option<StartedResponse> {
    let mut retry_state =
        RetryState { excluded: vec![failed_engine.to_owned()], ..RetryState::default() };
    let may_send = || {
        request.possible_runs() < request.route.max_attempts
            && request.attempts.get() < MAX_ATTEMPTS
            && node.try_retry(&request.service)
    };
    while may_send() {
        let candidates = || engine_grants::candidates(node, request, &retry_state.excluded);
        let admission = quarantine::admit(node, request, candidates).await.ok()?;
        let excluded = &retry_state.excluded;
        let acquired = engine_grants::acquire_grant(node, request, excluded, &admission).await;
        let (upstream, grant, granted_version) = acquired.ok()?;
        if granted_version != version {
            return None;
        }
        let chosen_by = grant.chosen_by();
        let options = AttemptOptions { admission: &admission, chosen_by, version, resume_after };
        match attempt::send(node, request, &upstream, options).await {
            Attempt::Responded(upstream_response) if resumes(request, &upstream_response) => {
                record_served_adapter(node, request, &upstream, upstream_response.head.status);
                return Some(StartedResponse {
                    upstream,
                    grant,
                    admission,
                    version,
                    upstream_response,
                    is_detour: false,
                });
            }
            Attempt::Responded(_failure) => return None,
            Attempt::Denied(_refusal) => return None,
            Attempt::NotRun(status) => {
                retry_state.record_refusal(node, request, &upstream, grant, status);
            }
            Attempt::Lost(reason) => {
                lost_runs::record_loss(node, request, &upstream, admission, reason).await;
                retry_state.excluded.push(upstream.id.clone());
            }
            Attempt::NotSent
            | Attempt::Withdrawn
            | Attempt::Outdated
            | Attempt::OverLimit(_)
            | Attempt::OverQuota(_) => {
                retry_state.excluded.push(upstream.id.clone());
            }
        }
    }
    None
}

/// Returns whether a response continues a stream. Anything but events would stand in its middle.
fn resumes(request: &CallerRequest, response: &UpstreamResponse) -> bool {
    response.head.status.is_success() && relay::is_event_stream(request, response)
}

/// Progress of one request over its attempts.
#[derive(Debug, Default)]
struct RetryState {
    excluded: Vec<String>,
    current_upstream: Option<Arc<Upstream>>,
    /// Trial as which the request runs there.
    current_trial: Option<KeyTrial>,
    is_sent: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Attempts that did not reach their engine.
    unsent_attempts: u32,
    /// Whether other hosts were asked to serve the request.
    is_detour_tried: bool,
    /// Consecutive refusals by the engine in `last_refused_by`.
    consecutive_refusals: u32,
    last_refused_by: String,
}

impl RetryState {
    /// Records that an engine refused a request with this status, and releases the grant. A single
    /// refusal does not exclude the engine, since the owner may have granted the request just before
    /// the adapter was ready.
    fn record_refusal(
        &mut self,
        node: &SharedNode,
        request: &CallerRequest,
        upstream: &Upstream,
        grant: Grant,
        status: StatusCode,
    ) {
        let is_absent = status == StatusCode::MISDIRECTED_REQUEST;
        if is_absent {
            node.observed_adapters.borrow_mut().remove(&upstream.id, request.model());
        }
        if self.last_refused_by != upstream.id {
            self.last_refused_by.clone_from(&upstream.id);
            self.consecutive_refusals = 0;
        }
        self.consecutive_refusals += 1;
        let is_assumed = matches!(grant, Grant::Assumed { .. });
        if is_assumed {
            node.observed_adapters.borrow_mut().pause(&upstream.id, node.now());
        }
        if is_assumed || self.consecutive_refusals >= MAX_REFUSALS_PER_ENGINE {
            self.excluded.push(upstream.id.clone());
        }
        let outcome = if is_absent { GrantOutcome::Absent } else { GrantOutcome::NotReady };
        grant.release(outcome, None);
    }
}

/// Response of an engine whose head has arrived.
pub struct StartedResponse {
    /// Engine that responds.
    pub upstream: Arc<Upstream>,
    /// Grant under which the request runs; must be kept until the response ends.
    pub grant: Grant,
    /// Permission to run, which ends with the response.
    pub admission: Admission,
    /// Adapter version that the owner granted; `None` if no version was announced.
    pub version: Option<u64>,
    /// Response head, with the body still to be read.
    pub upstream_response: Box<UpstreamResponse>,
    /// Whether another host served the request.
    pub is_detour: bool,
}

/// Obtains a grant and sends the request, until an engine responds or the retries are exhausted.
async fn dispatch(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &mut RetryState,
) -> Result<StartedResponse, Response<BoxBody>> {
    if let Err(reason) = stream_origins::pin_resumed(node, request).await {
        return Err(no_origin_response(node, request, reason));
    }
    for _ in 0..MAX_ATTEMPTS {
        let is_detour_due = !retry_state.may_have_run
            && !retry_state.is_detour_tried
            && detour::is_due(node, request, retry_state.unsent_attempts);
        if is_detour_due
            && let Some(result) = send_through_other_host(node, request, retry_state).await
        {
            return result;
        }
        let candidates = || engine_grants::candidates(node, request, &retry_state.excluded);
        let admission = match quarantine::admit(node, request, candidates).await {
            Ok(admission) => admission,
            Err(refusal) => {
                let may_have_run = retry_state.may_have_run;
                return Err(quarantine_response(node, request, refusal, may_have_run));
            }
        };
        let (upstream, grant, version) =
            match engine_grants::acquire_grant(node, request, &retry_state.excluded, &admission)
                .await
            {
                Ok(acquired) => acquired,
                Err(reason) => return Err(no_grant_response(node, request, reason)),
            };
        retry_state.current_upstream = Some(Arc::clone(&upstream));
        retry_state.current_trial = admission.trial_run();
        retry_state.is_sent = true;
        let resume_after = request.parsed_headers.last_event_id.as_deref();
        let chosen_by = grant.chosen_by();
        let options = AttemptOptions { admission: &admission, chosen_by, version, resume_after };
        let reason = match attempt::send(node, request, &upstream, options).await {
            Attempt::Responded(upstream_response) => {
                record_served_adapter(node, request, &upstream, upstream_response.head.status);
                return Ok(StartedResponse {
                    upstream,
                    grant,
                    admission,
                    version,
                    upstream_response,
                    is_detour: false,
                });
            }
            Attempt::Denied(refusal) => {
                let may_have_run = retry_state.may_have_run;
                return Err(access::refusal_response(node, request, refusal, may_have_run));
            }
            Attempt::OverQuota(refused) => return Err(quotas::refuse(node, request, &refused)),
            Attempt::NotSent | Attempt::Withdrawn => {
                retry_state.excluded.push(upstream.id.clone());
                retry_state.unsent_attempts += 1;
                "not_sent"
            }
            Attempt::Outdated => {
                retry_state.excluded.push(upstream.id.clone());
                "outdated_version"
            }
            Attempt::OverLimit(_pause) => {
                retry_state.excluded.push(upstream.id.clone());
                "over_limit"
            }
            Attempt::NotRun(status) => {
                retry_state.record_refusal(node, request, &upstream, grant, status);
                if !node.try_retry(&request.service) {
                    let response = fail_request(
                        node,
                        request,
                        Failure::Busy,
                        Some(MIN_RETRY_AFTER),
                        &upstream.id,
                    );
                    return Err(response);
                }
                "not_run"
            }
            Attempt::Lost(reason) => {
                retry_state.may_have_run = true;
                lost_runs::record_loss(node, request, &upstream, admission, reason).await;
                let is_allowed = request.route.kind.is_retryable()
                    && request.attempts.get() < request.route.max_attempts
                    && node.try_retry(&request.service);
                if !is_allowed {
                    let response =
                        fail_request(node, request, Failure::UpstreamLost, None, &upstream.id);
                    return Err(response);
                }
                retry_state.excluded.push(upstream.id.clone());
                reason
            }
        };
        retry_state.is_sent = false;
        node.metrics.retries.count(reason);
    }
    Err(fail_request(node, request, Failure::Busy, Some(MIN_RETRY_AFTER), ""))
}

/// Passes a request on to another host. Returns `None` if no other host is live.
async fn send_through_other_host(
    node: &SharedNode,
    request: &CallerRequest,
    retry_state: &mut RetryState,
) -> Option<Result<StartedResponse, Response<BoxBody>>> {
    retry_state.is_detour_tried = true;
    retry_state.current_upstream = None;
    retry_state.is_sent = true;
    let answer = detour::answer(node, request).await;
    if answer.is_none() {
        retry_state.is_sent = false;
    }
    answer
}

fn no_origin_response(
    node: &SharedNode,
    request: &CallerRequest,
    reason: NoOrigin,
) -> Response<BoxBody> {
    let (failure, retry_after) = match reason {
        NoOrigin::Unknown(retry_after) => (Failure::OriginUnknown, retry_after),
        // The version doesn't return while the caller waits.
        NoOrigin::VersionGone => (Failure::VersionGone, request.time_left()),
    };
    fail_request(node, request, failure, Some(retry_after), "")
}

fn no_grant_response(
    node: &SharedNode,
    request: &CallerRequest,
    reason: NoGrant,
) -> Response<BoxBody> {
    match reason {
        NoGrant::Refused(retry_after) => {
            fail_request(node, request, Failure::Busy, Some(retry_after.max(MIN_RETRY_AFTER)), "")
        }
        NoGrant::NoOwner => {
            fail_request(node, request, Failure::Busy, Some(NO_OWNER_RETRY_AFTER), "")
        }
        NoGrant::NoEngine => {
            let (failure, retry_after) = match send_permits::shortest_pause(node, &request.service)
            {
                Some(pause) => (Failure::Busy, pause.max(MIN_RETRY_AFTER)),
                None => (Failure::NoUpstream, NO_OWNER_RETRY_AFTER),
            };
            fail_request(node, request, failure, Some(retry_after), "")
        }
    }
}

/// Records that an engine served an adapter successfully.
fn record_served_adapter(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    status: StatusCode,
) {
    if status.is_success() {
        node.observed_adapters.borrow_mut().record(&upstream.id, request.model(), node.now());
    }
}
