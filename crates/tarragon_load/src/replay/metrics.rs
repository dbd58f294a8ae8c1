//! Collects the metrics of one replay.

use super::engine::Request;
use crate::{
    profile::Profile,
    report::{Result, RunMetrics, TimePoint, WaitRecorder},
};
use std::time::Duration;

/// Time window of one point of the plots over time.
const WINDOW: Duration = Duration::from_secs(30);

/// Accumulates the metrics of a replay over its measured time.
#[derive(Debug)]
pub struct MetricsCollector {
    start: Duration,
    end: Duration,
    urgent: WaitRecorder,
    deferrable: WaitRecorder,
    loads: u64,
    requests: u64,
    /// Sum over the engines of the time in which each ran any request.
    busy: Duration,
    /// Integral of the running requests over time.
    running_request_s: f64,
    batch: usize,
    updated_at: Duration,
    /// Stalls of urgent requests and number of loads in each time window.
    windows: Vec<(WaitRecorder, u64)>,
}

impl MetricsCollector {
    /// Creates a collector for the measured time of a profile.
    ///
    /// # Errors
    /// Returns an error if a histogram can't be created.
    pub fn new(profile: &Profile) -> Result<Self> {
        let window_count = profile.measured.as_secs().div_ceil(WINDOW.as_secs());
        let windows = (0..window_count).map(|_| Ok((WaitRecorder::new()?, 0)));
        Ok(Self {
            start: profile.warm_up,
            end: profile.end(),
            urgent: WaitRecorder::new()?,
            deferrable: WaitRecorder::new()?,
            loads: 0,
            requests: 0,
            busy: Duration::ZERO,
            running_request_s: 0.0,
            batch: profile.batch,
            updated_at: Duration::ZERO,
            windows: windows.collect::<Result<_>>()?,
        })
    }

    /// Adds the time since the last call, in which the engines ran these numbers of requests.
    pub fn advance(&mut self, running: impl Iterator<Item = usize>, now: Duration) {
        let from = self.updated_at.clamp(self.start, self.end);
        let elapsed = now.clamp(self.start, self.end).saturating_sub(from);
        self.updated_at = now;
        if elapsed.is_zero() {
            return;
        }
        for count in running.filter(|count| *count > 0) {
            self.busy += elapsed;
            self.running_request_s += count as f64 * elapsed.as_secs_f64();
        }
    }

    /// Records the load stall of a request that was dispatched or has expired.
    pub fn record(&mut self, request: &Request, stall: Duration, was_dispatched: bool) {
        if request.arrived_at < self.start {
            return;
        }
        self.requests += 1;
        if !request.urgent {
            self.deferrable.record(stall, was_dispatched);
            return;
        }
        self.urgent.record(stall, was_dispatched);
        if let Some((waits, _)) = self.window(request.arrived_at) {
            waits.record(stall, was_dispatched);
        }
    }

    /// Counts a load that starts now.
    pub fn count_load(&mut self, now: Duration) {
        if (self.start..self.end).contains(&now) {
            self.loads += 1;
        }
        if let Some((_, loads)) = self.window(now) {
            *loads += 1;
        }
    }

    /// Returns the metrics. The store supplies `over_rate`, the optimal eviction `belady_loads`.
    pub fn run_metrics(
        &self,
        policy: &str,
        seed: u64,
        over_rate: u64,
        belady_loads: u64,
    ) -> RunMetrics {
        let hit_ratio = |loads: u64| 1.0 - loads as f64 / self.requests.max(1) as f64;
        let batch_time_s = self.busy.as_secs_f64() * self.batch as f64;
        let window_s = WINDOW.as_secs_f64();
        let point = |(index, (waits, loads)): (usize, &(WaitRecorder, u64))| TimePoint {
            at_s: index as f64 * window_s,
            urgent_p95_ms: waits.quantile_ms(0.95),
            loads_per_s: *loads as f64 / window_s,
        };
        RunMetrics {
            policy: policy.to_owned(),
            seed,
            urgent: self.urgent.metrics(),
            deferrable: self.deferrable.metrics(),
            batch_efficiency: self.running_request_s / batch_time_s.max(f64::MIN_POSITIVE),
            loads_per_s: self.loads as f64 / self.end.saturating_sub(self.start).as_secs_f64(),
            over_rate,
            hit_ratio: hit_ratio(self.loads),
            belady_hit_ratio: hit_ratio(belady_loads),
            // The planner's residency refuses to evict an adapter in use, and the replay evicts
            // only through it.
            evicted_in_use: 0,
            points: self.windows.iter().enumerate().map(point).collect(),
        }
    }

    /// Returns the time window of a moment, if it is in the measured time.
    fn window(&mut self, at: Duration) -> Option<&mut (WaitRecorder, u64)> {
        let since = at.checked_sub(self.start)?;
        let index = since.as_secs() / WINDOW.as_secs();
        self.windows.get_mut(index as usize)
    }
}
