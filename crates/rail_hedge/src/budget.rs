//! Limit of second attempts, as a share of the requests.

/// Second attempts that may be sent at once after a time without any.
const MAX_CREDIT: f64 = 10.0;

/// Share of the requests that may get a second attempt; 0 for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct HedgeShare(f64);

impl HedgeShare {
    /// Returns the share if it is between 0 and 1.
    pub fn new(share: f64) -> Option<Self> {
        (0.0..=1.0).contains(&share).then_some(Self(share))
    }

    /// Returns the share as a fraction.
    pub fn as_fraction(self) -> f64 {
        self.0
    }

    /// Returns whether no request gets a second attempt.
    pub fn is_off(self) -> bool {
        self.0 <= 0.0
    }
}

/// Counts requests and second attempts of one host. As each host stays within the share of its own
/// requests, all hosts together do.
#[derive(Debug, Clone, Default)]
pub struct HedgeBudget {
    credit: f64,
    requests: u64,
    hedges: u64,
}

impl HedgeBudget {
    /// Counts a request, a share of which may be spent on second attempts.
    pub fn record_request(&mut self, share: HedgeShare) {
        self.requests += 1;
        self.credit = (self.credit + share.as_fraction()).min(MAX_CREDIT);
    }

    /// Returns whether the share leaves a second attempt.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Counts a second attempt.
    pub fn record_hedge(&mut self) {
        self.credit -= 1.0;
        self.hedges += 1;
    }

    /// Returns the second attempts as a fraction of the requests.
    pub fn used_share(&self) -> f64 {
        if self.requests == 0 { 0.0 } else { self.hedges as f64 / self.requests as f64 }
    }
}
