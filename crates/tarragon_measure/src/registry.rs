//! Cost of the configuration.

use crate::{Result, memory::resident_bytes, print};
use rail_config::{Adapter, Base, Change, Fleet, Upstream, UpstreamKind, Urgency};
use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

/// Base models of the target.
const BASES: usize = 3;
/// Versions of each adapter.
const VERSIONS: usize = 2;

/// Measures memory, stored size, and what one change costs.
pub fn measure(adapters: usize, upstreams: usize) -> Result<()> {
    let before = resident_bytes()?;
    let fleet = build(adapters, upstreams);
    let memory_bytes = resident_bytes()?.saturating_sub(before);
    print("adapters", adapters);
    print("bytes in memory", memory_bytes);
    print("bytes in memory an adapter", memory_bytes / adapters.max(1) as u64);

    let started = Instant::now();
    let (head, stored) = fleet.split(1)?;
    print("split ms", started.elapsed().as_millis());
    let sizes: Vec<usize> = stored.iter().map(|segment| segment.text.len()).collect();
    print("segments", sizes.len());
    print("stored bytes", sizes.iter().sum::<usize>());
    print("largest segment bytes", sizes.iter().max().copied().unwrap_or(0));
    print("head bytes", serde_json::to_string(&head)?.len());

    let started = Instant::now();
    let joined = Fleet::join(head.generation, stored.iter().map(|segment| &*segment.text))?;
    print("join ms", started.elapsed().as_millis());
    print(
        "bytes in memory, two generations and the text",
        resident_bytes()?.saturating_sub(before),
    );
    drop(joined);
    measure_change(&fleet, &stored.iter().map(|segment| &*segment.name).collect())
}

fn measure_change(fleet: &Fleet, known: &BTreeSet<&str>) -> Result<()> {
    let change = Change::RegisterVersion {
        base: "base0".to_owned(),
        adapter: "adapter-0".to_owned(),
        version: "v-new".to_owned(),
    };
    let started = Instant::now();
    let Ok(next) = fleet.apply(&[change]) else {
        return Ok(());
    };
    print("apply one change ms", started.elapsed().as_millis());
    let (head, stored) = next.split(2)?;
    let changed = stored.iter().filter(|segment| !known.contains(&*segment.name));
    let bytes: usize = changed.map(|segment| segment.text.len()).sum();
    print("bytes read by each process for one change", bytes + serde_json::to_string(&head)?.len());
    Ok(())
}

fn build(adapters: usize, upstreams: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for base in 0..BASES {
        let entry = Base { urgency_default: Urgency::Urgent };
        fleet.bases.insert(format!("base{base}"), entry);
    }
    for number in 0..adapters {
        let versions = (1..=VERSIONS).map(|version| format!("v{version}")).collect();
        let of_base = fleet.adapters.entry(format!("base{}", number % BASES)).or_default();
        of_base.insert(format!("adapter-{number}"), Adapter { versions });
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
