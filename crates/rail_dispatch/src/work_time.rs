//! Estimate of the time that work takes on one instance.

use crate::pace::Pace;
use std::time::Duration;

/// Time in which a reported pace fades to the mean. A shared machine changes its pace many times a
/// second, so a report is a hint for the next sends only.
const PACE_FADING_TIME: Duration = Duration::from_millis(400);
/// Time over which the mean pace is taken.
const MEAN_PACE_TIME: Duration = Duration::from_secs(5);
/// Time over which the mean work time is taken.
const MEAN_WORK_TIME: Duration = Duration::from_secs(2);
/// Smallest and largest weight of one run in the mean work time.
const RUN_WEIGHTS: [f64; 2] = [1.0 / 256.0, 0.25];
/// Largest multiple of the mean as which one run counts.
const MAX_RUN_FACTOR: f64 = 4.0;
/// Speed, relative to the other instances, from which an instance counts as slow or fast, and to
/// which it has to return to count as usual again.
const SLOW_FACTORS: [f64; 2] = [1.5, 1.25];
const FAST_FACTORS: [f64; 2] = [0.67, 0.8];

/// Speed of an instance relative to the others of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SpeedClass {
    /// Work takes much less time than elsewhere.
    Fast,
    /// Work takes about as long as elsewhere.
    #[default]
    Usual,
    /// Work takes much more time than elsewhere.
    Slow,
}

impl SpeedClass {
    /// Returns the name as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Usual => "usual",
            Self::Slow => "slow",
        }
    }

    /// Returns the class of an instance whose work takes this multiple of the usual time.
    #[must_use]
    pub fn next(self, factor: f64) -> Self {
        let [slow, no_longer_slow] = SLOW_FACTORS;
        let [fast, no_longer_fast] = FAST_FACTORS;
        match self {
            _ if factor >= slow => Self::Slow,
            _ if factor <= fast => Self::Fast,
            Self::Slow if factor > no_longer_slow => Self::Slow,
            Self::Fast if factor < no_longer_fast => Self::Fast,
            Self::Slow | Self::Fast | Self::Usual => Self::Usual,
        }
    }
}

/// Time that work takes on an instance: its mean at the usual pace, times the pace of the moment.
///
/// A figure that is wrong by a constant factor cancels out, since runs are converted by the same
/// figure before they enter the mean.
#[derive(Debug, Clone, Default)]
pub struct WorkTime {
    /// Mean time at the usual pace, in milliseconds, with the time of its last run.
    usual: Option<(f64, Duration)>,
    /// Last reported pace and its time.
    reported: Option<(f64, Duration)>,
    /// Mean of the reported paces.
    mean_factor: f64,
}

impl WorkTime {
    /// Records a pace that the instance has reported.
    pub fn record_pace(&mut self, pace: Pace, now: Duration) {
        let factor = pace.factor();
        self.mean_factor = match self.reported {
            None => factor,
            Some((_, at)) => {
                let weight = 1.0 - decay(now.saturating_sub(at), MEAN_PACE_TIME);
                self.mean_factor + weight * (factor - self.mean_factor)
            }
        };
        self.reported = Some((factor, now));
    }

    /// Records the time of a run that did not wait on the instance.
    pub fn record_run(&mut self, took: Duration, now: Duration) {
        let sample_ms = took.as_secs_f64() * 1000.0 / self.factor(now);
        let mean_ms = match self.usual {
            None => sample_ms,
            Some((mean_ms, at)) => {
                let [min_weight, max_weight] = RUN_WEIGHTS;
                let weight = 1.0 - decay(now.saturating_sub(at), MEAN_WORK_TIME);
                let bounded_ms = sample_ms.min(mean_ms * MAX_RUN_FACTOR);
                mean_ms + weight.clamp(min_weight, max_weight) * (bounded_ms - mean_ms)
            }
        };
        self.usual = Some((mean_ms, now));
    }

    /// Returns the factor by which work now takes longer than usual.
    pub fn factor(&self, now: Duration) -> f64 {
        self.reported.map_or(1.0, |(factor, at)| {
            let freshness = decay(now.saturating_sub(at), PACE_FADING_TIME);
            self.mean_factor + freshness * (factor - self.mean_factor)
        })
    }

    /// Returns the expected time of a run that starts now, in milliseconds; `None` before the
    /// first.
    pub fn expected_ms(&self, now: Duration) -> Option<f64> {
        self.usual.map(|(mean_ms, _)| mean_ms * self.factor(now))
    }

    /// Returns the mean time of runs over the last seconds, in milliseconds.
    pub fn mean_ms(&self) -> Option<f64> {
        let factor = if self.reported.is_some() { self.mean_factor } else { 1.0 };
        self.usual.map(|(mean_ms, _)| mean_ms * factor)
    }

    /// Returns the time since the last run that was recorded; `None` before the first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.usual.map(|(_, at)| now.saturating_sub(at))
    }
}

/// Returns the share that is left of something after a time.
pub(crate) fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
