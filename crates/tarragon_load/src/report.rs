//! Figures of one or more runs.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait that is told apart.
const LONGEST_WAIT: Duration = Duration::from_secs(7200);

/// Result of making a report.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a report can't be made, read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A histogram could not be made.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The file could not be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The text is not a report.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The plot could not be drawn.
    #[error("plot: {0}")]
    Plot(String),
    /// The report has no runs of this policy.
    #[error("no run of policy {0:?}")]
    NoSuchPolicy(String),
}

/// How the figures came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// The decision crates alone, in virtual time, with the stand-ins' load-time formula.
    ReplayInVirtualTime,
    /// Real processes of a fleet, in real time.
    RealProcesses,
}

/// Waiting times of one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Waits {
    /// Requests answered.
    pub answered: u64,
    /// Requests given up at their deadline.
    pub expired: u64,
    /// Share of requests that waited for a load.
    pub share_stalled: f64,
    /// Median time spent waiting for the adapter.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// One point of a plot over time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Point {
    /// Time since measuring started.
    pub at_s: f64,
    /// 95th percentile of urgent load stalls in the window.
    pub urgent_p95_ms: f64,
    /// Loads a second in the window.
    pub loads_per_s: f64,
}

/// Figures of one policy and seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Measure {
    /// Placement policy.
    pub policy: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Load stalls of urgent requests.
    pub urgent: Waits,
    /// Load stalls of deferrable requests; gathering on purpose counts as stall.
    pub deferrable: Waits,
    /// Mean share of the batch in use while an engine runs anything.
    pub batch_efficiency: f64,
    /// Loads a second.
    pub loads_per_s: f64,
    /// Loads that the store delayed because its rate was exceeded.
    pub over_rate: u64,
    /// Share of requests that needed no load of their own.
    pub hit_ratio: f64,
    /// The same for a cache of all slots that knows the future.
    pub belady_hit_ratio: f64,
    /// Adapters evicted while they served a request.
    pub evicted_in_use: u64,
    /// Development over time.
    pub points: Vec<Point>,
}

/// Figures of several policies and seeds on the same traces.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// How the figures came about.
    pub method: Method,
    /// Profile name.
    pub profile: String,
    /// Shift name.
    pub shift: String,
    /// Sizes of the profile.
    pub sizes: serde_json::Value,
    /// All runs.
    pub measures: Vec<Measure>,
}

/// Collects waiting times.
#[derive(Debug)]
pub struct Recorder {
    micros: Histogram<u64>,
    stalled: u64,
    expired: u64,
}

impl Recorder {
    /// Starts empty.
    ///
    /// # Errors
    /// Fails when the histogram can't be made.
    pub fn open() -> Result<Self> {
        Ok(Self {
            micros: Histogram::new_with_max(LONGEST_WAIT.as_micros() as u64, 3)?,
            stalled: 0,
            expired: 0,
        })
    }

    /// Records the wait of one request.
    pub fn record(&mut self, wait: Duration, is_answered: bool) {
        self.micros.saturating_record(wait.as_micros() as u64);
        self.stalled += u64::from(!wait.is_zero());
        self.expired += u64::from(!is_answered);
    }

    /// Gives a percentile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Sums up.
    pub fn waits(&self) -> Waits {
        let count = self.micros.len();
        Waits {
            answered: count - self.expired,
            expired: self.expired,
            share_stalled: self.stalled as f64 / count.max(1) as f64,
            p50_ms: self.quantile_ms(0.5),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
        }
    }
}
