//! Replays are deterministic, and at the load of the profiles no deferrable request expires and the
//! rate of the store is not exceeded.

use rail_place::Objective;
use std::time::Duration;
use tarragon_load::{
    belady::fewest_loads,
    profile::{Profile, Shift},
    replay::replay,
    report::RunMetrics,
    trace::{Arrival, arrivals},
};

const SEED: u64 = 6;

/// Replays a shortened profile under a policy.
fn run_replay(profile: &str, shift: Shift, policy: &str) -> RunMetrics {
    let mut profile: Profile = profile.parse().expect("known profile");
    profile.warm_up = Duration::from_secs(120);
    profile.measured = Duration::from_secs(300);
    profile.deferrable.deadline = Duration::from_secs(120);
    let trace = arrivals(&profile, shift, SEED).expect("valid profile");
    let objective = Objective::new(profile.weights.0, profile.weights.1).expect("weights");
    let named_policy = (policy.parse().expect("known policy"), policy);
    replay(&profile, shift, &trace, named_policy, objective, SEED).expect("replay")
}

// Fails if a replay depends on anything but the trace, such as the wall clock or the iteration
// order of a hash map.
#[test]
fn same_seed_gives_same_metrics() {
    let runs = [(); 2].map(|()| run_replay("utility", Shift::None, "rendezvous"));
    let [first, second] = runs.map(|m| serde_json::to_string(&m).expect("plain data"));
    assert_eq!(first, second);
}

// Fails if requests starve at the planned load, or if permits let the loads exceed the rate of the
// store, also after the owner of the load budget has lost its state.
#[test]
fn no_deferrable_request_expires_and_the_store_rate_is_not_exceeded() {
    for profile in ["utility", "cooperative"] {
        for shift in [Shift::None, Shift::PermitOwner, Shift::Night] {
            let run = run_replay(profile, shift, "rendezvous");
            assert_eq!(run.deferrable.expired, 0, "{profile} {shift:?}");
            assert_eq!(run.over_rate, 0, "{profile} {shift:?}");
        }
    }
}

// Without this excess, the check that permits keep the rate would pass without any permits.
#[test]
fn loads_without_permits_exceed_the_rate() {
    assert!(run_replay("utility", Shift::None, "no-permits").over_rate > 0);
}

#[test]
fn optimal_cache_evicts_the_adapter_used_farthest_in_the_future() {
    let adapters = [1, 2, 3, 1, 2, 3];
    let at = |position: usize| Duration::from_secs(position as u64);
    let arrival = |(position, adapter)| Arrival { at: at(position), adapter, urgent: true };
    let trace: Vec<Arrival> = adapters.into_iter().enumerate().map(arrival).collect();
    // Each adapter is loaded once; with two slots, one of the three must be loaded again.
    assert_eq!(fewest_loads(&trace, 2, Duration::ZERO), 4);
    assert_eq!(fewest_loads(&trace, 3, Duration::ZERO), 3);
}
