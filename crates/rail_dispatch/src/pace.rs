//! What instances report of their load.

/// How long work takes on an instance at the moment, relative to its usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    percent: u16,
}

impl Pace {
    /// Slowest and fastest pace that is believed, in percent of the usual time.
    const PERCENT_RANGE: std::ops::RangeInclusive<u64> = 10..=1000;

    /// Converts a share of the usual time in percent; `None` for zero, which no work can take.
    pub fn from_percent(percent: u64) -> Option<Self> {
        let (min, max) = (*Self::PERCENT_RANGE.start(), *Self::PERCENT_RANGE.end());
        (percent > 0).then(|| Self { percent: percent.clamp(min, max) as u16 })
    }

    /// Returns the share of the usual time in percent.
    pub fn percent(self) -> u16 {
        self.percent
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

/// Load of an instance, as it reports it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Running and waiting requests.
    pub requests: u32,
    /// How long work takes at the moment; `None` if the instance does not say.
    pub pace: Option<Pace>,
}
