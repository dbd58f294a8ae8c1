//! Replays are repeatable, and keep what the product promises at the sized load.

use rail_place::Objective;
use std::time::Duration;
use tarragon_load::{
    belady::fewest_loads,
    profile::{Profile, Shift},
    replay::replay,
    report::Measure,
    trace::{Arrival, arrivals},
};

const SEED: u64 = 6;

fn measure(profile: &str, shift: Shift, policy: &str) -> Measure {
    let mut profile: Profile = profile.parse().expect("known profile");
    profile.warm_up = Duration::from_secs(120);
    profile.measured = Duration::from_secs(300);
    profile.deferrable.deadline = Duration::from_secs(120);
    let trace = arrivals(&profile, shift, SEED).expect("valid profile");
    let objective = Objective::new(profile.weights.0, profile.weights.1).expect("weights");
    let chosen = (policy.parse().expect("known policy"), policy);
    replay(&profile, shift, &trace, chosen, objective, SEED).expect("replay")
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let runs = [(); 2].map(|()| measure("utility", Shift::None, "rendezvous"));
    let [first, second] = runs.map(|m| serde_json::to_string(&m).expect("plain data"));
    assert_eq!(first, second);
}

#[test]
fn every_request_is_answered_and_the_store_is_never_over_its_rate() {
    for profile in ["utility", "cooperative"] {
        for shift in [Shift::None, Shift::PermitOwner, Shift::Night] {
            let run = measure(profile, shift, "rendezvous");
            assert_eq!(run.deferrable.expired, 0, "{profile} {shift:?}");
            assert_eq!(run.over_rate, 0, "{profile} {shift:?}");
        }
    }
}

#[test]
fn loads_without_permits_exceed_the_rate() {
    assert!(measure("utility", Shift::None, "no-permits").over_rate > 0);
}

#[test]
fn the_best_cache_keeps_what_is_used_next() {
    let order = [1, 2, 3, 1, 2, 3];
    let at = |position: usize| Duration::from_secs(position as u64);
    let arrival = |(position, adapter)| Arrival { at: at(position), adapter, urgent: true };
    let trace: Vec<Arrival> = order.into_iter().enumerate().map(arrival).collect();
    // Three first loads; with two slots one of the three adapters must come again.
    assert_eq!(fewest_loads(&trace, 2, Duration::ZERO), 4);
    assert_eq!(fewest_loads(&trace, 3, Duration::ZERO), 3);
}
