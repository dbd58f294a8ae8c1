//! Simulation of the requests for one adapter that needs several replicas.

use rail_place::ReplicaSpread;
use std::time::Duration;

const ENGINES: usize = 8;
/// Requests that one engine grants in each interval.
const ENGINE_CAPACITY: u32 = 3;
const INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Totals {
    attempts: u32,
    refusals: u32,
    refused_requests: u32,
    first_engine_attempts: u32,
}

/// Simulates `requests` requests in each of 100 intervals, spread over `hosts` hosts.
///
/// With `records_refusals`, the hosts record how many engines refused each granted request before.
fn replay(requests: u32, hosts: usize, records_refusals: bool) -> Totals {
    let mut spreads = vec![ReplicaSpread::default(); hosts];
    let mut totals = Totals::default();
    for interval in 0..100 {
        let now = INTERVAL * interval;
        let mut started = [0; ENGINES];
        for n in 0..requests {
            let id = format!("{interval}-{n}");
            let spread = &mut spreads[(interval * requests + n) as usize % hosts];
            let mut refusals = 0;
            let order = spread.order("m/hot", &id, ENGINES, now);
            let engine = order.into_iter().find(|engine| {
                totals.attempts += 1;
                totals.first_engine_attempts += u32::from(*engine == 0);
                let has_capacity = started[*engine] < ENGINE_CAPACITY;
                refusals += usize::from(!has_capacity);
                has_capacity
            });
            totals.refusals += refusals as u32;
            match engine {
                Some(engine) => {
                    started[engine] += 1;
                    if records_refusals {
                        spread.record_start("m/hot", engine, refusals, now);
                    }
                }
                None => totals.refused_requests += 1,
            }
        }
    }
    totals
}

/// If every request tried the most preferred engine first, its owner would refuse most of them and
/// each request would be refused several times in a row.
#[test]
fn requests_for_a_hot_adapter_spread_over_the_replicas_that_it_needs() {
    let (unrecorded, recorded) = (replay(12, 80, false), replay(12, 80, true));
    assert_eq!(recorded.refused_requests, 0);
    assert!(recorded.refusals * 2 < unrecorded.refusals, "{recorded:?} {unrecorded:?}");
    assert!(
        recorded.first_engine_attempts * 2 < unrecorded.first_engine_attempts,
        "{recorded:?} {unrecorded:?}"
    );
}

#[test]
fn an_adapter_that_one_engine_can_serve_stays_there() {
    let totals = replay(2, 80, true);
    assert_eq!(totals.attempts, totals.first_engine_attempts, "no other engine has to load it");
}

#[test]
fn an_unconfirmed_replica_count_decays_and_is_pruned() {
    let mut spread = ReplicaSpread::default();
    spread.record_all_refused("m/a", ENGINES, Duration::ZERO);
    assert_eq!(
        spread.order("m/a", "r", 3, Duration::ZERO).len(),
        3,
        "no more positions than engines"
    );
    let later = Duration::from_secs(60);
    assert_eq!(spread.order("m/a", "r", ENGINES, later)[0], 0);
    spread.prune(later);
    assert!(spread.is_empty());
}

#[test]
fn every_preferred_engine_is_tried_once_for_any_replica_count() {
    let mut spread = ReplicaSpread::default();
    for position in [0, 3, 7] {
        spread.record_start("m/a", position, 1, Duration::ZERO);
        for request in 0..50 {
            let mut order = spread.order("m/a", &request.to_string(), ENGINES, Duration::ZERO);
            order.sort_unstable();
            assert_eq!(order, (0..ENGINES).collect::<Vec<_>>());
        }
    }
}
