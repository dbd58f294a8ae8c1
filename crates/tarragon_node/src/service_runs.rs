//! One run of a request on an instance of a plain service, with its whole response.

use crate::{
    attempt::{self, Attempt, AttemptOptions},
    dispatch_calls::InstanceRun,
    lost_runs,
    node::SharedNode,
    quarantine::{self, Admission},
    quotas::RefusedCharge,
    reply::{self, HeldBody},
    request::{CallerRequest, RequestEnd, record_request_end},
    upstream_ends,
};
use actix_http::{Response, body::BoxBody};
use http::StatusCode;
use rail_dispatch::RunOutcome;
use rail_memory::Holder;
use rail_route::{AttemptOutcome, Upstream};
use rail_upstream::{BodyContent, Completeness, UpstreamResponse, pool::IncompleteBody};
use rail_workspace::KeyRefusal;
use std::sync::Arc;

/// Largest response in bytes. Responses are buffered completely, so that a request can be retried
/// if its response breaks off.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Result of a run.
pub enum ServiceRun {
    /// The instance ran the request; its response may still be an error.
    Responded(BufferedResponse),
    /// The connection or the response broke off; the request may have run. Contains the reason.
    Lost(&'static str),
    /// The instance reported with this status that it did not run the request.
    NotRun(StatusCode),
    /// The request did not reach the instance.
    NotSent,
    /// Not sent, since the instance has left.
    Withdrawn,
    /// Not sent, since the instance names a limit and no permit is left.
    OverLimit,
    /// Not sent, since the caller's key allows it no more.
    Denied(KeyRefusal),
    /// Not sent, since the quota of the workspace has no room.
    OverQuota(RefusedCharge),
}

impl ServiceRun {
    /// Returns whether the result goes to the caller whatever another attempt does: a whole
    /// response that is no server error.
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::Responded(response) if !response.head.status.is_server_error())
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Responded(_) | Self::Lost(_))
    }

    /// Returns the outcome for the dispatcher of the service.
    fn outcome(&self) -> RunOutcome {
        match self {
            Self::Responded(response) if !response.head.status.is_server_error() => {
                RunOutcome::Answered
            }
            Self::Responded(_) | Self::Lost(_) | Self::NotSent => RunOutcome::Failed,
            Self::NotRun(StatusCode::SERVICE_UNAVAILABLE) => RunOutcome::Refused,
            Self::NotRun(_)
            | Self::Withdrawn
            | Self::OverLimit
            | Self::Denied(_)
            | Self::OverQuota(_) => RunOutcome::Unknown,
        }
    }
}

/// Sends a request to an instance and reads the whole response. Ends the run at its dispatcher, if
/// that has started it.
pub async fn send(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    run: Option<InstanceRun>,
    options: AttemptOptions<'_>,
) -> ServiceRun {
    let result = match attempt::send(node, request, upstream, options).await {
        Attempt::Responded(response) => {
            match buffer_response(node, request, upstream, *response).await {
                Ok(response) => ServiceRun::Responded(response),
                Err(reason) => ServiceRun::Lost(reason),
            }
        }
        Attempt::Lost(reason) => ServiceRun::Lost(reason),
        Attempt::NotRun(status) => ServiceRun::NotRun(status),
        Attempt::NotSent => ServiceRun::NotSent,
        Attempt::Withdrawn | Attempt::Outdated => ServiceRun::Withdrawn,
        Attempt::OverLimit(_pause) => ServiceRun::OverLimit,
        Attempt::Denied(refusal) => ServiceRun::Denied(refusal),
        Attempt::OverQuota(refused) => ServiceRun::OverQuota(refused),
    };
    if let Some(run) = run {
        run.release(node, request, &upstream.id, result.outcome());
    }
    result
}

/// Response of an upstream, read completely.
pub struct BufferedResponse {
    pub head: http::response::Parts,
    body: HeldBody,
    /// Never [`Completeness::BrokenOff`].
    completeness: Completeness,
}

impl BufferedResponse {
    /// Returns whether the response proves that the upstream ran the request to its end.
    fn is_proof_of_completion(&self) -> bool {
        self.head.status.is_success() && self.completeness == Completeness::Whole
    }

    /// Records for the quarantine how the run ended.
    pub fn record_end(
        &self,
        node: &SharedNode,
        request: &CallerRequest,
        upstream: &Arc<Upstream>,
        admission: Admission,
    ) {
        if self.is_proof_of_completion() {
            quarantine::record_completion(node, request, admission);
        } else if self.completeness == Completeness::Unproven {
            let trial = admission.trial_run();
            lost_runs::record_unproven_end(node, request, upstream, trial, "unproven_end");
        }
    }

    /// Builds the response for the caller, and logs the end of the request.
    pub fn into_response(
        self,
        node: &SharedNode,
        request: &CallerRequest,
        upstream: &Upstream,
    ) -> Response<BoxBody> {
        let status = self.head.status;
        let reason = if status.is_success() { "answered" } else { "upstream_status" };
        let first_ms = request.arrived_at.elapsed().as_millis() as u64;
        let end = RequestEnd::unstreamed(status.as_u16(), reason, &upstream.id, first_ms);
        record_request_end(node, request, end);
        let mut response = reply::start_response(&self.head, node.is_stopping.get());
        match self.completeness {
            Completeness::Whole => response.body(BoxBody::new(self.body)).map_into_boxed_body(),
            Completeness::Unproven | Completeness::BrokenOff => {
                let end = &request.connection_end;
                let body = reply::body_without_length(self.body, end.clone());
                reply::end_with_connection(&mut response, end, body)
            }
        }
    }
}

/// Reads the response to its end, and records a failed attempt if it breaks off.
async fn buffer_response(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    mut response: UpstreamResponse,
) -> Result<BufferedResponse, &'static str> {
    let sent_at = request.sent_at.get();
    let mut memory = node.memory.start(Holder::Answer);
    let body = tokio::select! {
        biased;
        body = response.read_within(MAX_RESPONSE_BYTES, &mut memory) => body,
        () = upstream_ends::wait_for_restart(node, upstream, sent_at) => Err(IncompleteBody),
    };
    match (body, request.judge_body(&response, BodyContent::Opaque)) {
        (Ok(body), completeness @ (Completeness::Whole | Completeness::Unproven)) => {
            let head = response.head.clone();
            attempt::record_answer(node, upstream, head.status);
            response.return_connection();
            Ok(BufferedResponse { head, body: HeldBody::new(body, memory), completeness })
        }
        (Err(_), _) | (_, Completeness::BrokenOff) => {
            attempt::record_outcome(node, request, upstream, AttemptOutcome::Failed, "broken_off");
            Err("broken_off")
        }
    }
}
