//! Forwards calls to plain services, which are upstreams that are not engines.

use crate::{
    Gateway,
    body::{MAX_BODY_BYTES, read_bytes},
    claims::{BufferedResponse, KeyedRequest, scoped_key},
    problem::{Problem, Result},
};
use actix_web::{
    HttpRequest, HttpResponse,
    http::{Method, header::HeaderValue},
    web,
};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use rail_config::{Upstream, UpstreamKind};
use rail_platform::ConfigFollower;
use rail_request::{
    CallOutcome, Fingerprint, LoadBalancer, RequestFailure, RequestRefusal, RequestRefusalReason,
    RetryCause,
};
use rail_runtime::{MonotonicClock, metrics::ReasonCounters};
use rail_upstream::{
    BodyContent, Completeness, ConnectionPool, ConnectionTimeouts, SendError, UpstreamResponse,
};
use serde::Deserialize;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Time within which a plain service must respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which an instance must respond to an idempotent call before it is retried.
const IDEMPOTENT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts of a call, each at another instance.
const MAX_ATTEMPTS: usize = 3;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a connection is not reused.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Interval at which instances are polled for their load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a load report in bytes.
const MAX_LOAD_REPORT_BYTES: usize = 64 << 10;
/// Time within which an instance must report its load.
const LOAD_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry delay that is sent to callers after a refusal.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "x-request-id"];

/// HTTP client and load balancer for plain services; clones share them.
#[derive(Clone)]
pub struct Services {
    connections: ConnectionPool,
    clock: MonotonicClock,
    balancer: Rc<RefCell<LoadBalancer>>,
    ejections: ReasonCounters,
}

impl std::fmt::Debug for Services {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Services").field("balance", &self.balancer).finish_non_exhaustive()
    }
}

/// Keeps a call counted as in progress; records its outcome when dropped.
#[derive(Debug)]
struct CallGuard {
    services: Services,
    upstream: String,
    outcome: CallOutcome,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = self.services.clock.now();
        if self.services.balancer.borrow_mut().finish_call(&self.upstream, self.outcome, now) {
            self.services.ejections.count("calls_failed");
        }
    }
}

impl Services {
    /// Creates the client; `ejections` counts ejected instances by reason.
    pub fn open(ejections: ReasonCounters) -> Self {
        let timeouts =
            ConnectionTimeouts { connect: CONNECT_TIMEOUT, unacknowledged: UNACKNOWLEDGED_TIMEOUT };
        let connections = ConnectionPool::new(timeouts);
        Self { connections, clock: MonotonicClock::start(), balancer: Rc::default(), ejections }
    }

    fn start_call(&self, upstream: &str) -> CallGuard {
        self.balancer.borrow_mut().start_call(upstream);
        let (services, upstream) = (self.clone(), upstream.to_owned());
        CallGuard { services, upstream, outcome: CallOutcome::Abandoned }
    }

    /// Polls the load of every instance at a fixed interval, which also probes ejected ones.
    pub async fn poll_loads(self, config: ConfigFollower) {
        loop {
            let fleet = config.applied();
            let instances = fleet.upstreams.iter().filter(|(_, u)| u.kind == UpstreamKind::Service);
            let now = self.clock.now();
            let due = instances.filter(|(name, _)| self.balancer.borrow().is_probe_due(name, now));
            join_all(due.map(|(name, upstream)| self.poll_load(name, upstream))).await;
            actix_rt::time::sleep(LOAD_POLL_INTERVAL).await;
        }
    }

    async fn poll_load(&self, name: &str, upstream: &Upstream) {
        let in_flight = self.balancer.borrow().in_flight(name);
        let report = timeout(LOAD_POLL_TIMEOUT, self.fetch_load(upstream)).await.ok().flatten();
        let mut balancer = self.balancer.borrow_mut();
        match report {
            Some(report) => balancer.record_report(name, report.running, in_flight),
            None if balancer.record_missing_report(name, self.clock.now()) => {
                self.ejections.count("no_report");
            }
            None => {}
        }
    }
}

impl Services {
    async fn fetch_load(&self, upstream: &Upstream) -> Option<ServiceLoad> {
        let request = http::Request::get("/load").header("host", upstream.address.to_string());
        let request = request.body(Full::default()).ok()?;
        let mut response = self.connections.send(upstream.address, request, MAX_IDLE).await.ok()?;
        let body = response.read_json(MAX_LOAD_REPORT_BYTES).await.ok()?;
        response.return_connection();
        serde_json::from_slice(&body).ok()
    }
}

/// Load report of an instance.
#[derive(Debug, Deserialize)]
struct ServiceLoad {
    /// Calls of all gateways that are in progress on the instance.
    running: u32,
}

/// Call of a plain service, as the caller sent it.
#[derive(Debug, Clone)]
struct ServiceCall {
    service: String,
    method: Method,
    path_and_query: String,
    headers: Vec<(&'static str, HeaderValue)>,
    body: Bytes,
}

/// Handles one call of a plain service.
pub async fn call_service(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
) -> Result<HttpResponse> {
    let (service, path) = path.into_inner();
    let result = forward_call(&gateway, &request, service, &path, body).await;
    match &result {
        Ok(_) => {
            gateway.metrics.answers.inc();
        }
        Err(problem) => gateway.count_problem(problem),
    }
    result.map(HttpResponse::from)
}

async fn forward_call(
    gateway: &Gateway,
    request: &HttpRequest,
    service: String,
    path: &str,
    body: web::Payload,
) -> Result<BufferedResponse> {
    let body = read_bytes(body).await?;
    gateway.check_configuration()?;
    let call = ServiceCall::from_request(request, service, path, body);
    let key = request.headers().get("idempotency-key");
    match key {
        Some(key) if !call.method.is_idempotent() => {
            let scope = format!("service/{}", call.service);
            let key = scoped_key(&scope, key.as_bytes())?;
            let keyed_request =
                KeyedRequest { key, fingerprint: call.fingerprint(), timeout: CALL_TIMEOUT };
            let gateway = gateway.clone();
            gateway.clone().run_keyed(keyed_request, async move { call.send(&gateway).await }).await
        }
        _ => call.send(gateway).await,
    }
}

impl ServiceCall {
    fn from_request(request: &HttpRequest, service: String, path: &str, body: Bytes) -> Self {
        let query = request.query_string();
        let separator = if query.is_empty() { "" } else { "?" };
        let headers = FORWARDED_HEADERS
            .iter()
            .filter_map(|name| Some((*name, request.headers().get(*name)?.clone())))
            .collect();
        Self {
            service,
            method: request.method().clone(),
            path_and_query: format!("{path}{separator}{query}"),
            headers,
            body,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        let parts = [self.method.as_str(), &self.service, &self.path_and_query];
        Fingerprint::of(parts.iter().map(|part| part.as_bytes()).chain([&*self.body]))
    }

    /// Sends the call to the least loaded instance.
    ///
    /// The call is retried at another instance if none of its bytes was sent. An idempotent call is
    /// also retried after a refusal, and while the retry budget lasts after other failures.
    async fn send(&self, gateway: &Gateway) -> Result<BufferedResponse> {
        let is_idempotent = self.method.is_idempotent();
        let mut tried = Vec::new();
        let mut may_have_run = false;
        loop {
            let (name, upstream) = self.pick(gateway, &tried)?;
            let mut guard = gateway.services.start_call(&name);
            let result = self.send_to_instance(gateway, &upstream).await;
            guard.outcome =
                if result.is_ok() { CallOutcome::Answered } else { CallOutcome::Failed };
            drop(guard);
            let problem = match result {
                Ok(response) => {
                    gateway.retry_budget.borrow_mut().record_response();
                    return Ok(response);
                }
                Err(problem) => problem,
            };
            tried.push(name);
            may_have_run |= matches!(problem, Problem::Failed(_));
            let can_try_another =
                tried.len() < MAX_ATTEMPTS && self.has_untried_instance(gateway, &tried);
            if !can_try_another || !may_retry(gateway, &problem, is_idempotent) {
                let unknown = Problem::Failed(RequestFailure::UnknownOutcome);
                return Err(if may_have_run { unknown } else { problem });
            }
            gateway.metrics.retries.count(&problem.reason());
        }
    }

    fn pick(&self, gateway: &Gateway, tried: &[String]) -> Result<(String, Upstream)> {
        let fleet = gateway.config.applied();
        let names = fleet.services_of(&self.service).map(|(name, _)| name.as_str());
        let balancer = gateway.services.balancer.borrow();
        let name = balancer
            .pick(names.filter(|name| !tried.iter().any(|other| other == name)))
            .ok_or(Problem::UnknownService)?;
        let upstream = fleet.upstreams.get(name).ok_or(Problem::UnknownService)?;
        Ok((name.to_owned(), upstream.clone()))
    }

    fn has_untried_instance(&self, gateway: &Gateway, tried: &[String]) -> bool {
        let fleet = gateway.config.applied();
        fleet.services_of(&self.service).any(|(name, _)| !tried.contains(name))
    }

    async fn send_to_instance(
        &self,
        gateway: &Gateway,
        upstream: &Upstream,
    ) -> Result<BufferedResponse> {
        let request = self.to_request(upstream)?;
        let attempt_timeout =
            if self.method.is_idempotent() { IDEMPOTENT_ATTEMPT_TIMEOUT } else { CALL_TIMEOUT };
        let exchange = async {
            let sent = gateway.services.connections.send(upstream.address, request, MAX_IDLE).await;
            read_response(sent.map_err(to_problem)?).await
        };
        timeout(attempt_timeout, exchange)
            .await
            .map_err(|_elapsed| Problem::Failed(RequestFailure::UnknownOutcome))?
    }

    fn to_request(&self, upstream: &Upstream) -> Result<http::Request<Full<Bytes>>> {
        let mut request = http::Request::builder()
            .method(self.method.as_str())
            .uri(format!("/{}", self.path_and_query))
            .header("host", upstream.address.to_string());
        for (name, value) in &self.headers {
            request = request.header(*name, value.as_bytes());
        }
        request
            .body(Full::new(self.body.clone()))
            .map_err(|error| Problem::Body(format!("call of a service: {error}")))
    }
}

/// Reads the response of an instance to its end.
async fn read_response(mut response: UpstreamResponse) -> Result<BufferedResponse> {
    if response.head.status == http::StatusCode::SERVICE_UNAVAILABLE {
        let reason = RequestRefusalReason::RefusedByUpstream;
        return Err(RequestRefusal { reason, retry_after: REFUSAL_RETRY_AFTER }.into());
    }
    let broken = Problem::Failed(RequestFailure::UnknownOutcome);
    let Ok(body) = response.read(MAX_BODY_BYTES).await else { return Err(broken) };
    let is_whole = match response.completeness(BodyContent::Opaque) {
        Completeness::Whole => true,
        Completeness::Unproven => false,
        Completeness::BrokenOff => return Err(broken),
    };
    let status = response.head.status.as_u16();
    let content_type = response.head.headers.get("content-type");
    let content_type = content_type.and_then(|value| Some(value.to_str().ok()?.to_owned()));
    response.return_connection();
    Ok(BufferedResponse { status, content_type, body, is_whole })
}

/// Returns whether a call that ended with this problem may be retried at another instance.
///
/// Spends a retry from the budget if the call may have run.
fn may_retry(gateway: &Gateway, problem: &Problem, is_idempotent: bool) -> bool {
    match problem {
        Problem::Refused(refusal) if refusal.reason == RequestRefusalReason::Unreachable => true,
        Problem::Refused(_) => is_idempotent,
        Problem::Failed(_) => {
            is_idempotent && gateway.retry_budget.borrow_mut().try_spend(RetryCause::LostUpstream)
        }
        _ => false,
    }
}

fn to_problem(error: SendError) -> Problem {
    match error {
        SendError::NotSent => RequestRefusal {
            reason: RequestRefusalReason::Unreachable,
            retry_after: REFUSAL_RETRY_AFTER,
        }
        .into(),
        SendError::Lost => Problem::Failed(RequestFailure::UnknownOutcome),
    }
}
