//! When a host presumes that its own links are cut.

use rail_route::UpstreamReach;
use std::time::Duration;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against a host that takes the end of some upstreams for a cut of its own links, and against
/// one that tries each upstream before it notices the cut.
#[test]
fn a_host_is_cut_off_once_two_upstreams_are_unreached_and_none_answers() {
    let mut reach = UpstreamReach::default();
    assert!(!reach.is_cut_off(ms(0)));
    reach.record_unreached("a", ms(0));
    reach.record_unreached("a", ms(300));
    assert!(!reach.is_cut_off(ms(400)), "one upstream may have ended");
    reach.record_unreached("b", ms(400));
    assert!(reach.is_cut_off(ms(400)));
    reach.record_reached(ms(450));
    reach.record_unreached("a", ms(460));
    reach.record_unreached("b", ms(470));
    assert!(!reach.is_cut_off(ms(600)), "another upstream has just answered");
    assert!(reach.is_cut_off(ms(650)));
    assert!(!reach.is_cut_off(ms(5470)), "without further attempts it is unknown");
}
