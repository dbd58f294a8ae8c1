//! Requests of a workspace, and its quota.

use super::END;
use rail_workspace::{Quota, QuotaTolerance, QuotaUnit};
use std::time::Duration;

/// Window over which use is compared with the quota.
pub const WINDOW: Duration = Duration::from_secs(8);
/// Excess over a quota that is allowed.
pub const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: WINDOW, excess: 0.1, slack: 110_000.0 };

/// Demand of a workspace.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub quota: Quota,
    /// Quota from `changes_at` on.
    pub later_quota: Quota,
    pub changes_at: Duration,
    /// Units a second that callers ask for, over all hosts.
    pub demand_per_s: f64,
    /// Hosts to which they go.
    pub hosts: usize,
    pub mean_cost: f64,
}

impl Load {
    pub fn new(rate_per_s: f64, burst: f64, demand: f64) -> Self {
        let unit = QuotaUnit::Tokens { unstated: 200 };
        let quota = Quota { unit, rate_per_s, burst };
        Self {
            quota,
            later_quota: quota,
            changes_at: END,
            demand_per_s: rate_per_s * demand,
            hosts: usize::MAX,
            mean_cost: 700.0,
        }
    }

    pub fn quota_at(&self, now: Duration) -> Quota {
        if now >= self.changes_at { self.later_quota } else { self.quota }
    }
}
