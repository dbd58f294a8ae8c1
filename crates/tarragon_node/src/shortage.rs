//! Reports that the memory for callers is short.

use crate::{events::Event, node::Node};
use rail_memory::Holder;
use std::{cell::Cell, time::Duration};

/// Interval between two reports while memory stays short.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// When a shortage was last reported.
#[derive(Debug, Default)]
pub struct ShortageReports {
    reported_at: Cell<Option<Duration>>,
}

/// Logs who holds the memory, unless that was logged shortly before.
pub fn report(node: &Node) {
    let now = node.now();
    let reported_at = &node.shortage_reports.reported_at;
    if reported_at.get().is_some_and(|at| now < at + REPORT_INTERVAL) {
        return;
    }
    reported_at.set(Some(now));
    let held_bytes = |holder| node.memory.held_bytes(holder);
    node.events.important(&Event::MemoryShort {
        limit_bytes: node.memory.limits().total_bytes,
        request_bytes: held_bytes(Holder::Request),
        answer_bytes: held_bytes(Holder::Answer),
        connection_bytes: held_bytes(Holder::Connection),
        connections: node.caller_connections.len(),
    });
}
