//! Tells callers which entry hosts to use.

use crate::Gateway;
use actix_web::{HttpResponse, web};
use rail_member::Role;
use serde_json::json;
use std::time::Duration;

/// Age of a heartbeat above which a host is left out.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Lists live gateways, this one first unless it is leaving, with the lifetime of the answer.
pub async fn list_entry_hosts(gateway: web::Data<Gateway>) -> HttpResponse {
    let members = gateway.gossip.members();
    let live = members.iter().filter(|(heartbeat, age)| {
        heartbeat.role == Role::Gateway && !heartbeat.leaving && *age <= MAX_AGE
    });
    let hosts: Vec<_> = live
        .map(|(h, _)| json!({"host": h.host, "zone": h.zone, "in_flight": h.in_flight}))
        .collect();
    let lifetime_ms = gateway.settings.entry_lifetime.as_millis() as u64;
    HttpResponse::Ok().json(json!({"hosts": hosts, "lifetime_ms": lifetime_ms}))
}
