//! Metrics of the gateway.

use prometheus_client::metrics::counter::Counter;
use rail_runtime::{Metrics, metrics::Reasons};

/// Counters of the gateway, as shown in its metrics.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    /// Requests with a complete response.
    pub answers: Counter,
    /// Calls that ended with a problem and did not run the request, by reason.
    pub refusals: Reasons,
    /// Requests that may have run and have no complete response, by reason.
    pub failures: Reasons,
    /// Attempts that did not succeed, by the reason for which another engine or instance is tried.
    pub retries: Reasons,
    /// Requests with an idempotency key and platform calls for their claims, by result.
    pub claims: Reasons,
    /// Interrupted streams, by whether they were resumed.
    pub streams: Reasons,
    /// Crashes and quarantine decisions, by result.
    pub crashes: Reasons,
    /// Instances of plain services that were ejected, by reason.
    pub ejections: Reasons,
}

impl GatewayMetrics {
    /// Registers the counters.
    pub fn register(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.counter("gateway_answers", "Requests answered in whole"),
            refusals: metrics.reasons("gateway_refusals", "Requests refused"),
            failures: metrics.reasons("gateway_failures", "Requests that failed after dispatch"),
            retries: metrics.reasons("gateway_retries", "Attempts at another candidate"),
            streams: metrics.reasons("gateway_streams", "Broken streams, by what came of them"),
            crashes: metrics.reasons("gateway_crashes", "Requests that crash upstreams"),
            ejections: metrics.reasons("gateway_ejections", "Ejected instances of services"),
            claims: metrics.reasons("gateway_claims", "Arrivals of keyed requests"),
        }
    }
}
