//! Health and metrics over HTTP.

use crate::metrics::Metrics;
use actix_web::{App, HttpResponse, HttpServer, web};
use std::{net::SocketAddr, time::Duration};

/// Connections at once.
const MAX_CONNECTIONS: usize = 64;
/// Time in which a client must send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the listener on the current actix system.
///
/// # Errors
/// Fails when the address can't be bound.
pub fn spawn_metrics_server(address: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(metrics.clone()))
            .route("/healthz", web::get().to(|| async { HttpResponse::Ok().body("ok") }))
            .route("/metrics", web::get().to(render))
    })
    .workers(1)
    .tcp_nodelay(true)
    .max_connections(MAX_CONNECTIONS)
    .client_request_timeout(HEAD_TIMEOUT)
    .disable_signals()
    .bind(address)?
    .run();
    tokio::spawn(server);
    Ok(())
}

async fn render(metrics: web::Data<Metrics>) -> HttpResponse {
    HttpResponse::Ok().content_type("application/openmetrics-text").body(metrics.render())
}
