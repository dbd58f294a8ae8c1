//! Lists the gateways that callers may send requests to.

use crate::Gateway;
use actix_web::{HttpResponse, web};
use rail_member::EntryHost;
use serde::{Deserialize, Serialize};

/// Query parameters of a caller.
#[derive(Debug, Deserialize)]
pub struct EntryQuery {
    /// Availability zone of the caller, whose gateways have a higher weight in the list.
    zone: Option<String>,
}

#[derive(Debug, Serialize)]
struct EntryResponse {
    hosts: Vec<EntryHost>,
    /// Time for which the caller may use the list, in milliseconds.
    lifetime_ms: u64,
}

/// Handles a request for the live gateways with their weights.
pub async fn list_entry_hosts(
    gateway: web::Data<Gateway>,
    query: web::Query<EntryQuery>,
) -> HttpResponse {
    let members = gateway.gossip.members();
    let response = EntryResponse {
        hosts: rail_member::list_entry_hosts(&members, query.zone.as_deref()),
        lifetime_ms: gateway.settings.entry_lifetime.as_millis() as u64,
    };
    HttpResponse::Ok().json(response)
}
