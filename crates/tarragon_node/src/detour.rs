//! Requests that go through another host, while this host reaches no upstream.
//!
//! The other host serves the request as if the caller had sent it there, and never passes it on to
//! a third one. A request is passed on only if it certainly has not run, and at most once to a host
//! that may have begun to run it.

use crate::{
    attribution,
    engine_grants::Grant,
    engine_requests::StartedResponse,
    node::{Node, SharedNode},
    quarantine::Admission,
    quotas,
    reply::Failure,
    request::{CallerRequest, fail_request},
};
use actix_http::{Response, body::BoxBody};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rail_route::{Upstream, UpstreamState, is_detour_due};
use rail_site::{
    UpstreamResponseHeaders,
    headers::{detour_request_headers, is_cut_off_answer},
};
use rail_upstream::{Attribution, SendError, UpstreamResponse};
use rand::seq::{IteratorRandom, SliceRandom};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Longest idle time of a connection to another host that is used again.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// `retry-after` for callers while no host reaches an upstream.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Interval at which a host that reaches no upstream tries again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Upstreams that are tried at once.
const PROBED_UPSTREAMS: usize = 3;
/// Timeout of a connection that shows whether an upstream is reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How a request that was passed to other hosts ended.
enum Detour {
    /// A host answered.
    Answered(Box<StartedResponse>),
    /// A host received the request and did not answer; it may have run.
    Lost,
    /// No other host is known to be live.
    NoHost,
    /// The other hosts reach no upstream either, so the request has not run.
    AllCutOff,
}

/// Returns whether a request, which has not run, goes through another host: this host reaches no
/// upstream, or this many attempts of the request did not reach theirs. A request of another host
/// goes no further.
pub fn is_due(node: &Node, request: &CallerRequest, unsent_attempts: u32) -> bool {
    !request.parsed_headers.is_detour && is_detour_due(node.is_cut_off(), unsent_attempts)
}

/// Answers a request through another host, or refuses it if the others reach no upstream either.
/// Returns `None` if no other host is live.
pub async fn answer(
    node: &SharedNode,
    request: &CallerRequest,
) -> Option<Result<StartedResponse, Response<BoxBody>>> {
    if let Err(refused) = quotas::charge(node, request).await {
        return Some(Err(quotas::refuse(node, request, &refused)));
    }
    match send(node, request).await {
        Detour::Answered(response) => Some(Ok(*response)),
        Detour::Lost => Some(Err(fail_request(node, request, Failure::UpstreamLost, None, ""))),
        Detour::AllCutOff => Some(Err(refuse(node, request))),
        Detour::NoHost => None,
    }
}

/// Refuses a request, as neither this host nor another one reaches an upstream.
pub fn refuse(node: &SharedNode, request: &CallerRequest) -> Response<BoxBody> {
    fail_request(node, request, Failure::CutOff, Some(CUT_OFF_RETRY_AFTER), "")
}

/// Passes a request on to another host.
async fn send(node: &SharedNode, request: &CallerRequest) -> Detour {
    let hosts = hosts(node);
    if hosts.is_empty() {
        return Detour::NoHost;
    }
    for (host, address) in hosts {
        if node.cut_off_hosts.borrow().is_paused(address, node.now()) {
            continue;
        }
        request.record_attempt();
        let id = &request.parsed_headers.request_id;
        let mut sent = node.links.send_identified(address, outgoing(request), id, MAX_IDLE).await;
        let is_usable = sent.as_mut().is_ok_and(is_usable);
        let outcome = match sent {
            Ok(response) if is_cut_off_answer(&response.head) => "host_cut_off",
            Ok(response) if is_usable => {
                node.metrics.detours.count("answered");
                return Detour::Answered(Box::new(started(host, address, response)));
            }
            Ok(_) | Err(SendError::Lost) => {
                node.metrics.detours.count("lost");
                return Detour::Lost;
            }
            Err(SendError::NotSent) => "not_sent",
        };
        request.record_not_run();
        node.metrics.detours.count(outcome);
        node.cut_off_hosts.borrow_mut().record(address, node.now());
    }
    Detour::AllCutOff
}

/// Returns the live hosts that may serve a request, those that are cut off too last.
fn hosts(node: &Node) -> Vec<(String, SocketAddr)> {
    let hosts = node.hosts.borrow();
    let others = hosts
        .live(node.now())
        .filter(|heartbeat| heartbeat.is_ready && heartbeat.host != node.settings.host);
    let others = others.map(|heartbeat| (heartbeat.host.clone(), heartbeat.caller_address));
    let mut others: Vec<_> = others.collect();
    others.shuffle(&mut rand::rng());
    node.cut_off_hosts.borrow().choose(others, node.now())
}

fn outgoing(request: &CallerRequest) -> Request<Full<Bytes>> {
    let headers = request.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()));
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = detour_request_headers(headers, request.time_left());
    outgoing
}

/// Returns whether a response is that of its request: a success is signed by its upstream. Hosts may
/// refuse without naming the request, and write no refusal twice.
fn is_usable(response: &mut UpstreamResponse) -> bool {
    let headers = UpstreamResponseHeaders::read(&response.head);
    let is_other = attribution::attribute(response, &headers) == Attribution::Other;
    !is_other && (headers.is_signed || !response.head.status.is_success())
}

/// Returns the response of a host as that of an upstream, which holds no grant here.
fn started(host: String, address: SocketAddr, response: UpstreamResponse) -> StartedResponse {
    let upstream = Upstream {
        id: host,
        service: String::new(),
        address,
        zone: String::new(),
        slots: 0,
        state: UpstreamState::Ready,
        started_unix_ms: None,
        software: String::new(),
        resident_models: Vec::new(),
    };
    StartedResponse {
        upstream: Arc::new(upstream),
        grant: Grant::OtherHost,
        admission: Admission::default(),
        version: None,
        upstream_response: Box::new(response),
        is_detour: true,
    }
}

/// Spawns the task that notices when upstreams are reached again.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(probe_while_cut_off(Rc::clone(node)));
}

async fn probe_while_cut_off(node: SharedNode) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !node.is_cut_off() {
            continue;
        }
        let upstreams: Vec<Arc<Upstream>> = {
            let upstreams = node.upstreams.borrow();
            let ready = upstreams.iter().filter(|known| known.state == UpstreamState::Ready);
            ready.cloned().choose_multiple(&mut rand::rng(), PROBED_UPSTREAMS)
        };
        let probes =
            upstreams.iter().map(|known| timeout(PROBE_TIMEOUT, TcpStream::connect(known.address)));
        let results = futures_util::future::join_all(probes).await;
        let mut reach = node.reach.borrow_mut();
        if results.iter().any(|result| matches!(result, Ok(Ok(_connected)))) {
            reach.record_reached(node.now());
            continue;
        }
        for upstream in upstreams {
            reach.record_unreached(&upstream.id, node.now());
        }
    }
}
