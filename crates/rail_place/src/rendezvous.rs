//! Rendezvous hashing of adapters over engines.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Orders engines by their hash with the adapter, most preferred first.
///
/// All hosts compute the same order, and an engine that joins or leaves moves only the adapters
/// that prefer it.
///
/// ```
/// let engines = ["e1", "e2", "e3"];
/// let ranked = rail_place::rank_engines("llama:alerts@v1", engines.iter().copied());
/// assert_eq!(ranked.len(), 3);
/// ```
pub fn rank_engines<'a>(adapter: &str, engines: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = engines.collect();
    ranked.sort_by_cached_key(|engine| Reverse(xxh3_64(format!("{adapter}/{engine}").as_bytes())));
    ranked
}
