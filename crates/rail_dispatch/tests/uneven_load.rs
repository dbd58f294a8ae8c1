//! Uneven load on plain services, the choice before and the one of the dispatcher side by side.

mod replay;

use replay::{Figure, Load, Outcome, Policy, replay};

const EVEN: Load = Load {
    requests_per_s: 284.0,
    wave: 0.0,
    burst: 1.0,
    noise: (1.0, 0.0),
    slowness: [1.0; 3],
    figure: Figure::True,
    seconds: 60,
};
const ALWAYS: Policy = Policy::Dispatched { stops_at_us: u64::MAX };

fn mean_of(load: Load, policy: Policy) -> Outcome {
    let outcomes: Vec<Outcome> = (1..=3).map(|seed| replay(load, policy, seed)).collect();
    let mean = |field: fn(&Outcome) -> f64| outcomes.iter().map(field).sum::<f64>() / 3.0;
    Outcome {
        mean_wait: mean(|outcome| outcome.mean_wait),
        p99_wait: mean(|outcome| outcome.p99_wait),
        late: mean(|outcome| outcome.late),
        refused: mean(|outcome| outcome.refused),
        largest_share: mean(|outcome| outcome.largest_share),
        smallest_share: mean(|outcome| outcome.smallest_share),
    }
}

const WAVES: Load = Load { wave: 0.55, ..EVEN };
const BURSTS: Load = Load { burst: 1.7, ..EVEN };
/// Shared machines: 2.5 times slower in 15% of the time, for 600 ms at a time.
const NOISE: Load = Load { noise: (2.5, 0.15), ..EVEN };
const SLOW_INSTANCE: Load = Load { slowness: [1.0, 1.0, 2.0], ..EVEN };
const ALL: Load = Load { wave: 0.55, burst: 1.5, ..NOISE };
/// Mean time of one call to the dispatcher and back, in milliseconds.
const CALL_MS: f64 = 2.1;

/// Replays a load with the choice before, the one of the dispatcher, and a perfect one.
fn compare(name: &str, load: Load) -> [Outcome; 3] {
    let policies = [Policy::Before, ALWAYS, Policy::Perfect];
    policies.map(|policy| {
        let outcome = mean_of(load, policy);
        println!("{name:13} {policy:?}: {outcome:.3?}");
        outcome
    })
}

/// Guards against a dispatcher that costs more than its calls where hosts choose well enough alone.
#[test]
fn even_loads_wait_no_longer_than_a_call() {
    for (name, load) in [("even", EVEN), ("waves", WAVES), ("bursts", BURSTS)] {
        let [before, dispatched, _] = compare(name, load);
        assert!(dispatched.mean_wait <= before.mean_wait + CALL_MS, "{name}");
        assert!(dispatched.p99_wait <= before.p99_wait, "{name}");
        assert!(dispatched.refused <= before.refused, "{name}");
    }
}

/// Each host has seen too few answers to know which instance is slow at the moment, and all of them
/// wait for it.
#[test]
fn uneven_loads_wait_a_third_less_and_nearly_as_short_as_possible() {
    for (name, load) in [("noise", NOISE), ("slow instance", SLOW_INSTANCE), ("all", ALL)] {
        let [before, dispatched, perfect] = compare(name, load);
        assert!(dispatched.mean_wait <= 0.7 * before.mean_wait, "{name}");
        assert!(dispatched.p99_wait <= 0.7 * before.p99_wait, "{name}");
        assert!(dispatched.late <= before.late, "{name}");
        assert!(dispatched.mean_wait <= 1.3 * (perfect.mean_wait + CALL_MS), "{name}");
        assert!(dispatched.p99_wait <= 1.3 * perfect.p99_wait + CALL_MS, "{name}");
    }
}

/// Demand beyond all slots for seconds: who can still be in time goes first, so that not all are
/// late.
#[test]
fn beyond_all_slots_fewer_are_late_or_refused() {
    let overload = Load { burst: 2.2, wave: 0.55, ..NOISE };
    let crowded = Load { requests_per_s: 420.0, ..NOISE };
    for (name, load) in [("overload", overload), ("crowded", crowded)] {
        let [before, dispatched, _] = compare(name, load);
        let in_vain = |outcome: Outcome| outcome.late + outcome.refused;
        assert!(in_vain(dispatched) <= 0.7 * in_vain(before), "{name}");
    }
}

/// Guards against an instance that is never tried again since it was slow once.
#[test]
fn a_slow_instance_still_gets_requests() {
    let dispatched = mean_of(SLOW_INSTANCE, ALWAYS);
    assert!(dispatched.smallest_share > 0.0 && dispatched.largest_share < 0.6, "{dispatched:?}");
}

/// An instance may report any figure, always the same or none.
#[test]
fn a_figure_that_says_nothing_is_no_worse_than_none() {
    for figure in [Figure::Always(10), Figure::Always(1000), Figure::Absent] {
        let [before, dispatched, _] = compare(&format!("{figure:?}"), Load { figure, ..NOISE });
        assert!(dispatched.mean_wait <= 0.7 * before.mean_wait, "{figure:?}");
        assert!(dispatched.p99_wait <= 0.7 * before.p99_wait, "{figure:?}");
    }
}

/// Without a dispatcher hosts choose as before.
#[test]
fn a_dispatcher_that_is_killed_costs_no_more_than_its_gain() {
    let killed = mean_of(ALL, Policy::Dispatched { stops_at_us: 30_000_000 });
    let before = mean_of(ALL, Policy::Before);
    assert!(killed.mean_wait <= before.mean_wait, "{killed:?} {before:?}");
    assert!(killed.p99_wait <= before.p99_wait, "{killed:?} {before:?}");
}

/// The other way that was weighed: reports shared twice a second send all hosts to the same
/// instance.
#[test]
fn shared_reports_are_worse_than_a_dispatcher() {
    let shared = mean_of(NOISE, Policy::Shared);
    let dispatched = mean_of(NOISE, ALWAYS);
    assert!(dispatched.p99_wait <= shared.p99_wait, "{dispatched:?} {shared:?}");
}
