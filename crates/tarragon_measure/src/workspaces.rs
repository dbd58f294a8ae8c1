//! Memory of the keys of workspaces, and time to decide for which one a request runs.

use crate::{Result, memory::resident_bytes, print_metric};
use rail_workspace::{
    Key, KeyBounds, WorkspaceEntry, WorkspaceTable, WorkspaceTerms, access::decide,
};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Decisions over which the time of one is averaged.
const DECISIONS: usize = 1_000_000;

/// Measures a table of `workspaces` that share `keys` evenly.
pub fn measure(workspaces: usize, keys: usize) -> Result<()> {
    let names: Vec<String> = (0..workspaces).map(|n| format!("workspace{n}")).collect();
    let keys: Vec<String> = (0..keys).map(|n| format!("{n:020x}")).collect();
    let entries = names.iter().enumerate().map(|(index, name)| {
        let own = keys.iter().skip(index).step_by(workspaces.max(1)).map(|key| Key::new(key));
        let terms = Ok(WorkspaceTerms { priority: None, quota: None });
        WorkspaceEntry { name, keys: own.collect(), terms }
    });
    let entries: Vec<WorkspaceEntry<'_>> = entries.collect();
    let before = resident_bytes()?;
    let started = Instant::now();
    let table = WorkspaceTable::new([7; 32], entries);
    let build_time = started.elapsed();
    print_metric("workspaces", workspaces);
    print_metric("keys", keys.len());
    print_metric("bytes of memory", resident_bytes()?.saturating_sub(before));
    print_metric("milliseconds to build the table", build_time.as_millis());
    let known: Vec<String> = keys.iter().map(|key| format!("Bearer {key}")).collect();
    print_metric("nanoseconds a decision, known key", decision_ns(&table, &known));
    let unknown: Vec<String> = keys.iter().map(|key| format!("Bearer x{key}")).collect();
    print_metric("nanoseconds a decision, unknown key", decision_ns(&table, &unknown));
    Ok(())
}

/// Returns the mean time of reading a header and deciding.
fn decision_ns(table: &WorkspaceTable, headers: &[String]) -> u128 {
    let (age, bound) = (Some(Duration::from_millis(500)), Duration::from_secs(3));
    let bounds = KeyBounds::new(bound, Some(bound), Duration::ZERO);
    let started = Instant::now();
    for header in headers.iter().cycle().take(DECISIONS) {
        let key = Key::read([header.as_bytes()]);
        // Whether the request runs does not matter here.
        let _decision = black_box(decide(table, key, age, &bounds));
    }
    started.elapsed().as_nanos() / DECISIONS as u128
}
