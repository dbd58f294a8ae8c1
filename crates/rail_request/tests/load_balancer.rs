//! Load balancing over the instances of a plain service.

use rail_request::{CallOutcome, LoadBalancer};
use std::time::Duration;

const INSTANCES: [&str; 3] = ["feed1", "feed2", "feed3"];

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn load_reports_are_corrected_by_calls_started_since() {
    // Between two reports an instance would otherwise look idle and receive every call.
    let mut balancer = LoadBalancer::default();
    balancer.record_report("feed1", 4, 0);
    balancer.record_report("feed2", 2, 0);
    balancer.record_report("feed3", 3, 0);
    let mut picks = Vec::new();
    for _ in 0..6 {
        let pick = balancer.pick(INSTANCES.into_iter()).expect("three instances");
        balancer.start_call(pick);
        picks.push(pick);
    }
    assert_eq!(picks, ["feed2", "feed2", "feed3", "feed1", "feed2", "feed3"]);
    let in_flight = balancer.in_flight("feed2");
    balancer.record_report("feed2", 3, in_flight);
    assert_eq!(balancer.estimated_load("feed2"), 3);
}

#[test]
fn a_failing_instance_is_ejected_until_a_probe_succeeds() {
    let mut balancer = LoadBalancer::default();
    let ejected = (0..3).map(|_| {
        balancer.start_call("feed1");
        balancer.finish_call("feed1", CallOutcome::Failed, ms(0))
    });
    assert_eq!(ejected.collect::<Vec<_>>(), [false, false, true]);
    assert_eq!(balancer.pick(INSTANCES.into_iter()), Some("feed2"));
    assert_eq!(balancer.pick(["feed1"].into_iter()), Some("feed1"));
    assert!(!balancer.is_probe_due("feed1", ms(999)));
    assert!(balancer.is_probe_due("feed1", ms(1_000)));
    assert!(balancer.record_missing_report("feed1", ms(1_000)));
    assert!(!balancer.is_probe_due("feed1", ms(2_999)));
    balancer.record_report("feed1", 0, 0);
    assert_eq!(balancer.pick(INSTANCES.into_iter()), Some("feed1"));
}
