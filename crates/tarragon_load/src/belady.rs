//! Belady's optimal eviction: the fewest loads with which any eviction order can serve a trace.

use crate::trace::Arrival;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Counts the loads from `start` on in one cache with `slots` slots, which evicts the adapter whose
/// next request is farthest in the future. The requests are served in the order of arrival.
pub fn fewest_loads(trace: &[Arrival], slots: usize, start: Duration) -> u64 {
    let next_uses = next_uses(trace);
    let mut by_next_use = BTreeSet::new();
    let mut cached = HashMap::new();
    let mut loads = 0;
    for (arrival, next_use) in trace.iter().zip(next_uses) {
        if let Some(previous_use) = cached.insert(arrival.adapter, next_use) {
            by_next_use.remove(&(previous_use, arrival.adapter));
        } else {
            loads += u64::from(arrival.at >= start);
        }
        by_next_use.insert((next_use, arrival.adapter));
        if cached.len() > slots
            && let Some((_, farthest)) = by_next_use.pop_last()
        {
            cached.remove(&farthest);
        }
    }
    loads
}

/// Returns, for each request, the position of the next request for the same adapter; `usize::MAX`
/// if there is none.
fn next_uses(trace: &[Arrival]) -> Vec<usize> {
    let mut next_positions = HashMap::new();
    let mut uses = vec![usize::MAX; trace.len()];
    for (position, arrival) in trace.iter().enumerate().rev() {
        if let Some(next_position) = next_positions.insert(arrival.adapter, position) {
            uses[position] = next_position;
        }
    }
    uses
}
