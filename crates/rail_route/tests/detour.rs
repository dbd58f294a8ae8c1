//! Which hosts serve the requests of a host that reaches no upstream.

use rail_route::{CutOffHosts, is_detour_due};
use std::{net::SocketAddr, time::Duration};

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against requests that go round by other hosts for one upstream that has just ended.
#[test]
fn a_request_goes_through_another_host_after_two_unsent_attempts() {
    for (is_cut_off, unsent, expected) in
        [(false, 0, false), (false, 1, false), (false, 2, true), (true, 0, true)]
    {
        assert_eq!(is_detour_due(is_cut_off, unsent), expected, "{is_cut_off}, {unsent} unsent");
    }
}

/// Guards against requests that lose time at a host which is cut off too while others are not, and
/// against one that is never tried again.
#[test]
fn a_host_that_is_cut_off_too_pauses_and_comes_last() {
    let address = |n: u8| SocketAddr::from(([127, 0, 0, n], 1));
    let hosts: Vec<(u8, SocketAddr)> = (1..=5).map(|n| (n, address(n))).collect();
    let mut cut_off = CutOffHosts::default();
    cut_off.record(address(2), ms(100));
    let chosen = |hosts: &[(u8, SocketAddr)], now| {
        let chosen = cut_off.choose(hosts.to_vec(), now).into_iter();
        chosen.map(|(n, _)| n).collect::<Vec<u8>>()
    };
    assert_eq!(chosen(&hosts, ms(1099)), [1, 3, 4, 5]);
    assert_eq!(chosen(&hosts[..3], ms(1099)), [1, 3, 2], "none is lost among few");
    assert_eq!(chosen(&hosts, ms(1100)), [1, 2, 3, 4]);
    assert!(cut_off.is_paused(address(2), ms(1099)) && !cut_off.is_paused(address(2), ms(1100)));
}
