//! Collects the figures of one replay.

use super::engine::Request;
use crate::{
    profile::Profile,
    report::{Measure, Point, Recorder, Result},
};
use std::time::Duration;

/// Width of one point of the plots over time.
const WINDOW: Duration = Duration::from_secs(30);

/// Figures in the making.
#[derive(Debug)]
pub struct Tally {
    start: Duration,
    end: Duration,
    urgent: Recorder,
    deferrable: Recorder,
    loads: u64,
    requests: u64,
    busy: Duration,
    running: f64,
    batch: usize,
    updated_at: Duration,
    windows: Vec<(Recorder, u64)>,
}

impl Tally {
    /// Starts for a profile.
    ///
    /// # Errors
    /// Fails when a histogram can't be made.
    pub fn open(profile: &Profile) -> Result<Self> {
        let windows = profile.measured.as_secs().div_ceil(WINDOW.as_secs());
        let windows = (0..windows).map(|_| Ok((Recorder::open()?, 0)));
        Ok(Self {
            start: profile.warm_up,
            end: profile.end(),
            urgent: Recorder::open()?,
            deferrable: Recorder::open()?,
            loads: 0,
            requests: 0,
            busy: Duration::ZERO,
            running: 0.0,
            batch: profile.batch,
            updated_at: Duration::ZERO,
            windows: windows.collect::<Result<_>>()?,
        })
    }

    /// Adds the time since the last call, in which these numbers of requests ran.
    pub fn advance(&mut self, running: impl Iterator<Item = usize>, now: Duration) {
        let from = self.updated_at.clamp(self.start, self.end);
        let elapsed = now.clamp(self.start, self.end).saturating_sub(from);
        self.updated_at = now;
        if elapsed.is_zero() {
            return;
        }
        for count in running.filter(|count| *count > 0) {
            self.busy += elapsed;
            self.running += count as f64 * elapsed.as_secs_f64();
        }
    }

    /// Records the load stall of a request that is dispatched or given up.
    pub fn record(&mut self, request: &Request, stall: Duration, is_answered: bool) {
        if request.arrived_at < self.start {
            return;
        }
        self.requests += 1;
        if !request.urgent {
            self.deferrable.record(stall, is_answered);
            return;
        }
        self.urgent.record(stall, is_answered);
        if let Some((waits, _)) = self.window(request.arrived_at) {
            waits.record(stall, is_answered);
        }
    }

    /// Counts a load.
    pub fn count_load(&mut self, now: Duration) {
        if (self.start..self.end).contains(&now) {
            self.loads += 1;
        }
        if let Some((_, loads)) = self.window(now) {
            *loads += 1;
        }
    }

    /// Sums up; the best hit ratio and the loads over the rate come from outside.
    pub fn measure(&self, policy: &str, seed: u64, over_rate: u64, belady_loads: u64) -> Measure {
        let hit_ratio = |loads: u64| 1.0 - loads as f64 / self.requests.max(1) as f64;
        let batch_time_s = self.busy.as_secs_f64() * self.batch as f64;
        let window_s = WINDOW.as_secs_f64();
        let point = |(index, (waits, loads)): (usize, &(Recorder, u64))| Point {
            at_s: index as f64 * window_s,
            urgent_p95_ms: waits.quantile_ms(0.95),
            loads_per_s: *loads as f64 / window_s,
        };
        Measure {
            policy: policy.to_owned(),
            seed,
            urgent: self.urgent.waits(),
            deferrable: self.deferrable.waits(),
            batch_efficiency: self.running / batch_time_s.max(f64::MIN_POSITIVE),
            loads_per_s: self.loads as f64 / self.end.saturating_sub(self.start).as_secs_f64(),
            over_rate,
            hit_ratio: hit_ratio(self.loads),
            belady_hit_ratio: hit_ratio(belady_loads),
            // The residency refuses such an eviction, and the replay has no other way to order one.
            evicted_in_use: 0,
            points: self.windows.iter().enumerate().map(point).collect(),
        }
    }

    fn window(&mut self, at: Duration) -> Option<&mut (Recorder, u64)> {
        let since = at.checked_sub(self.start)?;
        let index = since.as_secs() / WINDOW.as_secs();
        self.windows.get_mut(index as usize)
    }
}
