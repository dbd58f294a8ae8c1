//! What a workspace may use, and what a request costs.

use std::time::Duration;

/// Share of the margin that hosts may use on credit.
const CREDIT_SHARE: f64 = 0.35;
/// Share of the margin that is added to the burst.
const BURST_SHARE: f64 = 0.3;
/// Share of the margin by which an issuer's bucket may fall below zero.
const OVERDRAFT_SHARE: f64 = 0.15;
/// Share of the margin that charges may use which were given back late.
const GIVE_BACK_SHARE: f64 = 0.1;
/// Longest time after which a charge can be given back.
const MAX_GIVE_BACK_TIME: Duration = Duration::from_secs(1);

/// What the quota of a workspace counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests, whatever their size.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// Cost in tokens of a request that does not state its size.
        unstated: u32,
    },
}

impl QuotaUnit {
    /// Returns the cost of a request in this unit. `stated_tokens` is the sum of its prompt and the
    /// longest answer that it asks for; `None` if it does not state them.
    pub fn cost(self, stated_tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { unstated } => stated_tokens.unwrap_or_else(|| unstated.into()),
        }
    }
}

/// Limit of a workspace over all hosts together: a rate, and what may be used at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second; greater than 0.
    pub rate_per_s: f64,
    /// Units that may be used at once on top of the rate; not negative.
    pub burst: f64,
}

/// How far a quota may be exceeded, as the operators set it: in any window the hosts together may
/// use `(rate x window + burst) x (1 + excess) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Excess as a share of the quota.
    pub excess: f64,
    /// Excess in units, whatever the quota.
    pub slack: f64,
}

/// Parts of the tolerance of a quota that hosts and issuer may use, so that most requests need no
/// message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaMargin {
    /// Units that all hosts together may use before the issuer has deducted them.
    pub credit: f64,
    /// Units that the issuer's bucket holds beyond the burst.
    pub burst: f64,
    /// Units by which the issuer's bucket may fall below zero, so that a large request need not
    /// wait until others leave it room.
    pub overdraft: f64,
    /// Time after which a charge is not given back any more.
    pub give_back_time: Duration,
}

impl Quota {
    /// Divides the tolerance of the quota.
    pub fn margin(&self, tolerance: QuotaTolerance) -> QuotaMargin {
        let allowed = self.rate_per_s * tolerance.window.as_secs_f64() + self.burst;
        let margin = allowed * tolerance.excess + tolerance.slack;
        let give_back_s = GIVE_BACK_SHARE * margin / self.rate_per_s;
        QuotaMargin {
            credit: CREDIT_SHARE * margin,
            burst: BURST_SHARE * margin,
            overdraft: OVERDRAFT_SHARE * margin,
            give_back_time: Duration::try_from_secs_f64(give_back_s)
                .map_or(MAX_GIVE_BACK_TIME, |time| time.min(MAX_GIVE_BACK_TIME)),
        }
    }

    /// Returns the units that one of this many hosts may use on credit.
    pub fn host_credit(&self, tolerance: QuotaTolerance, hosts: usize) -> u64 {
        (self.margin(tolerance).credit / hosts.max(1) as f64) as u64
    }
}
