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
use rail_config::Upstream;
use rail_request::{Failed, Fingerprint, NotRun, NotRunReason};
use rail_upstream::is_unsent;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Time in which a plain service must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// When a caller should come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that are passed on to the service.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "x-request-id"];

/// Connections to plain services with the calls in progress on each; clones share them.
#[derive(Clone)]
pub struct Services {
    http: Client,
    in_flight: Rc<RefCell<BTreeMap<String, u32>>>,
}

impl std::fmt::Debug for Services {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Services").field("in_flight", &self.in_flight).finish_non_exhaustive()
    }
}

impl Default for Services {
    fn default() -> Self {
        let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        let http = Client::builder().connector(connector).timeout(CALL_TIMEOUT).finish();
        Self { http, in_flight: Rc::default() }
    }
}

/// Counts a call as in progress until dropped.
#[derive(Debug)]
struct InFlight {
    services: Services,
    upstream: String,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(count) = self.services.in_flight.borrow_mut().get_mut(&self.upstream) {
            *count -= 1;
        }
    }
}

impl Services {
    fn start_call(&self, upstream: &str) -> InFlight {
        *self.in_flight.borrow_mut().entry(upstream.to_owned()).or_default() += 1;
        InFlight { services: self.clone(), upstream: upstream.to_owned() }
    }

    fn calls_on(&self, upstream: &str) -> u32 {
        self.in_flight.borrow().get(upstream).copied().unwrap_or(0)
    }
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

    /// Sends the call to the least loaded instance, once.
    async fn send(&self, gateway: &Gateway) -> Result<KeptAnswer> {
        let fleet = gateway.config.current();
        let (name, upstream) = fleet
            .services_of(&self.service)
            .min_by_key(|(name, _)| gateway.services.calls_on(name))
            .ok_or(Problem::UnknownService)?;
        let _in_flight = gateway.services.start_call(name);
        self.send_to(gateway, upstream).await
    }

    async fn send_to(&self, gateway: &Gateway, upstream: &Upstream) -> Result<KeptAnswer> {
        let url = format!("http://{}/{}", upstream.address, self.path_and_query);
        let mut call = gateway.services.http.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            call = call.insert_header((*name, value.clone()));
        }
        let sent = call.send_body(self.body.clone()).await;
        let mut reply = sent.map_err(|error| classify(&error))?;
        if reply.status() == StatusCode::SERVICE_UNAVAILABLE {
            let reason = NotRunReason::RefusedByUpstream;
            return Err(NotRun { reason, retry_after: RETRY_AFTER }.into());
        }
        let body = reply
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|_lost| Problem::Failed(Failed::UnknownOutcome))?;
        let content_type = reply.headers().get("content-type");
        let content_type = content_type.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        Ok(KeptAnswer { status: reply.status().as_u16(), content_type, body })
    }
}

fn classify(error: &SendRequestError) -> Problem {
    if is_unsent(error) {
        NotRun { reason: NotRunReason::Unreachable, retry_after: RETRY_AFTER }.into()
    } else {
        Problem::Failed(Failed::UnknownOutcome)
    }
}
