//! A replay of one adapter that needs several homes.

use rail_place::ReplicaSpread;
use std::time::Duration;

const HOMES: usize = 8;
/// Requests that one home takes in a tenth of a second.
const HOME_CAPACITY: u32 = 3;
const SLOT: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Outcome {
    asks: u32,
    refusals: u32,
    refused_requests: u32,
    first_home_asks: u32,
}

/// Replays so many requests in each tenth of a second at `hosts` hosts, for ten seconds.
fn replay(requests: u32, hosts: usize, remembers: bool) -> Outcome {
    let mut spreads = vec![ReplicaSpread::default(); hosts];
    let mut outcome = Outcome::default();
    for slot in 0..100 {
        let now = SLOT * slot;
        let mut taken = [0; HOMES];
        for n in 0..requests {
            let id = format!("{slot}-{n}");
            let spread = &mut spreads[(slot * requests + n) as usize % hosts];
            let mut refusals = 0;
            let order = spread.order("m/hot", &id, HOMES, now);
            let home = order.into_iter().find(|home| {
                outcome.asks += 1;
                outcome.first_home_asks += u32::from(*home == 0);
                let has_room = taken[*home] < HOME_CAPACITY;
                refusals += usize::from(!has_room);
                has_room
            });
            outcome.refusals += refusals as u32;
            match home {
                Some(home) => {
                    taken[home] += 1;
                    if remembers {
                        spread.record_start("m/hot", home, refusals, now);
                    }
                }
                None => outcome.refused_requests += 1,
            }
        }
    }
    outcome
}

#[test]
fn requests_for_a_hot_adapter_are_spread_over_the_homes_that_it_needs() {
    let (without, with) = (replay(12, 80, false), replay(12, 80, true));
    assert_eq!(with.refused_requests, 0);
    assert!(with.refusals * 2 < without.refusals, "{with:?} {without:?}");
    assert!(with.first_home_asks * 2 < without.first_home_asks, "{with:?} {without:?}");
}

#[test]
fn an_adapter_that_one_home_carries_stays_there() {
    let quiet = replay(2, 80, true);
    assert_eq!(quiet.asks, quiet.first_home_asks, "no other home has to load it");
}

#[test]
fn a_width_that_nothing_confirms_shrinks_and_is_forgotten() {
    let mut spread = ReplicaSpread::default();
    spread.record_all_refused("m/a", HOMES, Duration::ZERO);
    assert_eq!(spread.order("m/a", "r", 3, Duration::ZERO).len(), 3, "only homes that there are");
    let later = Duration::from_secs(60);
    assert_eq!(spread.order("m/a", "r", HOMES, later)[0], 0);
    spread.prune(later);
    assert!(spread.is_empty());
}

#[test]
fn every_home_is_asked_once_whatever_the_width() {
    let mut spread = ReplicaSpread::default();
    for place in [0, 3, 7] {
        spread.record_start("m/a", place, 1, Duration::ZERO);
        for request in 0..50 {
            let mut order = spread.order("m/a", &request.to_string(), HOMES, Duration::ZERO);
            order.sort_unstable();
            assert_eq!(order, (0..HOMES).collect::<Vec<_>>());
        }
    }
}
