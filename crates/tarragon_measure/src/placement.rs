//! Time to choose an engine.

use crate::print_metric;
use rail_place::rank_engines;
use std::{hint::black_box, time::Instant};

/// Measures the time to rank all engines for one request.
pub fn measure(engines: usize, lookups: usize) {
    let names: Vec<String> = (0..engines).map(|n| format!("engine-{n}")).collect();
    let started = Instant::now();
    for number in 0..lookups {
        let adapter = format!("base0:adapter-{number}@v1");
        black_box(rank_engines(&adapter, names.iter().map(String::as_str)));
    }
    let time_per_lookup = started.elapsed() / lookups.max(1) as u32;
    print_metric("engines", engines);
    print_metric("microseconds a lookup", time_per_lookup.as_micros());
    print_metric(
        "nanoseconds a lookup and engine",
        time_per_lookup.as_nanos() / engines.max(1) as u128,
    );
}
