//! Notices that the store has returned from an older copy of itself.

use crate::{events::Event, node::SharedNode, registry};
use rail_revision::Era;
use rail_runtime::time_since_boot;
use std::time::Duration;

/// Records the era of a record or of a response of the store. When the store has returned from an
/// older copy, watches start again, and engines that this host does not keep must be claimed anew.
pub fn record_era(node: &SharedNode, era: Era) {
    if node.return_guard.borrow().knows(era) {
        return;
    }
    let is_kept = |engine: &&String| node.current_fence(engine).is_some();
    let kept: Vec<String> = node.owners.borrow().keys().filter(is_kept).cloned().collect();
    let engines = kept.len();
    let is_return = node.return_guard.borrow_mut().record_era(era, kept, time_since_boot());
    if is_return {
        node.metrics.store_era.set(i64::from(era));
        registry::record_store_recovery(node, Duration::ZERO);
        node.store_health.restart_watches();
        node.events.important(&Event::StoreReturned { era, kept_engines: engines });
    }
}
