//! Choice among the instances of a plain service.

use rail_request::{Balance, CallEnd};
use std::time::Duration;

const NAMES: [&str; 3] = ["feed1", "feed2", "feed3"];

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_lagged_report_is_corrected_by_own_calls() {
    let mut balance = Balance::default();
    balance.report("feed1", 4, 0);
    balance.report("feed2", 2, 0);
    balance.report("feed3", 3, 0);
    let mut picks = Vec::new();
    for _ in 0..6 {
        let pick = balance.pick(NAMES.into_iter()).expect("three instances");
        balance.start(pick);
        picks.push(pick);
    }
    assert_eq!(picks, ["feed2", "feed2", "feed3", "feed1", "feed2", "feed3"]);
    let own = balance.in_flight("feed2");
    balance.report("feed2", 3, own);
    assert_eq!(balance.load("feed2"), 3);
}

#[test]
fn an_instance_that_fails_is_ejected_until_a_probe_is_answered() {
    let mut balance = Balance::default();
    let fails = (0..3).map(|_| {
        balance.start("feed1");
        balance.finish("feed1", CallEnd::Failed, at(0))
    });
    assert_eq!(fails.collect::<Vec<_>>(), [false, false, true]);
    assert_eq!(balance.pick(NAMES.into_iter()), Some("feed2"));
    assert_eq!(balance.pick(["feed1"].into_iter()), Some("feed1"));
    assert!(!balance.is_probe_due("feed1", at(999)));
    assert!(balance.is_probe_due("feed1", at(1_000)));
    assert!(balance.miss_report("feed1", at(1_000)));
    assert!(!balance.is_probe_due("feed1", at(2_999)));
    balance.report("feed1", 0, 0);
    assert_eq!(balance.pick(NAMES.into_iter()), Some("feed1"));
}
