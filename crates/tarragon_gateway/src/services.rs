//! Passes calls to plain upstreams.

use crate::{
    Gateway,
    body::{MAX_BODY_BYTES, read_bytes},
    claims::{KeptAnswer, Keyed, scoped_key},
    problem::{Problem, Result},
};
use actix_web::{
    HttpRequest, HttpResponse,
    http::{Method, StatusCode, header::HeaderValue},
    web,
};
use awc::{Client, Connector, error::SendRequestError};
use bytes::Bytes;
use futures_util::future::join_all;
use rail_config::{Upstream, UpstreamKind};
use rail_platform::ConfigFollower;
use rail_request::{
    CallOutcome, Fingerprint, LoadBalancer, RequestFailure, RequestRefusal, RequestRefusalReason,
    RetryCause,
};
use rail_runtime::{MonotonicClock, metrics::Reasons};
use rail_upstream::is_unsent;
use serde::Deserialize;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Time in which a plain service must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which an instance must answer an idempotent call before another is tried.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Instances that one call tries.
const MAX_TRIES: usize = 3;
/// Interval between load reports, and time in which one must come.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// When a caller should come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that are passed on to the service.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "x-request-id"];

/// Connections to plain services with the load of each instance; clones share them.
#[derive(Clone)]
pub struct Services {
    http: Client,
    clock: MonotonicClock,
    balancer: Rc<RefCell<LoadBalancer>>,
    ejections: Reasons,
}

impl std::fmt::Debug for Services {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Services").field("balancer", &self.balancer).finish_non_exhaustive()
    }
}

/// Counts a call as in progress until dropped.
#[derive(Debug)]
struct InFlight {
    services: Services,
    upstream: String,
    end: CallOutcome,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.services.clock.now();
        if self.services.balancer.borrow_mut().finish_call(&self.upstream, self.end, now) {
            self.services.ejections.count("calls_failed");
        }
    }
}

impl Services {
    /// Prepares connections.
    pub fn open(ejections: Reasons) -> Self {
        let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        let http = Client::builder().connector(connector).timeout(CALL_TIMEOUT).finish();
        Self { http, clock: MonotonicClock::start(), balancer: Rc::default(), ejections }
    }

    fn start_call(&self, upstream: &str) -> InFlight {
        self.balancer.borrow_mut().start_call(upstream);
        let (services, upstream) = (self.clone(), upstream.to_owned());
        InFlight { services, upstream, end: CallOutcome::Abandoned }
    }

    /// Reads the load of every instance at a fixed interval, which also probes ejected ones.
    pub async fn follow_loads(self, config: ConfigFollower) {
        loop {
            let fleet = config.applied();
            let services = fleet.upstreams.iter().filter(|(_, u)| u.kind == UpstreamKind::Service);
            let now = self.clock.now();
            let due = services.filter(|(name, _)| self.balancer.borrow().is_probe_due(name, now));
            join_all(due.map(|(name, upstream)| self.read_load(name, upstream))).await;
            actix_rt::time::sleep(REPORT_INTERVAL).await;
        }
    }

    async fn read_load(&self, name: &str, upstream: &Upstream) {
        let in_flight = self.balancer.borrow().in_flight(name);
        let request = self.http.get(format!("http://{}/load", upstream.address));
        let report = async {
            let mut reply = request.timeout(REPORT_TIMEOUT).send().await.ok()?;
            reply.json::<ServiceLoad>().await.ok()
        };
        let report = report.await;
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

/// Load as a plain service reports it.
#[derive(Debug, Deserialize)]
struct ServiceLoad {
    running: u32,
}

/// A call of a plain service, as its caller sent it.
#[derive(Debug, Clone)]
struct ServiceCall {
    service: String,
    method: Method,
    path_and_query: String,
    headers: Vec<(&'static str, HeaderValue)>,
    body: Bytes,
}

/// Passes one call to an instance of a service.
pub async fn call_service(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
) -> Result<HttpResponse> {
    let (service, path) = path.into_inner();
    let result = pass_call(&gateway, &request, service, &path, body).await;
    match &result {
        Ok(_) => {
            gateway.metrics.answers.inc();
        }
        Err(problem) => gateway.count_problem(problem),
    }
    result.map(HttpResponse::from)
}

async fn pass_call(
    gateway: &Gateway,
    request: &HttpRequest,
    service: String,
    path: &str,
    body: web::Payload,
) -> Result<KeptAnswer> {
    let body = read_bytes(body).await?;
    gateway.check_configuration()?;
    let call = ServiceCall::read(request, service, path, body);
    let key = request.headers().get("idempotency-key");
    match key {
        Some(key) if !call.method.is_idempotent() => {
            let scope = format!("service/{}", call.service);
            let key = scoped_key(&scope, key.as_bytes())?;
            let keyed = Keyed { key, fingerprint: call.fingerprint(), deadline: CALL_TIMEOUT };
            let gateway = gateway.clone();
            gateway.clone().run_keyed(keyed, async move { call.send(&gateway).await }).await
        }
        _ => call.send(gateway).await,
    }
}

impl ServiceCall {
    fn read(request: &HttpRequest, service: String, path: &str, body: Bytes) -> Self {
        let query = request.query_string();
        let separator = if query.is_empty() { "" } else { "?" };
        let headers = PASSED_HEADERS
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
    /// Another instance is tried when none of its bytes was sent, and for an idempotent call
    /// while the retry budget lasts.
    async fn send(&self, gateway: &Gateway) -> Result<KeptAnswer> {
        let is_idempotent = self.method.is_idempotent();
        let mut tried = Vec::new();
        let mut may_have_run = false;
        loop {
            let (name, upstream) = self.pick(gateway, &tried)?;
            let mut in_flight = gateway.services.start_call(&name);
            let result = self.send_to(gateway, &upstream).await;
            in_flight.end =
                if result.is_ok() { CallOutcome::Answered } else { CallOutcome::Failed };
            drop(in_flight);
            let problem = match result {
                Ok(answer) => {
                    gateway.budget.borrow_mut().record_response();
                    return Ok(answer);
                }
                Err(problem) => problem,
            };
            tried.push(name);
            may_have_run |= matches!(problem, Problem::Failed(_));
            let is_left = tried.len() < MAX_TRIES && self.has_other(gateway, &tried);
            if !is_left || !may_try_again(gateway, &problem, is_idempotent) {
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
            .pick(names.filter(|name| !tried.iter().any(|t| t == name)))
            .ok_or(Problem::UnknownService)?;
        let upstream = fleet.upstreams.get(name).ok_or(Problem::UnknownService)?;
        Ok((name.to_owned(), upstream.clone()))
    }

    fn has_other(&self, gateway: &Gateway, tried: &[String]) -> bool {
        let fleet = gateway.config.applied();
        fleet.services_of(&self.service).any(|(name, _)| !tried.contains(name))
    }

    async fn send_to(&self, gateway: &Gateway, upstream: &Upstream) -> Result<KeptAnswer> {
        let url = format!("http://{}/{}", upstream.address, self.path_and_query);
        let mut call = gateway.services.http.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            call = call.insert_header((*name, value.clone()));
        }
        if self.method.is_idempotent() {
            call = call.timeout(TRY_TIMEOUT);
        }
        let sent = call.send_body(self.body.clone()).await;
        let mut reply = sent.map_err(|error| classify(&error))?;
        if reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            let reason = RequestRefusalReason::RefusedByUpstream;
            return Err(RequestRefusal { reason, retry_after: RETRY_AFTER }.into());
        }
        let body = reply
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|_lost| Problem::Failed(RequestFailure::UnknownOutcome))?;
        let content_type = reply.headers().get("content-type");
        let content_type = content_type.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        Ok(KeptAnswer { status: reply.status().as_u16(), content_type, body })
    }
}

/// Reports whether a call that ended so may go to another instance.
fn may_try_again(gateway: &Gateway, problem: &Problem, is_idempotent: bool) -> bool {
    match problem {
        Problem::NotRun(not_run) if not_run.reason == RequestRefusalReason::Unreachable => true,
        Problem::NotRun(_) => is_idempotent,
        Problem::Failed(_) => {
            is_idempotent && gateway.budget.borrow_mut().try_spend(RetryCause::LostUpstream)
        }
        _ => false,
    }
}

fn classify(error: &SendRequestError) -> Problem {
    if is_unsent(error) {
        RequestRefusal { reason: RequestRefusalReason::Unreachable, retry_after: RETRY_AFTER }
            .into()
    } else {
        Problem::Failed(RequestFailure::UnknownOutcome)
    }
}
