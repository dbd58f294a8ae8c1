//! Metrics of the gateway.

use prometheus_client::metrics::counter::Counter;
use rail_runtime::{Metrics, metrics::ReasonCounters};

/// Counters of the gateway, as shown in its metrics.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    /// Requests with a complete response.
    pub answers: Counter,
    /// Calls that ended with a problem and did not run the request, by reason.
    pub refusals: ReasonCounters,
    /// Requests that may have run and have no complete response, by reason.
    pub failures: ReasonCounters,
    /// Attempts that did not succeed, by the reason for which another engine or instance is tried.
    pub retries: ReasonCounters,
    /// Requests with an idempotency key and platform calls for their claims, by result.
    pub claims: ReasonCounters,
    /// Interrupted streams, by whether they were resumed.
    pub streams: ReasonCounters,
    /// Crashes and quarantine decisions, by result.
    pub crashes: ReasonCounters,
    /// Instances of plain services that were ejected, by reason.
    pub ejections: ReasonCounters,
}

impl GatewayMetrics {
    /// Registers the counters.
    pub fn register(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.counter("gateway_answers", "Requests answered in whole"),
            refusals: metrics.reason_counters("gateway_refusals", "Requests refused"),
            failures: metrics
                .reason_counters("gateway_failures", "Requests that failed after dispatch"),
            retries: metrics.reason_counters("gateway_retries", "Attempts at another candidate"),
            streams: metrics
                .reason_counters("gateway_streams", "Broken streams, by what came of them"),
            crashes: metrics.reason_counters("gateway_crashes", "Requests that crash upstreams"),
            ejections: metrics
                .reason_counters("gateway_ejections", "Ejected instances of services"),
            claims: metrics.reason_counters("gateway_claims", "Arrivals of keyed requests"),
        }
    }
}
