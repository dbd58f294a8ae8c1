//! Requests to plain services.

use crate::{
    attempt::{self, Attempt, AttemptTerms},
    front::{CallerRequest, InFlight, RequestEnd, give_up, record_end},
    node::SharedNode,
    reply::{self, Failure},
};
use actix_http::{Response, body::BoxBody};
use bytes::Bytes;
use rail_route::{AttemptOutcome, Upstream, choose_instance};
use rail_upstream::Answer;
use std::{sync::Arc, time::Duration};

/// Largest answer that is held until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// When a caller should come back if no upstream could be reached.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(250);
/// When a caller should come back if every upstream was full.
const FULL_RETRY: Duration = Duration::from_millis(120);
/// Sends that end before the upstream has seen the request.
const MAX_UNSENT: u32 = 4;
/// Time below which another attempt is not worth starting.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Sends a request to instances of its service until one answers.
pub async fn serve(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
) -> Response<BoxBody> {
    let _in_flight = in_flight;
    let mut state = Tries::default();
    let deadline = tokio::time::Instant::from_std(request.deadline_at);
    let result = tokio::time::timeout_at(deadline, run(&node, &request, &mut state)).await;
    if let Ok(response) = result {
        return response;
    }
    let failure = if state.may_have_run { Failure::LateSent } else { Failure::LateUnsent };
    let again = (!state.may_have_run).then_some(FULL_RETRY);
    if let Some(upstream) = &state.current {
        attempt::judge(&node, &request, upstream, AttemptOutcome::Unreachable, "silent");
    }
    let upstream = state.current.as_ref().map_or("", |upstream| upstream.id.as_str());
    give_up(&node, &request, failure, again, upstream)
}

#[derive(Debug, Default)]
struct Tries {
    tried: Vec<String>,
    current: Option<Arc<Upstream>>,
    sent: u32,
    unsent: u32,
    may_have_run: bool,
}

async fn run(node: &SharedNode, request: &CallerRequest, state: &mut Tries) -> Response<BoxBody> {
    loop {
        let Some(upstream) = choose(node, request, &state.tried) else {
            return give_up(node, request, Failure::NoUpstream, Some(NO_UPSTREAM_RETRY), "");
        };
        let _load = node.loads.start(&upstream.id);
        state.current = Some(Arc::clone(&upstream));
        let before = state.may_have_run;
        state.may_have_run = true;
        let attempt = attempt::send(node, request, &upstream, AttemptTerms::default()).await;
        let reason = match attempt {
            Attempt::Head(answer) => match read_whole(node, request, &upstream, *answer).await {
                Ok(whole) if !should_repeat(request, state, &whole) => {
                    return whole.into_response(node, request, &upstream);
                }
                Ok(whole) => {
                    if !node.try_repeat(&request.service) {
                        return whole.into_response(node, request, &upstream);
                    }
                    "upstream_failed"
                }
                Err(reason) => {
                    if !may_repeat_lost(node, request, state) {
                        return give_up(node, request, Failure::UpstreamLost, None, &upstream.id);
                    }
                    reason
                }
            },
            Attempt::Lost(reason) => {
                if !may_repeat_lost(node, request, state) {
                    return give_up(node, request, Failure::UpstreamLost, None, &upstream.id);
                }
                reason
            }
            Attempt::NotSent | Attempt::Withdrawn => {
                state.may_have_run = before;
                state.unsent += 1;
                if state.unsent >= MAX_UNSENT {
                    let failure = if before { Failure::UpstreamLost } else { Failure::NoUpstream };
                    let again = (!before).then_some(NO_UPSTREAM_RETRY);
                    return give_up(node, request, failure, again, &upstream.id);
                }
                state.tried.push(upstream.id.clone());
                node.metrics.retries.count("not_sent");
                continue;
            }
            Attempt::NotRun(_status) => {
                state.may_have_run = before;
                let is_allowed = state.sent + 1 < request.route.max_attempts.max(2)
                    && request.time_left() > MIN_TIME_LEFT
                    && node.try_repeat(&request.service);
                if !is_allowed {
                    let failure = if before { Failure::UpstreamLost } else { Failure::Busy };
                    let again = (!before).then_some(FULL_RETRY);
                    return give_up(node, request, failure, again, &upstream.id);
                }
                "not_run"
            }
        };
        state.sent += 1;
        state.tried.push(upstream.id.clone());
        node.metrics.retries.count(reason);
    }
}

/// Reports whether an upstream's own failure is worth another attempt.
fn should_repeat(request: &CallerRequest, state: &Tries, whole: &Whole) -> bool {
    whole.head.status.is_server_error()
        && request.route.kind.is_retryable()
        && state.sent + 1 < request.route.max_attempts
        && request.time_left() > MIN_TIME_LEFT
}

fn may_repeat_lost(node: &SharedNode, request: &CallerRequest, state: &Tries) -> bool {
    request.route.kind.is_retryable()
        && state.sent + 1 < request.route.max_attempts
        && request.time_left() > MIN_TIME_LEFT
        && node.try_repeat(&request.service)
}

fn choose(node: &SharedNode, request: &CallerRequest, tried: &[String]) -> Option<Arc<Upstream>> {
    let upstreams = node.upstreams.borrow();
    let ready = upstreams.ready(&request.service);
    let trust = node.trust.borrow();
    let load = |id: &str| node.loads.estimate(id);
    let zone = &node.settings.zone;
    choose_instance(ready, tried, zone, &trust, load, node.now()).cloned()
}

/// An upstream's answer as a whole.
struct Whole {
    head: http::response::Parts,
    body: Bytes,
}

impl Whole {
    fn into_response(
        self,
        node: &SharedNode,
        request: &CallerRequest,
        upstream: &Upstream,
    ) -> Response<BoxBody> {
        let status = self.head.status;
        let reason = if status.is_success() { "answered" } else { "upstream_status" };
        let first_ms = request.arrived_at.elapsed().as_millis() as u64;
        let end = RequestEnd { status: status.as_u16(), reason, upstream: &upstream.id, first_ms };
        record_end(node, request, end);
        let mut response = reply::start(&self.head, node.is_stopping.get());
        response.body(BoxBody::new(self.body)).map_into_boxed_body()
    }
}

async fn read_whole(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    mut answer: Answer,
) -> Result<Whole, &'static str> {
    match answer.read(MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let head = answer.head.clone();
            answer.keep();
            Ok(Whole { head, body })
        }
        Err(_broken) => {
            attempt::judge(node, request, upstream, AttemptOutcome::Failed, "broken_off");
            Err("broken_off")
        }
    }
}
