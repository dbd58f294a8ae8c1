//! Metrics of one or more runs.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait that the histogram resolves; longer ones are recorded as this one.
const MAX_RECORDED_WAIT: Duration = Duration::from_secs(7200);

/// Result of creating, reading or writing a report.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of creating, reading or writing a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The file could not be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The text could not be encoded or decoded as a report.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The plot could not be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
    /// The report has no run of this policy.
    #[error("the report has no run of policy {0:?}")]
    NoSuchPolicy(String),
}

/// How the metrics were obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// The placement decisions alone ran in virtual time, with the load times of the stand-ins.
    ReplayInVirtualTime,
    /// Real processes of a fleet ran in real time.
    RealProcesses,
}

/// Waiting times of one urgency class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WaitMetrics {
    /// Requests that were dispatched.
    pub answered: u64,
    /// Requests that reached their deadline first.
    pub expired: u64,
    /// Share of requests that waited for their adapter.
    pub share_stalled: f64,
    /// Median wait for the adapter.
    pub p50_ms: f64,
    /// 95th percentile of the wait.
    pub p95_ms: f64,
    /// 99th percentile of the wait.
    pub p99_ms: f64,
}

/// Metrics of one time window, for plots over time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct TimePoint {
    /// Start of the window, from the start of the measurement.
    pub at_s: f64,
    /// 95th percentile of the load stalls of urgent requests that arrived in the window.
    pub urgent_p95_ms: f64,
    /// Loads started a second in the window.
    pub loads_per_s: f64,
}

/// Metrics of one policy and seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunMetrics {
    /// Placement policy.
    pub policy: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Load stalls of urgent requests.
    pub urgent: WaitMetrics,
    /// Load stalls of deferrable requests, including the intended waits that gather requests for
    /// a batch.
    pub deferrable: WaitMetrics,
    /// Mean share of the batch in use, over the time in which an engine runs any request.
    pub batch_efficiency: f64,
    /// Loads started a second.
    pub loads_per_s: f64,
    /// Loads that the store delayed by more than one interval of its rate.
    pub over_rate: u64,
    /// Share of requests that needed no load: one minus the loads per request.
    pub hit_ratio: f64,
    /// Hit ratio of the optimal (Belady) eviction for one cache with the slots of all engines.
    pub belady_hit_ratio: f64,
    /// Adapters evicted while a request used them.
    pub evicted_in_use: u64,
    /// Metrics over time.
    pub points: Vec<TimePoint>,
}

/// Metrics of several policies and seeds on the same traces.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// How the metrics were obtained.
    pub method: Method,
    /// Name of the profile.
    pub profile: String,
    /// Name of the shift.
    pub shift: String,
    /// Sizes and traffic of the profile.
    pub sizes: serde_json::Value,
    /// Metrics of each run.
    pub measures: Vec<RunMetrics>,
}

/// Records the waiting times of one urgency class.
#[derive(Debug)]
pub struct WaitRecorder {
    waits_us: Histogram<u64>,
    stalled: u64,
    expired: u64,
}

impl WaitRecorder {
    /// Creates an empty recorder.
    ///
    /// # Errors
    /// Returns an error if the histogram can't be created.
    pub fn new() -> Result<Self> {
        Ok(Self {
            waits_us: Histogram::new_with_max(MAX_RECORDED_WAIT.as_micros() as u64, 3)?,
            stalled: 0,
            expired: 0,
        })
    }

    /// Records the wait of one request, and whether it was dispatched before its deadline.
    pub fn record(&mut self, wait: Duration, was_dispatched: bool) {
        self.waits_us.saturating_record(wait.as_micros() as u64);
        self.stalled += u64::from(!wait.is_zero());
        self.expired += u64::from(!was_dispatched);
    }

    /// Returns a quantile of the waits in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.waits_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the metrics of all recorded waits.
    pub fn metrics(&self) -> WaitMetrics {
        let count = self.waits_us.len();
        WaitMetrics {
            answered: count - self.expired,
            expired: self.expired,
            share_stalled: self.stalled as f64 / count.max(1) as f64,
            p50_ms: self.quantile_ms(0.5),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
        }
    }
}
