//! What must hold after a run of a fleet.

use crate::model::{END, Fleet, Load, TOLERANCE, WINDOW};
use rail_workspace::Quota;
use std::time::Duration;

/// Returns the most units that hosts may use in a window under a quota.
fn allowed(quota: Quota) -> f64 {
    let units = quota.rate_per_s * WINDOW.as_secs_f64() + quota.burst;
    units * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
}

/// Panics if a load used more than its quota allows in some window.
pub fn assert_kept(fleet: &Fleet) {
    for (load, Load { quota, changes_at, later_quota, .. }) in fleet.loads.iter().enumerate() {
        let is_changed = *changes_at < END;
        let from = if is_changed { *changes_at } else { Duration::ZERO };
        let limit = allowed(if is_changed { *later_quota } else { *quota });
        let most = fleet.most_in_window(load, from) as f64;
        let (failure, seed) = (fleet.failure, fleet.seed);
        assert!(most <= limit, "{most} of {limit} units, load {load}, {failure:?}, seed {seed}");
    }
}
