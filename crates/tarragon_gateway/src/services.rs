//! Passes calls to plain upstreams.

use crate::{Gateway, problem::Problem, problem::Result};
use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use awc::{Client, Connector, error::SendRequestError};
use rail_request::{Failed, NotRun, NotRunReason};
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

/// Passes one call to the least loaded instance of a service, once.
pub async fn call_service(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
) -> Result<HttpResponse> {
    let (service, path) = path.into_inner();
    let result = pass_call(&gateway, &request, &service, &path, body).await;
    match &result {
        Ok(_) => {
            gateway.metrics.answers.inc();
        }
        Err(Problem::Failed(failed)) => gateway.metrics.failures.count(&failed.to_string()),
        Err(problem) => gateway.metrics.refusals.count(&problem.reason()),
    }
    result
}

async fn pass_call(
    gateway: &Gateway,
    request: &HttpRequest,
    service: &str,
    path: &str,
    body: web::Payload,
) -> Result<HttpResponse> {
    let body = body
        .to_bytes_limited(crate::MAX_BODY_BYTES)
        .await
        .map_err(|_limit| Problem::TooLarge)?
        .map_err(|error| Problem::Body(error.to_string()))?;
    gateway.check_configuration()?;
    let fleet = gateway.config.current();
    let (name, upstream) = fleet
        .services_of(service)
        .min_by_key(|(name, _)| gateway.services.calls_on(name))
        .ok_or(Problem::UnknownService)?;
    let _in_flight = gateway.services.start_call(name);
    let url = format!("http://{}/{path}", upstream.address);
    let mut call = gateway.services.http.request(request.method().clone(), url);
    for header in PASSED_HEADERS {
        if let Some(value) = request.headers().get(header) {
            call = call.insert_header((header, value.clone()));
        }
    }
    let mut reply = call.send_body(body).await.map_err(|error| classify(&error))?;
    if reply.status() == StatusCode::SERVICE_UNAVAILABLE {
        let reason = NotRunReason::RefusedByUpstream;
        return Err(NotRun { reason, retry_after: RETRY_AFTER }.into());
    }
    let bytes = reply
        .body()
        .limit(crate::MAX_BODY_BYTES)
        .await
        .map_err(|_lost| Problem::Failed(Failed::UnknownOutcome))?;
    let mut response = HttpResponse::build(reply.status());
    if let Some(content_type) = reply.headers().get("content-type") {
        response.insert_header(("content-type", content_type.clone()));
    }
    Ok(response.body(bytes))
}

fn classify(error: &SendRequestError) -> Problem {
    match error {
        SendRequestError::Connect(_) => {
            NotRun { reason: NotRunReason::Unreachable, retry_after: RETRY_AFTER }.into()
        }
        _ => Problem::Failed(Failed::UnknownOutcome),
    }
}
