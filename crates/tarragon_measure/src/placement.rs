//! Cost of choosing an engine.

use crate::print;
use rail_place::rank_engines;
use std::{hint::black_box, time::Instant};

/// Measures the time to rank engines for one request.
pub fn measure(engines: usize, lookups: usize) {
    let names: Vec<String> = (0..engines).map(|n| format!("engine-{n}")).collect();
    let started = Instant::now();
    for number in 0..lookups {
        let adapter = format!("base0:adapter-{number}@v1");
        black_box(rank_engines(&adapter, names.iter().map(String::as_str)));
    }
    let each = started.elapsed() / lookups.max(1) as u32;
    print("engines", engines);
    print("microseconds a lookup", each.as_micros());
    print("nanoseconds a lookup and engine", each.as_nanos() / engines.max(1) as u128);
}
