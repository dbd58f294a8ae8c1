//! Write rate of sessions and time to assign engines to owners.

use crate::{Result, print_metric};
use rail_lease::{SessionRecord, ownership::preferred_owners};
use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

/// Renewals of a session in one time to live.
const RENEWALS_PER_TTL: u64 = 3;
/// Availability zones over which hosts and engines are distributed.
const ZONES: usize = 16;

/// Measures the rate of session renewals, the bytes that watchers receive, the time to assign all
/// engines, and how many engines change their owner when a host is lost.
pub fn measure(hosts: usize, engines: usize, ttl_ms: u64) -> Result<()> {
    let sessions: Vec<SessionRecord> = (0..hosts).map(|n| session(n, ttl_ms)).collect();
    let renewals_per_s = hosts as f64 * RENEWALS_PER_TTL as f64 * 1000.0 / ttl_ms as f64;
    let record_bytes =
        sessions.first().map(serde_json::to_string).transpose()?.map_or(0, |t| t.len());
    print_metric("hosts", hosts);
    print_metric("renewals a second", format!("{renewals_per_s:.1}"));
    print_metric("session record bytes", record_bytes);
    print_metric(
        "bytes a second to each process that watches all",
        (renewals_per_s * record_bytes as f64) as u64,
    );
    let resources: BTreeMap<String, String> =
        (0..engines).map(|n| (format!("engine-{n}"), zone(n))).collect();
    let started = Instant::now();
    let preferred = preferred_owners(&sessions, &resources);
    print_metric("milliseconds to assign all engines", started.elapsed().as_millis());
    let mut engine_counts = BTreeMap::<u64, usize>::new();
    for session_id in preferred.values() {
        *engine_counts.entry(*session_id).or_default() += 1;
    }
    print_metric(
        "engines of the busiest owner",
        engine_counts.values().max().copied().unwrap_or(0),
    );
    let moved = count_moved_after_loss(&sessions, &resources, &preferred);
    print_metric("engines that move when one host is lost", moved);
    Ok(())
}

/// Counts the engines whose preferred owner changes when the first host is lost.
fn count_moved_after_loss(
    sessions: &[SessionRecord],
    resources: &BTreeMap<String, String>,
    before: &BTreeMap<String, u64>,
) -> usize {
    let after = preferred_owners(sessions.get(1..).unwrap_or_default(), resources);
    before.iter().filter(|(engine, owner)| after.get(*engine) != Some(owner)).count()
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn session(number: usize, ttl_ms: u64) -> SessionRecord {
    SessionRecord {
        session_id: number as u64 + 1,
        host: format!("host-{number}"),
        zone: zone(number),
        address: SocketAddr::from(([127, 1, (number / 250) as u8, (number % 250) as u8], 7402)),
        ttl_ms,
        renewals: 100_000,
        leaving: false,
        revoked: false,
        witnesses: Vec::new(),
    }
}
