//! The fewest loads that any order of evictions needs for a trace.

use crate::trace::Arrival;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Counts the loads from `start` on of a cache of this size that knows the future.
///
/// The requests are served in the order of arrival, from one cache of all slots.
pub fn fewest_loads(trace: &[Arrival], slots: usize, start: Duration) -> u64 {
    let next_uses = next_uses(trace);
    let mut by_next_use = BTreeSet::new();
    let mut cached = HashMap::new();
    let mut loads = 0;
    for (arrival, next_use) in trace.iter().zip(next_uses) {
        if let Some(old) = cached.insert(arrival.adapter, next_use) {
            by_next_use.remove(&(old, arrival.adapter));
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

/// Gives the position of the next request for the same adapter, for each request.
fn next_uses(trace: &[Arrival]) -> Vec<usize> {
    let mut next = HashMap::new();
    let mut uses = vec![usize::MAX; trace.len()];
    for (position, arrival) in trace.iter().enumerate().rev() {
        if let Some(use_at) = next.insert(arrival.adapter, position) {
            uses[position] = use_at;
        }
    }
    uses
}
