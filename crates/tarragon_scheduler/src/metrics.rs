//! Counters of the scheduler.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use rail_runtime::{Metrics, metrics::Reasons};

/// Counters and gauges of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerMetrics {
    /// Requests refused as not run, by reason.
    pub refusals: Reasons,
    /// Requests that ended with a whole answer.
    pub answers: Counter,
    /// Requests that ended without a whole answer after dispatch, by reason.
    pub failures: Reasons,
    /// Adapter loads, by result.
    pub loads: Reasons,
    /// Adapter evictions.
    pub evictions: Counter,
    /// Session events, by kind.
    pub session_events: Reasons,
    /// Engines owned.
    pub owned_engines: Gauge,
}

impl SchedulerMetrics {
    /// Registers all metrics.
    pub fn register(metrics: &Metrics) -> Self {
        Self {
            refusals: metrics.reasons("scheduler_refusals", "Requests refused as not run"),
            answers: metrics.counter("scheduler_answers", "Requests answered in whole"),
            failures: metrics.reasons("scheduler_failures", "Requests that failed after dispatch"),
            loads: metrics.reasons("scheduler_loads", "Adapter loads by result"),
            evictions: metrics.counter("scheduler_evictions", "Adapter evictions"),
            session_events: metrics.reasons("scheduler_session_events", "Session events"),
            owned_engines: metrics.gauge("scheduler_owned_engines", "Engines owned"),
        }
    }
}
