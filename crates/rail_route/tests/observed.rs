//! Adapters that a host has seen on engines.

use rail_route::ObservedAdapters;
use std::time::Duration;

fn s(time_s: u64) -> Duration {
    Duration::from_secs(time_s)
}

#[test]
fn an_adapter_is_believed_for_some_time_after_its_answer() {
    let mut seen = ObservedAdapters::default();
    seen.record("e1", "m/a", s(10));
    assert!(seen.is_presumed_resident("e1", "m/a", s(20)));
    assert!(!seen.is_presumed_resident("e2", "m/a", s(20)), "another engine never held it");
    assert!(!seen.is_presumed_resident("e1", "m/a", s(40)));
    seen.record("e1", "m/a", s(38));
    seen.remove("e1", "m/a");
    assert!(!seen.is_presumed_resident("e1", "m/a", s(39)), "the engine said that it is not there");
}

#[test]
fn what_is_old_or_gone_takes_no_memory() {
    let mut seen = ObservedAdapters::default();
    for n in 0..1000 {
        seen.record("e1", &format!("m/a{n}"), s(n / 10));
    }
    seen.record("e2", "m/a", s(100));
    seen.prune(|engine| engine != "e2", s(100));
    assert!(!seen.is_presumed_resident("e2", "m/a", s(100)));
    assert!(format!("{seen:?}").len() < 8000, "only some seconds are kept");
}

#[test]
fn an_engine_that_refused_a_guess_is_left_alone_for_a_while() {
    let mut seen = ObservedAdapters::default();
    seen.record("e1", "m/a", s(10));
    seen.pause("e1", s(10));
    assert!(!seen.may_send_without_grant("e1", s(10)));
    assert!(seen.may_send_without_grant("e2", s(10)), "another engine has not refused");
    assert!(
        seen.may_send_without_grant("e1", s(11)) && seen.is_presumed_resident("e1", "m/a", s(11))
    );
}
