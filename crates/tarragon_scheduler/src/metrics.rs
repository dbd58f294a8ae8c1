//! Metrics of the scheduler.

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use rail_runtime::{Metrics, metrics::ReasonCounters};
use std::time::Duration;

/// Counters and gauges of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerMetrics {
    /// Requests refused before they ran, by reason.
    pub refusals: ReasonCounters,
    /// Requests refused by admission, by reason.
    pub sheds: ReasonCounters,
    /// Requests that ended with a complete response.
    pub answers: Counter,
    /// Requests that failed after dispatch, by reason.
    pub failures: ReasonCounters,
    /// Adapter loads, by result.
    pub loads: ReasonCounters,
    /// Adapter evictions.
    pub evictions: Counter,
    /// Load permits, by origin: the owner of the budget, or the static share.
    pub permits: ReasonCounters,
    /// Placement steps that were planned but no longer possible, by reason.
    pub undone_steps: ReasonCounters,
    /// Dispatched requests that had waited for their adapter, by class.
    pub stalled: ReasonCounters,
    /// Total time that dispatched requests had waited for their adapter, in milliseconds.
    pub stall_ms: Counter,
    /// Session events, by kind.
    pub session_events: ReasonCounters,
    /// Deleted records of ended sessions.
    pub collected_sessions: Counter,
    /// Number of owned engines.
    pub owned_engines: Gauge,
}

impl SchedulerMetrics {
    /// Registers all metrics of the scheduler.
    pub fn register(metrics: &Metrics) -> Self {
        Self {
            refusals: metrics.reason_counters("scheduler_refusals", "Requests refused as not run"),
            sheds: metrics.reason_counters("scheduler_sheds", "Requests that admission refused"),
            answers: metrics.counter("scheduler_answers", "Requests answered in whole"),
            failures: metrics
                .reason_counters("scheduler_failures", "Requests that failed after dispatch"),
            loads: metrics.reason_counters("scheduler_loads", "Adapter loads by result"),
            evictions: metrics.counter("scheduler_evictions", "Adapter evictions"),
            permits: metrics.reason_counters("scheduler_permits", "Load permits by origin"),
            undone_steps: metrics
                .reason_counters("scheduler_undone_steps", "Placement steps no longer possible"),
            stalled: metrics
                .reason_counters("scheduler_stalled", "Requests that waited for a load"),
            stall_ms: metrics.counter("scheduler_stall_ms", "Time spent waiting for loads"),
            session_events: metrics.reason_counters("scheduler_session_events", "Session events"),
            collected_sessions: metrics
                .counter("scheduler_collected_sessions", "Records of ended sessions deleted"),
            owned_engines: metrics.gauge("scheduler_owned_engines", "Engines owned"),
        }
    }

    /// Counts a dispatched request that had waited for its adapter, and the time of the wait.
    pub fn count_stall(&self, urgent: bool, stall: Duration) {
        if !stall.is_zero() {
            self.stalled.count(if urgent { "urgent" } else { "deferrable" });
            self.stall_ms.inc_by(stall.as_millis() as u64);
        }
    }
}
