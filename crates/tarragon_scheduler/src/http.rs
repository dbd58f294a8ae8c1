//! Health and metrics over HTTP.

use actix_web::{App, HttpResponse, HttpServer, web};
use rail_runtime::Metrics;
use std::net::SocketAddr;

/// Starts the listener on the current actix system.
///
/// # Errors
/// Fails when the address can't be bound.
pub fn spawn(address: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(metrics.clone()))
            .route("/healthz", web::get().to(|| async { HttpResponse::Ok().body("ok") }))
            .route("/metrics", web::get().to(render))
    })
    .workers(1)
    .tcp_nodelay(true)
    .disable_signals()
    .bind(address)?
    .run();
    actix_rt::spawn(server);
    Ok(())
}

async fn render(metrics: web::Data<Metrics>) -> HttpResponse {
    HttpResponse::Ok().content_type("application/openmetrics-text").body(metrics.render())
}
