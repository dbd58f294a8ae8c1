//! What answers say of brittle services, and what a host believes of it.

use rail_limit::BrittleServices;
use std::time::Duration;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

#[test]
fn what_one_upstream_says_counts_for_its_service_until_others_contradict_it() {
    let mut services = BrittleServices::default();
    assert!(!services.record_answer("desk", None, ms(0)));
    assert!(services.record_answer("desk", Some(4), ms(100)));
    assert_eq!(services.max_refusals_per_s("desk"), Some(4));
    assert_eq!(services.max_refusals_per_s("lm"), None);
    assert!(!services.record_answer("desk", None, ms(900)), "it has begun elsewhere only");
    assert!(!services.record_answer("desk", Some(4), ms(1_000)));
    assert!(!services.record_answer("desk", None, ms(1_900)));
    assert!(services.record_answer("desk", None, ms(2_000)));
    assert_eq!(services.max_refusals_per_s("desk"), None);
}

#[test]
fn a_service_that_nobody_knows_is_forgotten() {
    let mut services = BrittleServices::default();
    services.record_answer("desk", Some(4), ms(100));
    services.prune(|service| service == "lm");
    assert_eq!(services.max_refusals_per_s("desk"), None);
}
