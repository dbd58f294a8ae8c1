//! HTTP server for health checks (`/healthz`) and metrics (`/metrics`).

use crate::metrics::Metrics;
use actix_web::{App, HttpResponse, HttpServer, web};
use std::{net::SocketAddr, time::Duration};

/// Simultaneous connections; further ones wait in the accept queue.
const MAX_CONNECTIONS: usize = 64;
/// Time within which a client must send its request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the server on the current actix system.
///
/// # Errors
/// Returns an error if `address` cannot be bound.
pub fn spawn_metrics_server(address: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(metrics.clone()))
            .route("/healthz", web::get().to(|| async { HttpResponse::Ok().body("ok") }))
            .route("/metrics", web::get().to(render_metrics))
    })
    .workers(1)
    .tcp_nodelay(true)
    .max_connections(MAX_CONNECTIONS)
    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
    .disable_signals()
    .bind(address)?
    .run();
    tokio::spawn(server);
    Ok(())
}

async fn render_metrics(metrics: web::Data<Metrics>) -> HttpResponse {
    HttpResponse::Ok().content_type("application/openmetrics-text").body(metrics.render())
}
