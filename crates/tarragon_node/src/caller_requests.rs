//! Requests of callers, from the arrival of the head to the end of the response.

use crate::{
    access,
    caller_connection::ConnectionEnd,
    connection_flow::ConnectionFlow,
    engine_requests,
    events::Event,
    listen::{self, ListenBounds, ListenTimeouts},
    node::SharedNode,
    quotas,
    reply::{self, Failure},
    request::{CallerRequest, InFlight},
    request_body::{BodyBounds, BodyReader},
    service_requests, shortage,
};
use actix_http::{
    HttpMessage, Payload, Request, Response,
    body::BoxBody,
    header::{
        AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
    },
};
use bytes::Bytes;
use rail_memory::MemoryHold;
use rail_request::{Fingerprint, QuarantineKey};
use rail_route::RouteTable;
use rail_site::CallerHeaders;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// Timeouts until a configuration is applied.
const DEFAULT_TIMEOUTS: ListenTimeouts =
    ListenTimeouts { request_head: Duration::from_secs(3), idle: Duration::from_secs(15) };
/// Time for which idle connections are kept beyond the configured idle timeout, so that callers
/// close them first.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// `retry-after` of a host that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `retry-after` of a request for which there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `retry-after` of a stopping host; the retry should go to another host.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Spawns the listener for callers. Aborting the returned task closes the listener but not its
/// connections.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn spawn(node: &SharedNode) -> std::io::Result<JoinHandle<std::io::Result<()>>> {
    let listener = Rc::new(listen::bind(node.settings.caller_address)?);
    let (timeouts_node, serve_node) = (Rc::clone(node), Rc::clone(node));
    let timeouts =
        move || timeouts_node.routes.borrow().as_ref().map_or(DEFAULT_TIMEOUTS, current_timeouts);
    let handler = move |request: Request| serve(Rc::clone(&serve_node), request);
    let bounds = ListenBounds::new(node, &node.caller_connections);
    Ok(actix_rt::spawn(listen::serve(listener, timeouts, bounds, handler)))
}

fn current_timeouts(routes: &Arc<RouteTable>) -> ListenTimeouts {
    let limits = routes.limits;
    ListenTimeouts { request_head: limits.header_timeout, idle: limits.idle_timeout + IDLE_SLACK }
}

/// Validates and routes a request, then passes it to the path for engines or for plain services.
async fn serve(node: SharedNode, mut request: Request) -> Response<BoxBody> {
    let arrived_at = Instant::now();
    let Some(flow) = request.conn_data::<ConnectionFlow>().cloned() else {
        return Response::internal_server_error().map_into_boxed_body();
    };
    let mut in_flight = InFlight::start(&node, &flow);
    let has_unread_body = Cell::new(!matches!(request.payload(), Payload::None));
    let headers = request.headers();
    let parsed_headers =
        CallerHeaders::read(|name| headers.get_all(name).map(HeaderValue::as_bytes));
    let request_id = parsed_headers.request_id.clone();
    let refuse = |failure: Failure, retry_after: Option<Duration>| {
        let has_unread_body = has_unread_body.get();
        refuse_at_once(&node, &request_id, &flow, has_unread_body, failure, retry_after)
    };
    if has_ambiguous_framing(headers) {
        return refuse(Failure::BadRequest, None);
    }
    access::wait_for_proof(&node).await;
    let Some(routes) = node.routes.borrow().clone() else {
        return refuse(Failure::NoConfig, Some(NO_CONFIG_RETRY_AFTER));
    };
    let Some(host) = host_name(headers).map(str::to_owned) else {
        return refuse(Failure::BadRequest, None);
    };
    let Some(route) = routes.find(&host, request.path()).cloned() else {
        return refuse(Failure::NoRoute, None);
    };
    let Some((method, target)) = method_and_target(&request) else {
        return refuse(Failure::BadRequest, None);
    };
    let timeout =
        parsed_headers.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    if node.refuses_requests_until(arrived_at + timeout) {
        return refuse(Failure::Stopping, Some(STOPPING_RETRY_AFTER));
    }
    let authorization = headers.get_all(AUTHORIZATION).map(HeaderValue::as_bytes);
    let workspace = match access::identify(&node, &routes, &route, authorization) {
        Ok(workspace) => workspace,
        Err(refusal) => return refuse(Failure::Key(refusal), refusal.retry_after()),
    };
    let forwarded_headers = copy_headers(headers);
    let Some(service) = route.pick_service(&parsed_headers.request_id).cloned() else {
        return refuse(Failure::NoUpstream, None);
    };
    if let Err(refused) = quotas::check(&node, &parsed_headers, workspace.as_deref()) {
        quotas::record_refusal(&node, &request_id, &refused);
        return refuse(refused.failure(), Some(refused.retry_after()));
    }
    let deadline_at = arrived_at + timeout;
    let read = read_body(&node, &flow, &mut request, routes.limits.body_bytes, deadline_at);
    let (body, memory) = match read.await {
        Ok(read) => read,
        Err(failure) => return refuse(failure, None),
    };
    in_flight.hold(memory);
    has_unread_body.set(false);
    flow.begin_serving();
    let fingerprint = fingerprint(&method, &host, &target, &body);
    let quarantine_keys = quarantine_keys(fingerprint, &parsed_headers);
    let is_engine = has_engines(&routes, &service);
    let connection_end = request.conn_data::<ConnectionEnd>().cloned().unwrap_or_default();
    let request = CallerRequest {
        method,
        target,
        headers: forwarded_headers,
        body,
        fingerprint,
        quarantine_keys,
        parsed_headers,
        route,
        config_version: routes.version,
        service,
        workspace,
        quota_charge: RefCell::default(),
        has_workspaces: routes.workspaces.is_some(),
        arrived_at,
        deadline_at,
        sent_at: Cell::new(arrived_at),
        answering_since: Cell::new(None),
        attempts: Cell::new(0),
        attempts_not_run: Cell::new(0),
        queued_ms: Cell::new(0),
        is_end_recorded: Cell::new(false),
        is_http10: request.head().version < actix_http::Version::HTTP_11,
        connection_end,
        record_ages: Cell::new(node.record_ages()),
        sent_version: Cell::default(),
        limit: Cell::new(None),
        software: RefCell::default(),
        pin: RefCell::default(),
        origin_source: Cell::new(None),
        last_body: Cell::new(None),
        node: Rc::clone(&node),
    };
    request.record_arrival();
    drop(routes);
    pass_on(node, request, in_flight, is_engine).await
}

async fn pass_on(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
    is_engine: bool,
) -> Response<BoxBody> {
    if is_engine {
        engine_requests::serve(node, request, in_flight).await
    } else {
        service_requests::serve(node, request, in_flight).await
    }
}

fn method_and_target(request: &Request) -> Option<(http::Method, http::Uri)> {
    let method = http::Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    Some((method, request.uri().to_string().parse().ok()?))
}

/// Returns whether the upstreams of a service are model engines.
fn has_engines(routes: &RouteTable, service: &str) -> bool {
    routes.services.get(service).is_some_and(|service| service.engine.is_some())
}

/// Ends a request that was not passed on to an upstream. If its body was not read, the connection
/// closes after the answer.
fn refuse_at_once(
    node: &SharedNode,
    request_id: &str,
    flow: &ConnectionFlow,
    has_unread_body: bool,
    failure: Failure,
    retry_after: Option<Duration>,
) -> Response<BoxBody> {
    node.metrics.refusals.count(failure.reason());
    node.metrics.requests.count(failure.reason());
    node.events.important(&Event::RefusedAtOnce {
        request: request_id,
        reason: failure.reason(),
        status: failure.status().as_u16(),
        config: node.config_version(),
        record_ages: node.record_ages(),
    });
    let is_memory_short = matches!(failure, Failure::NoMemory | Failure::GaveWay);
    if is_memory_short {
        shortage::report(node);
    }
    if has_unread_body {
        flow.begin_discarding();
    }
    let retry_after = retry_after.or(is_memory_short.then_some(NO_MEMORY_RETRY_AFTER));
    reply::failure_response(failure, retry_after, node.is_stopping.get() || has_unread_body)
}

/// Reads the body of a request, under the memory account of the host.
async fn read_body(
    node: &SharedNode,
    flow: &ConnectionFlow,
    request: &mut Request,
    max_bytes: usize,
    deadline_at: Instant,
) -> Result<(Bytes, MemoryHold), Failure> {
    let announced_bytes = content_length(request.headers());
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(Failure::TooLarge);
    }
    let callers = node.settings.callers;
    let bounds = BodyBounds { announced_bytes, max_bytes, callers, deadline_at };
    let memory = node.memory.start_arrival(flow.caller(), node.now());
    let reader = BodyReader::start(memory, node.clock, bounds).await?;
    match request.take_payload() {
        Payload::None => reader.finish().await,
        payload => {
            flow.begin_body(announced_bytes.is_none());
            reader.read(payload, flow).await
        }
    }
}

/// Returns whether the framing of the body is stated in two ways, which allows request smuggling.
fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}

fn copy_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let copy =
        |(name, value): (&HeaderName, &HeaderValue)| (name.to_string(), value.as_bytes().to_vec());
    headers.iter().map(copy).collect()
}

/// Returns what may be quarantined of a request: itself and the shared parts of its prompt.
fn quarantine_keys(fingerprint: Fingerprint, headers: &CallerHeaders) -> Vec<QuarantineKey> {
    let prompt_parts = headers.shared_prompt_parts.iter();
    let part_keys = prompt_parts.map(|part| QuarantineKey::prompt_part(&part.id));
    std::iter::once(fingerprint.into()).chain(part_keys).collect()
}

/// Hashes method, host name, path with query, and body. Headers may differ between retries of one
/// request, so they are left out.
fn fingerprint(method: &http::Method, host: &str, target: &http::Uri, body: &[u8]) -> Fingerprint {
    let target = target.to_string();
    Fingerprint::of([method.as_str().as_bytes(), host.as_bytes(), target.as_bytes(), body])
}

fn host_name(headers: &HeaderMap) -> Option<&str> {
    let host = headers.get(HOST)?.to_str().ok()?;
    Some(host.split_once(':').map_or(host, |(name, _port)| name))
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
