//! Metrics of dispatched services and of quotas.

use crate::node::Node;
use prometheus_client::metrics::gauge::Gauge;
use rail_runtime::{
    Metrics,
    metrics::{DurationHistograms, GaugeFamily, ReasonCounters},
};

/// Metrics of plain services whose instances one host chooses for all.
#[derive(Debug, Clone)]
pub struct DispatchMetrics {
    /// Requests for instances of plain services that are dispatched, by reply.
    pub replies: ReasonCounters,
    /// Time from such a request to its reply, by reply.
    pub reply_time: DurationHistograms,
    /// Requests that wait for an instance at this host.
    waiting: Gauge,
    /// Expected time of a run on each instance that this host dispatches.
    upstream_work_ms: GaugeFamily,
    /// Time by which work on it takes longer than usual, in percent.
    upstream_pace_percent: GaugeFamily,
    /// Expected time until a further request would start on it.
    upstream_wait_ms: GaugeFamily,
}

impl DispatchMetrics {
    /// Registers the metrics.
    pub fn open(registry: &Metrics) -> Self {
        Self {
            replies: registry.reason_counters(
                "dispatches",
                "Requests for instances of plain services that are dispatched, by reply",
            ),
            reply_time: registry
                .duration_histograms("dispatch", "Time until an instance was named, by reply"),
            waiting: registry
                .gauge("dispatch_waiting", "Requests that wait for an instance at this host"),
            upstream_work_ms: registry.gauge_family(
                "upstream_work_ms",
                "Expected time of a run on an instance that this host dispatches",
                "upstream",
            ),
            upstream_pace_percent: registry.gauge_family(
                "upstream_pace_percent",
                "Time that work takes on such an instance, in percent of the usual time",
                "upstream",
            ),
            upstream_wait_ms: registry.gauge_family(
                "upstream_wait_ms",
                "Expected time until a further request would start on such an instance",
                "upstream",
            ),
        }
    }

    /// Sets the gauges to the state of now.
    pub fn set_gauges(&self, node: &Node) {
        self.waiting.set(node.dispatch.waiting_count() as i64);
        let families =
            [&self.upstream_work_ms, &self.upstream_pace_percent, &self.upstream_wait_ms];
        for family in families {
            family.clear();
        }
        for status in node.dispatch.statuses(node.now()) {
            self.upstream_work_ms.set(&status.id, status.work_ms as i64);
            self.upstream_pace_percent.set(&status.id, (status.pace_factor * 100.0) as i64);
            self.upstream_wait_ms.set(&status.id, status.wait_ms as i64);
        }
    }
}

/// Metrics of the quotas of workspaces.
#[derive(Debug, Clone)]
pub struct QuotaMetrics {
    /// Decisions on charges to quotas.
    pub decisions: ReasonCounters,
    /// Calls to issuers of quotas by outcome.
    pub calls: ReasonCounters,
    /// Units of quotas that were charged, by workspace.
    pub charged: ReasonCounters,
    /// Units of requests that were refused because of a quota, by workspace.
    pub refused: ReasonCounters,
    /// Share of the quotas that this host issues, in thousandths.
    pub share_milli: Gauge,
}

impl QuotaMetrics {
    /// Registers the metrics.
    pub fn open(registry: &Metrics) -> Self {
        Self {
            decisions: registry.reason_counters("quota_decisions", "Charges to quotas by decision"),
            calls: registry.reason_counters("quota_calls", "Calls to issuers of quotas by outcome"),
            charged: registry
                .reason_counters("quota_charged", "Units charged to quotas, by workspace"),
            refused: registry.reason_counters(
                "quota_refused",
                "Units of requests that a quota refused, by workspace",
            ),
            share_milli: registry.gauge(
                "quota_share_milli",
                "Share of the quotas that this host issues, in thousandths",
            ),
        }
    }
}
