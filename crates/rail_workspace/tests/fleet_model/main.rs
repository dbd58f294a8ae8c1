//! Fleets of hosts with clocks of their own that share quotas while hosts and links fail.

mod checks;
mod model;

use checks::assert_kept;
use model::{FAILURES, Failure, Fleet, Load};
use rail_workspace::Quota;
use std::time::Duration;

/// Load: many times the quota at all hosts, at few, and less than the quota. Failure: each kind.
/// Guards against hosts or issuers that use the same units twice.
#[test]
fn no_schedule_exceeds_a_quota() {
    for failure in FAILURES {
        for seed in 0..130 {
            let share = [0.2, 0.5, 1.0][seed as usize % 3];
            let small = Load { mean_cost: 1500.0, ..Load::new(29_000.0, 29_000.0, 4.0) };
            let few = Load { hosts: 2, ..Load::new(480_000.0, 480_000.0, 2.0) };
            let few = Load { mean_cost: 7000.0, ..few };
            let loads = vec![small, few, Load::new(60_000.0, 0.0, 0.8)];
            let mut fleet = Fleet::new(6, loads, failure, share, seed);
            fleet.run();
            assert_kept(&fleet);
        }
    }
}

/// Load: a workspace that sends eight times its quota, at one host, at a few, or at all. Its use is
/// judged over all schedules together, as one ends with up to a second of the rate used ahead.
#[test]
fn a_hot_workspace_gets_its_limit_and_a_small_one_is_not_refused() {
    const SCHEDULES: u64 = 8;
    for hosts in [1, 3, 24] {
        let mut used = 0.0;
        for seed in 0..SCHEDULES {
            let hot = Load { hosts, ..Load::new(29_000.0, 29_000.0, 8.0) };
            let small = Load::new(40_000.0, 40_000.0, 0.5);
            let mut fleet = Fleet::new(24, vec![hot, small], Failure::None, 0.0, seed);
            fleet.run();
            assert_kept(&fleet);
            used += fleet.used_per_s(0) / hot.quota.rate_per_s / SCHEDULES as f64;
            let served = fleet.served(1);
            assert!(served >= 0.99, "{served} of a small workspace, {hosts} hot, seed {seed}");
        }
        assert!(used >= 0.95, "{used} of the limit at {hosts} hosts");
    }
}

/// Failure: the issuer ends, and so does the next one 8 s later. A workspace that stays within its
/// quota must hardly notice.
#[test]
fn a_fleet_that_loses_its_issuer_serves_what_is_within_the_quota() {
    for seed in 0..8 {
        let large = Load::new(480_000.0, 480_000.0, 0.55);
        let small = Load::new(29_000.0, 29_000.0, 0.55);
        let mut fleet =
            Fleet::new(24, vec![large, small], Failure::IssuerKilled { every_s: 8 }, 0.0, seed);
        fleet.run();
        assert_kept(&fleet);
        for load in 0..2 {
            let served = fleet.served(load);
            assert!(served >= 0.9, "{served} served of load {load}, seed {seed}");
        }
    }
}

/// Load: a burst of a workspace whose limit falls to a quarter, or to next to nothing, meanwhile.
#[test]
fn a_lowered_limit_holds_from_then_on() {
    for (seed, factor) in (0..40).zip([0.25, 1e-6].into_iter().cycle()) {
        let load = Load::new(100_000.0, 100_000.0, 4.0);
        let later_quota =
            Quota { rate_per_s: 100_000.0 * factor, burst: 100_000.0 * factor, ..load.quota };
        let load = Load { later_quota, changes_at: Duration::from_secs(9), ..load };
        let mut fleet = Fleet::new(8, vec![load], Failure::Frozen, 0.3, seed);
        fleet.run();
        assert_kept(&fleet);
    }
}
