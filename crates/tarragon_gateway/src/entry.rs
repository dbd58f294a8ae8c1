//! Tells callers which entry hosts to use.

use crate::Gateway;
use actix_web::{HttpResponse, web};
use rail_member::EntryHost;
use serde::{Deserialize, Serialize};

/// What a caller tells of itself.
#[derive(Debug, Deserialize)]
pub struct EntryQuery {
    zone: Option<String>,
}

#[derive(Debug, Serialize)]
struct EntryAnswer {
    hosts: Vec<EntryHost>,
    lifetime_ms: u64,
}

/// Lists live gateways by weight, with the lifetime of the answer.
pub async fn list_entry_hosts(
    gateway: web::Data<Gateway>,
    query: web::Query<EntryQuery>,
) -> HttpResponse {
    let members = gateway.gossip.members();
    let answer = EntryAnswer {
        hosts: rail_member::list_entry_hosts(&members, query.zone.as_deref()),
        lifetime_ms: gateway.settings.entry_lifetime.as_millis() as u64,
    };
    HttpResponse::Ok().json(answer)
}
