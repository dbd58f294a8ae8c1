//! One attempt: sends a request to one upstream and classifies the response head.

use crate::{
    access, attribution, brittle_services, drained_upstreams, engine_grants,
    events::Event,
    lost_runs,
    node::SharedNode,
    old_versions::SentVersion,
    quarantine::Admission,
    quotas::{self, RefusedCharge},
    request::CallerRequest,
    send_permits, upstream_ends,
};
use http::{Request, StatusCode, header::CONTENT_ENCODING};
use http_body_util::Full;
use rail_place::AdapterVersion;
use rail_route::{AttemptOutcome, ChosenBy, Upstream};
use rail_runtime::time_since_boot;
use rail_site::{
    UpstreamRequestHeaders, UpstreamResponseHeaders, headers::upstream_request_headers,
};
use rail_upstream::{Attribution, SendError, UpstreamResponse};
use rail_workspace::KeyRefusal;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest idle time of a connection that is reused for a request that can't be retried.
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_millis(1500);
/// Longest idle time of a connection that is reused for a request that can be retried.
const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(4);

/// Share of the version rollout timeout during which requests are still sent to the old version; in
/// the rest of it they begin.
const OLD_VERSION_SHARE: f64 = 0.85;

/// Reason of an attempt whose connection ended before a response.
const CONNECTION_LOST: &str = "connection_lost";

/// Result of an attempt, known from the response head.
#[derive(Debug)]
pub enum Attempt {
    /// The upstream ran the request; its response may still be an error.
    Responded(Box<UpstreamResponse>),
    /// The upstream reported with this status that it did not run the request.
    NotRun(StatusCode),
    /// The request did not reach the upstream.
    NotSent,
    /// Not sent, since the upstream left, is draining or restarted after it was chosen.
    Withdrawn,
    /// Not sent, since the granted version of the adapter is outdated.
    Outdated,
    /// Not sent, since the key of the request does not count any more.
    Denied(KeyRefusal),
    /// Not sent, since the upstream names a limit and no permit is left; contains the time after which
    /// there may be one.
    OverLimit(Duration),
    /// Not sent, since the quota of the workspace has no room.
    OverQuota(RefusedCharge),
    /// The connection broke or the response is not usable; the request may have run. Contains the
    /// reason.
    Lost(&'static str),
}

/// Permission of an attempt, and the headers that it adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions<'a> {
    /// Permission under which the request runs.
    pub admission: &'a Admission,
    /// Who chose the upstream.
    pub chosen_by: ChosenBy,
    /// Adapter version that must run the request; `None` if any may.
    pub version: Option<u64>,
    /// Id of the event after which a resumed stream continues.
    pub resume_after: Option<&'a str>,
}

/// Sends a request to an upstream, classifies the response head, and records the outcome in
/// metrics, the event log and the outlier detector.
pub async fn send(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    options: AttemptOptions<'_>,
) -> Attempt {
    if let Err(refused) = quotas::charge(node, request).await {
        return Attempt::OverQuota(refused);
    }
    if let Err(pause) = send_permits::acquire(node, request, upstream).await {
        return Attempt::OverLimit(pause);
    }
    if request.workspace.is_some() {
        access::wait_for_proof(node).await;
    }
    let started_at = Instant::now();
    request.record_attempt();
    let attempt = if let Err(refusal) = access::check_again(node, request) {
        Attempt::Denied(refusal)
    } else if node.accepts_requests(upstream) && request.may_run_on(upstream) {
        let _watch = lost_runs::watch_trial(node, request, upstream, options.admission);
        tokio::select! {
            attempt = exchange(node, request, upstream, options) => attempt,
            () = upstream_ends::wait_for_restart(node, upstream, started_at) => {
                Attempt::Lost("upstream_restarted")
            }
        }
    } else {
        Attempt::Withdrawn
    };
    let is_not_run = matches!(
        attempt,
        Attempt::NotRun(_)
            | Attempt::NotSent
            | Attempt::Withdrawn
            | Attempt::Outdated
            | Attempt::Denied(_)
    );
    if is_not_run {
        request.record_not_run();
    }
    if matches!(attempt, Attempt::NotRun(_)) {
        node.reach.borrow_mut().record_reached(node.now());
    }
    if matches!(attempt, Attempt::Responded(_)) {
        request.software.borrow_mut().clone_from(&upstream.software);
    }
    let (outcome, detector_outcome) = match &attempt {
        Attempt::Responded(response) if response.head.status.is_server_error() => {
            ("upstream_failed", Some(AttemptOutcome::Failed))
        }
        Attempt::Responded(_) => ("answered", Some(AttemptOutcome::Started)),
        Attempt::NotRun(_) => ("not_run", None),
        Attempt::Withdrawn => ("withdrawn", None),
        Attempt::Outdated => ("outdated_version", None),
        Attempt::Denied(_) => ("denied", None),
        Attempt::OverLimit(_) => ("over_limit", None),
        Attempt::OverQuota(_) => ("over_quota", None),
        Attempt::NotSent => ("not_sent", Some(AttemptOutcome::Unreachable)),
        Attempt::Lost(reason) => (*reason, Some(AttemptOutcome::Failed)),
    };
    node.metrics.attempts.count(outcome);
    node.metrics.attempt_time.observe(outcome, started_at.elapsed());
    if let Some(detector_outcome) = detector_outcome {
        record_outcome(node, request, upstream, detector_outcome, outcome);
    }
    if outcome != "answered" {
        node.events.important(&Event::Attempt {
            request: &request.parsed_headers.request_id,
            fingerprint: request.fingerprint,
            upstream: &upstream.id,
            attempt: request.attempts.get(),
            adapter: request.model(),
            waited_ms: started_at.duration_since(request.arrived_at).as_millis() as u64,
            took_ms: started_at.elapsed().as_millis() as u64,
            status: upstream_status(&attempt),
            outcome,
            chosen_by: options.chosen_by.name(),
            own_requests: node.upstream_loads.in_flight(&upstream.id),
            record_ages: request.record_ages.get(),
        });
    }
    attempt
}

/// Returns the status of the response, or 0 if there is none.
fn upstream_status(attempt: &Attempt) -> u16 {
    match attempt {
        Attempt::Responded(response) => response.head.status.as_u16(),
        Attempt::NotRun(status) => status.as_u16(),
        Attempt::NotSent
        | Attempt::Withdrawn
        | Attempt::Outdated
        | Attempt::OverQuota(_)
        | Attempt::Denied(_)
        | Attempt::OverLimit(_)
        | Attempt::Lost(_) => 0,
    }
}

/// Records the outcome of an attempt in the outlier detector and logs an ejection that follows.
pub fn record_outcome(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    outcome: AttemptOutcome,
    reason: &str,
) {
    let now = node.now();
    match outcome {
        AttemptOutcome::Started | AttemptOutcome::Answered => {
            node.reach.borrow_mut().record_reached(node.now());
        }
        AttemptOutcome::Unreachable => {
            node.reach.borrow_mut().record_unreached(&upstream.id, now);
        }
        AttemptOutcome::Failed => {
            if reason == CONNECTION_LOST {
                node.reach.borrow_mut().record_unreached(&upstream.id, now);
            }
        }
    }
    if node.outlier_detector.borrow_mut().record(&upstream.id, outcome, now) {
        node.metrics.ejections.count(reason);
        node.events.important(&Event::Ejected {
            upstream: &upstream.id,
            reason,
            request: &request.parsed_headers.request_id,
        });
    }
}

/// Records in the outlier detector that a response arrived to its end. The head of a server error
/// has counted as a failure already.
pub fn record_answer(node: &SharedNode, upstream: &Upstream, status: StatusCode) {
    if !status.is_server_error() {
        let now = node.now();
        node.outlier_detector.borrow_mut().record(&upstream.id, AttemptOutcome::Answered, now);
    }
}

/// Sends the request and checks that the response belongs to it and, if successful, is signed and
/// not compressed.
async fn exchange(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    options: AttemptOptions<'_>,
) -> Attempt {
    let Some(version) = version_to_send(node, request, upstream, options.version) else {
        return Attempt::Outdated;
    };
    request.sent_version.set(Some(version));
    let added_headers = UpstreamRequestHeaders {
        time_left: request.time_left(),
        upstream_id: &upstream.id,
        version: version.only(),
        priority: Some(request.priority().min(9)),
        resume_after: options.resume_after,
        workspace: request.workspace_header(),
    };
    let headers = request.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()));
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = upstream_request_headers(headers, &added_headers);
    let is_retryable = request.route.kind.is_retryable();
    let max_idle = if is_retryable { MAX_IDLE_RETRYABLE } else { MAX_IDLE_NON_RETRYABLE };
    let id = &request.parsed_headers.request_id;
    let sent = node.links.send_identified(upstream.address, outgoing, id, max_idle).await;
    let mut response = match sent {
        Ok(response) => response,
        Err(SendError::NotSent) => return Attempt::NotSent,
        Err(SendError::Lost) => return Attempt::Lost(CONNECTION_LOST),
    };
    let response_headers = UpstreamResponseHeaders::read(&response.head);
    match attribution::attribute(&mut response, &response_headers) {
        Attribution::Own => {}
        Attribution::Other => return Attempt::Lost("other_answer"),
        Attribution::Unproven => return Attempt::Lost("unnamed_refusal"),
    }
    if let Some(load) = response_headers.load {
        node.upstream_loads.record_report(&upstream.id, load);
    }
    record_statements(node, upstream, &response_headers, response.head.status);
    if response_headers.is_not_run {
        let status = response.head.status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            node.metrics.upstream_refusals.count(options.chosen_by.name());
            let refusal = response_headers.refusal;
            send_permits::record_refusal(node, upstream, refusal, options.chosen_by);
        }
        discard_refusal_body(response);
        return Attempt::NotRun(status);
    }
    let is_success = response.head.status.is_success();
    let is_encoded = response.head.headers.contains_key(CONTENT_ENCODING);
    if is_success && (!response_headers.is_signed || is_encoded) {
        return Attempt::Lost("unsigned_answer");
    }
    Attempt::Responded(Box::new(response))
}

/// Records what a response says of its upstream, unless it may come from another one than was asked.
fn record_statements(
    node: &SharedNode,
    upstream: &Upstream,
    headers: &UpstreamResponseHeaders,
    status: StatusCode,
) {
    let is_own = headers.is_signed || headers.request_id.is_some();
    if is_own && status != StatusCode::MISDIRECTED_REQUEST {
        send_permits::record_answer(node, upstream, headers.limit);
        let max_refusals_per_s = headers.refusal.max_refusals_per_s;
        brittle_services::record_answer(node, &upstream.service, max_refusals_per_s);
        if headers.is_leaving {
            drained_upstreams::record_leaving(node, upstream);
        }
    }
}

/// Returns the adapter version that the upstream must have to run the request: the granted one, or
/// the newest if none was granted and the one that the upstream registered, or any that it may have,
/// is outdated. `None` if the granted one is outdated, as its engine would refuse the newest.
fn version_to_send(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    granted: Option<AdapterVersion>,
) -> Option<SentVersion> {
    let versions = node.versions.borrow();
    let old_version_grace = node.bounds().version_rollout_timeout.mul_f64(OLD_VERSION_SHARE);
    let used = granted.or_else(|| engine_grants::registered_version(upstream, request.model()));
    let outdated_at = versions.outdated_at(request.model(), used, old_version_grace);
    let is_outdated = outdated_at.is_some_and(|outdated_at| time_since_boot() >= outdated_at);
    match granted {
        Some(version) => (!is_outdated).then_some(SentVersion::Only(version)),
        None if is_outdated => versions.newest(request.model()).map(SentVersion::Only),
        None => Some(SentVersion::Any),
    }
}

/// Reads the body of a refusal in its own task, so that the connection can be reused without
/// delaying the request.
fn discard_refusal_body(mut response: UpstreamResponse) {
    const MAX_REFUSAL_BYTES: usize = 4096;
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
    actix_rt::spawn(async move {
        let read = tokio::time::timeout(REFUSAL_TIMEOUT, response.read(MAX_REFUSAL_BYTES)).await;
        if matches!(read, Ok(Ok(_))) {
            response.return_connection();
        }
    });
}
