//! Counters of the gateway.

use prometheus_client::metrics::counter::Counter;
use rail_runtime::{Metrics, metrics::Reasons};

/// Counters of the gateway.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    /// Requests answered in whole.
    pub answers: Counter,
    /// Requests refused, by reason.
    pub refusals: Reasons,
    /// Requests that failed after dispatch, by reason.
    pub failures: Reasons,
    /// Attempts at another candidate, by reason.
    pub retries: Reasons,
    /// Arrivals of keyed requests and calls for their claims, by what came of them.
    pub claims: Reasons,
    /// Broken streams, by what came of them.
    pub streams: Reasons,
    /// Requests that crash upstreams, by what was decided.
    pub crashes: Reasons,
    /// Instances of plain services that were ejected, by reason.
    pub ejections: Reasons,
}

impl GatewayMetrics {
    /// Registers all metrics.
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
