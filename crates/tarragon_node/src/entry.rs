//! HTTP endpoints for entry resolution (which hosts a caller should use), readiness and metrics.

use crate::{
    connection_flow::ConnectionFlow,
    listen::{self, ListenBounds, ListenTimeouts},
    node::SharedNode,
    peers::renew_own_heartbeat,
};
use actix_http::{Request, Response, body::BoxBody};
use rail_site::entry::{READY_PATH, RESOLVE_PATH, caller_zone, resolve_body};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Most addresses in one resolve response.
const MAX_ADDRESSES: usize = 64;
/// Time after the start in which a host may not know all other hosts yet.
const JOIN_PERIOD: Duration = Duration::from_secs(3);
/// Time to live of a resolve response during [`JOIN_PERIOD`], when the list may be incomplete.
const JOIN_ENTRY_TTL: Duration = Duration::from_secs(1);
/// Time to live of a resolve response.
const ENTRY_TTL: Duration = Duration::from_secs(2);
/// Timeouts of connections to these listeners.
const TIMEOUTS: ListenTimeouts =
    ListenTimeouts { request_head: Duration::from_secs(3), idle: Duration::from_secs(10) };

/// Starts a listener for entry resolution, readiness and metrics.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn spawn(node: &SharedNode, address: SocketAddr) -> std::io::Result<()> {
    let listener = Rc::new(listen::bind(address)?);
    let node = Rc::clone(node);
    let bounds = ListenBounds::new(&node, &node.entry_connections);
    let handler = move |request: Request| {
        let response = respond(&node, &request);
        if let Some(flow) = request.conn_data::<ConnectionFlow>() {
            flow.end_request();
        }
        async move { response }
    };
    actix_rt::spawn(listen::serve(listener, || TIMEOUTS, bounds, handler));
    Ok(())
}

fn respond(node: &SharedNode, request: &Request) -> Response<BoxBody> {
    match request.path() {
        READY_PATH if node.is_ready() => Response::ok().map_into_boxed_body(),
        READY_PATH => unavailable(),
        RESOLVE_PATH => resolve(node, request.uri().query().unwrap_or_default()),
        "/metrics" => Response::ok().set_body(BoxBody::new(node.metrics.render(node))),
        _ => Response::not_found().map_into_boxed_body(),
    }
}

fn resolve(node: &SharedNode, query: &str) -> Response<BoxBody> {
    renew_own_heartbeat(node);
    let hosts = node.hosts.borrow();
    let registered = node.peers.registered_caller_addresses(node.settings.caller_address.port());
    let zone = caller_zone(query);
    let addresses = hosts.entry_addresses(zone, MAX_ADDRESSES, &registered, node.now());
    if addresses.is_empty() {
        return unavailable();
    }
    let is_joining = node.now() < JOIN_PERIOD;
    let ttl = if is_joining { JOIN_ENTRY_TTL } else { ENTRY_TTL };
    let ttl = ttl.min(node.bounds().max_entry_ttl);
    let body = resolve_body(&addresses, ttl);
    Response::build(actix_http::StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_into_boxed_body()
}

fn unavailable() -> Response<BoxBody> {
    Response::new(actix_http::StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body()
}
