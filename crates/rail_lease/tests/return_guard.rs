//! Two hosts that order one engine while the store returns from older copies again and again.

use quickcheck::{Gen, QuickCheck};
use rail_lease::ReturnGuard;
use rail_revision::Revision;
use std::time::Duration;

const TTL: Duration = Duration::from_secs(12);
const ORDER_DELAY: Duration = Duration::from_secs(3);
const LEASE_END: Duration = Duration::from_millis(15_300);
/// The delay between orders of two hosts, with the margin for clock drift.
const ORDERS_STOPPED: Duration = Duration::from_millis(3_060);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn guard() -> ReturnGuard {
    let mut guard = ReturnGuard::new(TTL, ORDER_DELAY);
    guard.record_era(0, [], ms(0));
    guard.record_hosts_listed();
    guard
}

/// Guards against two holders: the copy names a host that lost the engine in the lost seconds.
#[test]
fn an_owner_named_by_an_older_copy_orders_while_the_lost_owner_still_may() {
    let (mut named, mut lost) = (guard(), guard());
    // The owner that the copy does not name continues until it notices the return.
    assert!(lost.may_order("engine", 0));
    assert!(named.record_era(1, [], ms(10_000)));
    assert!(!named.may_order("engine", 0) && !named.may_claim("engine", ms(10_000)));
    assert!(!named.may_claim("engine", ms(9_999) + LEASE_END));
    assert!(named.may_claim("engine", ms(10_000) + LEASE_END));
    assert!(named.may_order("engine", 1), "once it has claimed the engine in the new era");
    assert!(lost.record_era(1, ["engine".to_owned()], ms(12_000)));
    assert!(lost.may_claim("engine", ms(12_000)), "if the copy has no owner, it goes on at once");
}

/// Guards against engines without orders after a return that lost nothing of them.
#[test]
fn an_owner_that_kept_its_lease_waits_after_the_stores_return() {
    let mut owner = guard();
    for era in 1..=2 {
        assert!(owner.record_era(era, ["engine".to_owned()], ms(1_000)));
        assert!(owner.may_order("engine", 0) && owner.may_claim("engine", ms(1_000)));
    }
    assert!(!owner.record_era(1, [], ms(2_000)), "an earlier era is not news");
    assert!(owner.may_order("engine", 0));
}

/// Guards against a process that restarts during the return and trusts a record of before.
#[test]
fn a_restarted_owner_trusts_a_claim_of_an_earlier_era() {
    let mut restarted = ReturnGuard::new(TTL, ORDER_DELAY);
    assert!(!restarted.record_era(2, [], ms(0)), "it can't know when the era began");
    assert!(restarted.may_order("engine", 2), "its predecessor claimed it in this era");
    assert!(!restarted.may_order("engine", 1));
    restarted.record_earlier_claim(ms(0));
    assert!(!restarted.may_claim("engine", ms(1_000)) && restarted.may_claim("engine", LEASE_END));
    restarted.record_known_hosts_noticed(ms(1_000));
    restarted.record_confirmation(2, ms(2_000));
    restarted.record_confirmation(2, ms(4_000));
    assert!(!restarted.may_claim("engine", ms(1_999) + ORDERS_STOPPED));
    assert!(restarted.may_claim("engine", ms(2_000) + ORDERS_STOPPED));
}

/// Guards against fencing numbers that fall when the store's revisions go back.
#[test]
fn fencing_numbers_grow_over_eras() {
    let grows = |eras: (u8, u8), numbers: (u32, u32)| {
        let first = Revision::new(eras.0.into(), numbers.0.into());
        let second = Revision::new(eras.1.into(), numbers.1.into());
        (first < second) == (first.fence() < second.fence())
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 28))
        .quickcheck(grows as fn((u8, u8), (u32, u32)) -> bool);
    assert_eq!(Revision::new(0, 41).fence(), 41);
}

/// Guards against a host that starts after the store's return and claims at once what its owner,
/// whose record the copy lacks, keeps under its lease (soak seeds 5308 to 5310).
#[test]
fn a_host_that_starts_after_the_stores_return_waits_before_it_claims() {
    let mut starting = ReturnGuard::new(TTL, ORDER_DELAY);
    assert!(!starting.record_era(1, [], ms(100)), "it can't have noticed the return");
    assert!(!starting.may_claim("engine", ms(110)), "the owner may keep it");
    starting.record_confirmation(1, ms(500));
    assert!(!starting.may_claim("engine", ms(499) + ORDERS_STOPPED), "orders are on their way");
    assert!(
        starting.may_claim("engine", ms(500) + ORDERS_STOPPED),
        "no host acts under older records"
    );
}

/// Guards against hosts that start after the store's return and take those which they know for all,
/// while an owner that the copy lacks is cut off from them (review/1).
#[test]
fn a_host_that_starts_after_the_return_takes_the_hosts_that_it_knows_for_all() {
    let mut starting = ReturnGuard::new(TTL, ORDER_DELAY);
    starting.record_era(1, [], ms(100));
    starting.record_hosts_listed();
    starting.record_known_hosts_noticed(ms(500));
    assert!(!starting.may_claim("engine", ms(99) + LEASE_END), "a host may be missing");
    assert!(starting.may_claim("engine", ms(100) + LEASE_END), "every lease of before has ended");
    assert_eq!(starting.confirmed_era(), None, "it can't confirm what it doesn't know");
}

/// Guards against a confirmation of an earlier return, and one that survives in a copy.
#[test]
fn only_a_host_that_knew_the_hosts_before_the_return_confirms_it() {
    let (mut witness, mut starting) = (guard(), ReturnGuard::new(TTL, ORDER_DELAY));
    starting.record_era(2, [], ms(0));
    assert!(starting.awaits_confirmation(ms(0)) && !starting.awaits_confirmation(LEASE_END));
    starting.record_confirmation(1, ms(10));
    assert!(starting.awaits_confirmation(ms(10)), "the store has returned again since");
    assert!(witness.record_era(2, [], ms(0)));
    assert_eq!(witness.confirmed_era(), None);
    witness.record_known_hosts_noticed(ms(50));
    assert_eq!(witness.confirmed_era(), Some(2));
    starting.record_confirmation(2, ms(60));
    assert!(!starting.awaits_confirmation(ms(60)) && !starting.knows_hosts(ms(60)), "not listed");
    starting.record_hosts_listed();
    assert!(starting.knows_hosts(ms(60)));
}

/// Guards against a process that notices a second return, but started after the first one.
#[test]
fn a_host_that_started_between_two_returns_waits_after_the_second_one() {
    let mut starting = ReturnGuard::new(TTL, ORDER_DELAY);
    starting.record_era(1, [], ms(0));
    starting.record_hosts_listed();
    assert!(starting.record_era(2, [], ms(1_000)));
    starting.record_known_hosts_noticed(ms(1_500));
    assert!(!starting.may_claim("engine", ms(999) + LEASE_END));
    let mut unread = ReturnGuard::new(TTL, ORDER_DELAY);
    unread.record_era(0, [], ms(0));
    assert!(unread.record_era(1, [], ms(10)));
    unread.record_known_hosts_noticed(ms(20));
    assert!(!unread.may_claim("engine", ms(9) + LEASE_END), "it had not read the hosts of before");
}

#[test]
fn a_store_that_never_returned_delays_no_claim() {
    assert!(guard().may_claim("engine", ms(100)));
}

/// Guards against a wait that starts anew with each restart, so that nobody may order engines while
/// hosts are killed again and again after the store's return.
#[test]
fn the_wait_after_a_return_goes_on_over_restarts() {
    let mut first = ReturnGuard::new(TTL, ORDER_DELAY);
    first.record_era(1, [], ms(1_000));
    let (era, noticed_at) = first.noticed(ms(9_000)).expect("it waits");
    let mut restarted = ReturnGuard::new(TTL, ORDER_DELAY);
    restarted.record_era(1, [], ms(10_000));
    restarted.record_noticed(era, noticed_at);
    let end = ms(1_000) + (TTL + ORDER_DELAY).mul_f64(1.02);
    assert!(!restarted.may_claim("engine", end.saturating_sub(ms(1))));
    assert!(restarted.may_claim("engine", end));
    assert_eq!(restarted.noticed(end), None);
}

/// Guards against a wait that is too short on a machine that was started anew, whose clock began
/// again.
#[test]
fn a_machine_that_was_started_anew_waits_no_shorter() {
    let mut first = ReturnGuard::new(TTL, ORDER_DELAY);
    first.record_era(1, [], ms(500_000));
    let (era, noticed_at) = first.noticed(ms(500_000)).expect("it waits");
    let mut restarted = ReturnGuard::new(TTL, ORDER_DELAY);
    restarted.record_era(1, [], ms(3_000));
    restarted.record_noticed(era, noticed_at);
    assert_eq!(restarted.noticed(ms(3_000)), Some((1, ms(3_000))));
}

/// Guards against the time of an earlier return taken for that of the newest one.
#[test]
fn the_wait_after_an_earlier_return_does_not_count() {
    let mut restarted = ReturnGuard::new(TTL, ORDER_DELAY);
    restarted.record_era(2, [], ms(100_000));
    restarted.record_noticed(1, ms(40_000));
    assert_eq!(restarted.noticed(ms(100_000)), Some((2, ms(100_000))));
}
