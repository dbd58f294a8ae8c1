//! Tests of the adapters that a host has observed on engines.

use rail_route::ObservedAdapters;
use std::time::Duration;

fn seconds(time_s: u64) -> Duration {
    Duration::from_secs(time_s)
}

#[test]
fn an_adapter_is_presumed_resident_for_a_limited_time_after_an_answer() {
    let mut observed = ObservedAdapters::default();
    observed.record("e1", "m/a", seconds(10));
    assert!(observed.is_presumed_resident("e1", "m/a", seconds(20)));
    assert!(
        !observed.is_presumed_resident("e2", "m/a", seconds(20)),
        "another engine never answered for it"
    );
    assert!(!observed.is_presumed_resident("e1", "m/a", seconds(40)));
    observed.record("e1", "m/a", seconds(38));
    observed.remove("e1", "m/a");
    assert!(
        !observed.is_presumed_resident("e1", "m/a", seconds(39)),
        "the engine answered that it does not have it"
    );
}

#[test]
fn outdated_and_unregistered_entries_are_pruned() {
    let mut observed = ObservedAdapters::default();
    for n in 0..1000 {
        observed.record("e1", &format!("m/a{n}"), seconds(n / 10));
    }
    observed.record("e2", "m/a", seconds(100));
    observed.prune(|engine| engine != "e2", seconds(100));
    assert!(!observed.is_presumed_resident("e2", "m/a", seconds(100)));
    assert!(format!("{observed:?}").len() < 8000, "entries older than 15 s are removed");
}

/// A full engine refuses requests without a grant. Without a pause, all hosts would keep sending
/// such requests to it.
#[test]
fn requests_without_a_grant_pause_after_a_refusal() {
    let mut observed = ObservedAdapters::default();
    observed.record("e1", "m/a", seconds(10));
    observed.pause("e1", seconds(10));
    assert!(!observed.may_send_without_grant("e1", seconds(10)));
    assert!(
        observed.may_send_without_grant("e2", seconds(10)),
        "another engine has not refused a request"
    );
    assert!(
        observed.may_send_without_grant("e1", seconds(11))
            && observed.is_presumed_resident("e1", "m/a", seconds(11))
    );
}
