//! Size of the configuration and cost of a change.

use crate::{Result, memory::resident_bytes, print_metric};
use rail_config::{Adapter, Base, Change, Fleet, Upstream, UpstreamKind, Urgency};
use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

/// Number of base models over which adapters and engines are distributed.
const BASES: usize = 3;
/// Number of versions of each adapter.
const VERSIONS: usize = 2;

/// Measures the size of a configuration in memory and stored, the time to split and join its
/// segments, and the cost of one change.
pub fn measure(adapters: usize, upstreams: usize) -> Result<()> {
    let baseline_bytes = resident_bytes()?;
    let fleet = build_fleet(adapters, upstreams);
    let memory_bytes = resident_bytes()?.saturating_sub(baseline_bytes);
    print_metric("adapters", adapters);
    print_metric("bytes in memory", memory_bytes);
    print_metric("bytes in memory an adapter", memory_bytes / adapters.max(1) as u64);

    let started = Instant::now();
    let (head, stored) = fleet.split(1)?;
    print_metric("split ms", started.elapsed().as_millis());
    let sizes: Vec<usize> = stored.iter().map(|segment| segment.text.len()).collect();
    print_metric("segments", sizes.len());
    print_metric("stored bytes", sizes.iter().sum::<usize>());
    print_metric("largest segment bytes", sizes.iter().max().copied().unwrap_or(0));
    print_metric("head bytes", serde_json::to_string(&head)?.len());

    let started = Instant::now();
    let joined = Fleet::join(head.generation, stored.iter().map(|segment| &*segment.text))?;
    print_metric("join ms", started.elapsed().as_millis());
    print_metric(
        "bytes in memory, two generations and the text",
        resident_bytes()?.saturating_sub(baseline_bytes),
    );
    drop(joined);
    measure_change(&fleet, &stored.iter().map(|segment| &*segment.name).collect())
}

/// Measures the time to register one adapter version, and the bytes that each process then reads:
/// the head and the segments that are not in `known_segments`.
fn measure_change(fleet: &Fleet, known_segments: &BTreeSet<&str>) -> Result<()> {
    let change = Change::RegisterVersion {
        base: "base0".to_owned(),
        adapter: "adapter-0".to_owned(),
        version: "v-new".to_owned(),
    };
    let started = Instant::now();
    let Ok(next) = fleet.apply(&[change]) else {
        return Ok(());
    };
    print_metric("apply one change ms", started.elapsed().as_millis());
    let (head, stored) = next.split(2)?;
    let changed = stored.iter().filter(|segment| !known_segments.contains(&*segment.name));
    let bytes: usize = changed.map(|segment| segment.text.len()).sum();
    print_metric(
        "bytes read by each process for one change",
        bytes + serde_json::to_string(&head)?.len(),
    );
    Ok(())
}

fn build_fleet(adapters: usize, upstreams: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for base in 0..BASES {
        let base_model = Base { urgency_default: Urgency::Urgent };
        fleet.bases.insert(format!("base{base}"), base_model);
    }
    for number in 0..adapters {
        let versions = (1..=VERSIONS).map(|version| format!("v{version}")).collect();
        let base_adapters = fleet.adapters.entry(format!("base{}", number % BASES)).or_default();
        base_adapters.insert(format!("adapter-{number}"), Adapter { versions });
    }
    for number in 0..upstreams {
        fleet.upstreams.insert(format!("engine-{number}"), upstream(number));
    }
    fleet
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        kind: UpstreamKind::Engine,
        group: format!("base{}", number % BASES),
        address: SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], 9000)),
        zone: format!("zone-{}", number % 16),
        slots: 8,
        batch: 8,
        checks_fencing: true,
        leaving: false,
    }
}
