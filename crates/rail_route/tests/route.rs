//! Tests of routes, the choice of upstreams, outlier detection and the retry budget.

use quickcheck::quickcheck;
use rail_route::{
    AttemptOutcome, Limits, OutlierDetector, RetryBudget, Route, RouteKind, RouteTable,
    ServiceShare, Upstream, UpstreamState, UpstreamTable, choose_instance,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const WINDOW: Duration = Duration::from_secs(10);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn route(name: &str, path_prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: ms(1000),
        target_latency: ms(100),
        max_event_gap: None,
        priority: 0,
        shares: shares
            .iter()
            .map(|(service, weight)| ServiceShare {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 2,
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits =
        Limits { header_bytes: 1, body_bytes: 1, header_timeout: ms(1), idle_timeout: ms(1) };
    RouteTable::new(1, routes, BTreeMap::new(), limits)
}

fn upstream(id: &str, zone: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        started_unix_ms: None,
        software: String::new(),
        resident_models: Vec::new(),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![route("short", "/a/", &[]), route("long", "/a/b/", &[])]);
    let find_name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(find_name("h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name("H.EXAMPLE", "/a/c").as_deref(), Some("short"));
    assert_eq!(find_name("h.example", "/ab/"), None);
    assert_eq!(find_name("other", "/a/c"), None);
}

#[test]
fn a_request_keeps_its_service_and_services_get_their_weights() {
    let route = route("r", "/", &[("big", 90), ("small", 10), ("none", 0)]);
    let services =
        (0..2000).map(|n| route.pick_service(&n.to_string()).expect("a service").clone());
    let small = services.filter(|service| service == "small").count();
    assert!((120..280).contains(&small), "{small} of 2000");
    assert!((0..2000).all(|n| route.pick_service(&n.to_string()) != Some(&"none".to_owned())));
}

/// The windows of several hosts are not aligned, so a host that spent its full share could exceed
/// the budget of all hosts together; it spends only 80 % of the share of its own requests.
#[test]
fn retries_stay_within_the_share_of_own_requests() {
    let mut budget = RetryBudget::new(WINDOW, 0.2, 3.0);
    for _ in 0..100 {
        budget.record_request(ms(0));
    }
    let allowed = (0..100).filter(|_| budget.try_retry(ms(1))).count();
    assert_eq!(allowed, 19, "3 fixed retries and 16 for 100 requests");
    assert!(!budget.try_retry(ms(9000)));
    assert!(budget.try_retry(ms(10_002)), "the earlier retries have left the window");
}

quickcheck! {
    fn no_window_contains_more_retries_than_allowed(gaps_ms: Vec<u8>) -> bool {
        let mut budget = RetryBudget::new(WINDOW, 0.2, 2.0);
        let (mut now, mut requests, mut retries) = (ms(0), Vec::new(), Vec::new());
        for gap_ms in gaps_ms {
            now += ms(u64::from(gap_ms) * 8);
            budget.record_request(now);
            requests.push(now);
            if budget.try_retry(now) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&Duration| **at + WINDOW >= *end && **at <= *end;
            let allowed = 2.0 + 0.2 * requests.iter().filter(within).count() as f64;
            retries.iter().filter(within).count() as f64 <= allowed
        })
    }
}

#[test]
fn an_unreachable_upstream_is_ejected_for_increasing_times() {
    let mut detector = OutlierDetector::default();
    assert!(!detector.record("u", AttemptOutcome::Unreachable, ms(0)));
    assert!(detector.record("u", AttemptOutcome::Unreachable, ms(10)));
    assert!(detector.is_ejected("u", ms(400)));
    assert!(!detector.is_ejected("u", ms(600)));
    assert!(
        detector.record("u", AttemptOutcome::Unreachable, ms(700)),
        "one more unreachable attempt ejects it again"
    );
    assert!(detector.is_ejected("u", ms(1600)));
    detector.record("u", AttemptOutcome::Answered, ms(1800));
    assert!(!detector.is_ejected("u", ms(1800)));
}

/// Guards against broken answers that count half, since the arrival of each head made up for them.
#[test]
fn an_upstream_whose_answers_break_off_is_ejected_like_one_that_fails() {
    let mut detector = OutlierDetector::default();
    let mut breaks_off = |at_ms| {
        assert!(!detector.record("u", AttemptOutcome::Started, ms(at_ms)));
        detector.record("u", AttemptOutcome::Failed, ms(at_ms + 5))
    };
    let first_ejection = (0..10).position(|n| breaks_off(n * 10));
    assert_eq!(first_ejection, Some(3));
}

#[test]
fn rare_failures_eject_no_upstream() {
    let mut detector = OutlierDetector::default();
    for n in 0..100 {
        let outcome = if n % 7 == 0 { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        assert!(!detector.record("u", outcome, ms(n)));
    }
}

#[test]
fn the_least_loaded_instance_is_chosen_and_tried_ones_last() {
    let instances = [upstream("near", "z1"), upstream("far", "z2")];
    let mut detector = OutlierDetector::default();
    let choose = |detector: &OutlierDetector, tried: &[String], near_load: f64| {
        let load = |id: &str| if id == "near" { near_load } else { 0.0 };
        let chosen = choose_instance(instances.iter(), tried, "z1", detector, load, ms(20));
        chosen.map(|upstream| upstream.id.clone()).expect("an instance")
    };
    assert_eq!(choose(&detector, &[], 0.0), "near");
    assert_eq!(choose(&detector, &[], 3.0), "far");
    assert_eq!(choose(&detector, &["far".to_owned()], 3.0), "near");
    detector.record("near", AttemptOutcome::Unreachable, ms(0));
    detector.record("near", AttemptOutcome::Unreachable, ms(1));
    assert_eq!(choose(&detector, &[], 0.0), "far");
}

/// Guards against a running upstream that counts as ended because the entry of an earlier start at
/// its address has not lapsed yet.
#[test]
fn an_entry_that_has_not_lapsed_ends_the_later_start_at_its_address() {
    let start = |id: &str, started| Upstream {
        started_unix_ms: Some(started),
        ..Upstream::clone(&upstream(id, "z"))
    };
    let mut upstreams = UpstreamTable::default();
    let (earlier, later) = (start("earlier", 1_000), start("later", 2_000));
    upstreams.insert(earlier.clone());
    upstreams.insert(later.clone());
    let is_replaced = |u: &Upstream| upstreams.has_later_start(&u.id, u.address, u.started_unix_ms);
    assert!(is_replaced(&earlier), "another start is at its address");
    assert!(!is_replaced(&later), "the other start is older");
    assert!(is_replaced(&start("later", 1_500)), "it started again under its id");
}
