//! Rates of requests, and what an answer says about one.

use serde::{Deserialize, Serialize};

/// Rate of requests in millionths of a request a second, so that hosts can compare and send it
/// exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    micros_per_s: u64,
}

/// Greatest rate; one that is named higher limits nothing.
const MAX_PER_S: f64 = 1e6;

impl RequestRate {
    /// Creates a rate from requests a second. Returns `None` if that isn't a number, or is
    /// negative.
    pub fn per_second(requests_per_s: f64) -> Option<Self> {
        let is_rate = requests_per_s.is_finite() && requests_per_s >= 0.0;
        is_rate.then(|| Self { micros_per_s: (requests_per_s.min(MAX_PER_S) * 1e6).round() as u64 })
    }

    /// Returns the rate in requests a second.
    pub fn requests_per_s(self) -> f64 {
        self.micros_per_s as f64 / 1e6
    }
}

/// What an answer of an upstream says about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStatement {
    /// The upstream takes this rate from all hosts together.
    Named(RequestRate),
    /// The upstream names no limit.
    NotNamed,
    /// The answer says nothing that can be used, so what was known stays.
    Unreadable,
}

impl LimitStatement {
    /// Reads the values of the header that names the limit. Where several name one, the lowest
    /// holds.
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let mut statement = Self::NotNamed;
        for value in values {
            let rate = value.and_then(|text| text.trim().parse().ok()).map(RequestRate::per_second);
            statement = match (rate.flatten(), statement) {
                (Some(rate), Self::Named(lowest)) => Self::Named(rate.min(lowest)),
                (Some(rate), _) => Self::Named(rate),
                (None, Self::Named(lowest)) => Self::Named(lowest),
                (None, _) => Self::Unreadable,
            };
        }
        statement
    }
}
