//! Removes claims whose retention is over.

use crate::{Gateway, claims::wall_clock_ms};
use rail_member::Role;
use rail_platform::{Error, ObjectKind};
use rail_request::ClaimRecord;
use std::time::Duration;

/// Longest interval between looks at old claims; shorter retentions are looked at more often.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Pause between two removals, which bounds the platform's share of them.
const REMOVAL_PAUSE: Duration = Duration::from_millis(50);
/// Age of a heartbeat above which its process counts as gone.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);

/// Collects old claims from one live gateway at a time; two at once do no harm.
pub async fn collect_claims(gateway: Gateway) {
    let retention = gateway.settings.claim_retention;
    let interval = (retention / 4).min(MAX_INTERVAL);
    loop {
        actix_rt::time::sleep(interval.mul_f64(rand::random_range(0.5..1.5))).await;
        if !is_collector(&gateway) {
            continue;
        }
        if let Err(error) = collect_once(&gateway, retention).await {
            gateway.metrics.claims.count(error.reason());
        }
    }
}

async fn collect_once(gateway: &Gateway, retention: Duration) -> Result<(), Error> {
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
            actix_rt::time::sleep(REMOVAL_PAUSE).await;
        }
    }
    Ok(())
}

fn is_collector(gateway: &Gateway) -> bool {
    let members = gateway.gossip.members();
    let live = members
        .iter()
        .filter(|(h, age)| h.role == Role::Gateway && !h.leaving && *age <= MAX_HEARTBEAT_AGE);
    live.map(|(h, _)| &h.host).min() == Some(&gateway.settings.host)
}
