//! Deletes claims whose retention period is over.

use crate::{Gateway, claims::wall_clock_ms};
use rail_member::Role;
use rail_platform::{Error, ObjectKind};
use rail_request::ClaimRecord;
use std::time::Duration;

/// Maximum interval between two collections; a short retention period has a shorter interval.
const MAX_GC_INTERVAL: Duration = Duration::from_secs(60);
/// Delay after each deletion, to limit the load on the platform.
const DELETION_INTERVAL: Duration = Duration::from_millis(50);
/// Age of a heartbeat above which its process counts as dead.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);

/// Deletes expired claims as long as this gateway is the collector.
///
/// One live gateway is the collector. Two at once do no harm, since each deletion is conditional on
/// the version of the object.
pub async fn delete_expired_claims(gateway: Gateway) {
    let retention = gateway.settings.claim_retention;
    let interval = (retention / 4).min(MAX_GC_INTERVAL);
    loop {
        actix_rt::time::sleep(interval.mul_f64(rand::random_range(0.5..1.5))).await;
        if !is_collector(&gateway) {
            continue;
        }
        if let Err(error) = run_collection(&gateway, retention).await {
            gateway.metrics.claims.count(error.reason());
        }
    }
}

async fn run_collection(gateway: &Gateway, retention: Duration) -> Result<(), Error> {
    let (objects, _version) = gateway.platform.list(ObjectKind::Claim).await?;
    for object in objects {
        let Ok(record) = serde_json::from_str::<ClaimRecord>(&object.value) else {
            continue;
        };
        if record.is_retention_over(retention, wall_clock_ms()) {
            match gateway.platform.delete_version(&object.name, &object.version).await {
                Ok(()) => gateway.metrics.claims.count("collected"),
                Err(Error::NotFound | Error::Conflict) => {}
                Err(error) => return Err(error),
            }
            actix_rt::time::sleep(DELETION_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns whether this host's name sorts first among the live gateways that are not leaving.
fn is_collector(gateway: &Gateway) -> bool {
    let members = gateway.gossip.members();
    let live = members.iter().filter(|(heartbeat, age)| {
        heartbeat.role == Role::Gateway && !heartbeat.leaving && *age <= MAX_HEARTBEAT_AGE
    });
    live.map(|(heartbeat, _)| &heartbeat.host).min() == Some(&gateway.settings.host)
}
