//! Stand-in of a service that is no model engine; it records every request that it executes.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use gumdrop::Options;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default_expr = "crate::default_listen()")]
    listen: SocketAddr,
    /// time to execute one request, in milliseconds
    #[options(no_short, default = "20")]
    call_ms: u64,
}

/// Faults that `POST /_faults` sets; each call replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Refuse requests without executing them.
    refuse: bool,
    /// Time added to each request, in milliseconds.
    delay_ms: u64,
    /// Number of further requests that are executed but get a 500 response.
    fail_after: u32,
}

/// One request that was executed, as `GET /_stats` returns it.
#[derive(Debug, Clone, Serialize)]
struct Execution {
    path: String,
    idempotency_key: Option<String>,
    request_id: Option<String>,
    body: String,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    executions: Vec<Execution>,
    running: u32,
}

struct Service {
    call_ms: u64,
    inner: Mutex<Inner>,
}

type Data = web::Data<Service>;

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn execute(request: HttpRequest, body: web::Bytes, service: Data) -> HttpResponse {
    let body = String::from_utf8_lossy(&body).into_owned();
    let (duration_ms, execution_number) = {
        let mut inner = service.lock();
        if inner.faults.refuse {
            return HttpResponse::ServiceUnavailable().finish();
        }
        inner.executions.push(Execution {
            path: request.path().to_owned(),
            idempotency_key: header(&request, "idempotency-key"),
            request_id: header(&request, "x-request-id"),
            body: body.clone(),
        });
        inner.running += 1;
        (service.call_ms + inner.faults.delay_ms, inner.executions.len())
    };
    actix_rt::time::sleep(Duration::from_millis(duration_ms)).await;
    let mut inner = service.lock();
    inner.running -= 1;
    if inner.faults.fail_after > 0 {
        inner.faults.fail_after -= 1;
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().json(serde_json::json!({"execution": execution_number, "body": body}))
}

async fn load_report(service: Data) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({"running": service.lock().running}))
}

async fn set_faults(body: web::Json<Faults>, service: Data) -> HttpResponse {
    service.lock().faults = body.into_inner();
    HttpResponse::Ok().finish()
}

async fn stats(service: Data) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({"executions": &service.lock().executions}))
}

/// Serves all paths until the process is stopped.
pub async fn run(flags: Flags) -> std::io::Result<()> {
    let service = web::Data::new(Service { call_ms: flags.call_ms, inner: Mutex::default() });
    HttpServer::new(move || {
        App::new()
            .app_data(service.clone())
            .route("/_faults", web::post().to(set_faults))
            .route("/_stats", web::get().to(stats))
            .route("/load", web::get().to(load_report))
            .default_service(web::to(execute))
    })
    .workers(1)
    .tcp_nodelay(true)
    .shutdown_timeout(0)
    .bind(flags.listen)?
    .run()
    .await
}
