//! Decisions of a dispatcher, and what it is told.

use SpeedClass::{Fast, Slow, Usual};
use quickcheck::quickcheck;
use rail_dispatch::{
    Arrival, Dispatcher, LoadReport, Pace, RunEnd, RunId, RunOutcome, RunRequest, SpeedClass,
    WorkTime, rank_dispatchers,
};
use rail_route::{Upstream, UpstreamState};
use std::{sync::Arc, time::Duration};

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn upstream(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "z1".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        started_unix_ms: None,
        software: String::new(),
        resident_models: Vec::new(),
    })
}

fn dispatcher(ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let upstreams: Vec<Arc<Upstream>> = ids.iter().map(|id| upstream(id)).collect();
    dispatcher.set_ready(upstreams.iter());
    dispatcher
}

fn request(late_at: Duration) -> RunRequest {
    RunRequest {
        zone: "z1".to_owned(),
        priority: 1,
        late_at,
        expires_at: late_at + ms(1000),
        excluded: Vec::new(),
    }
}

fn queue(dispatcher: &mut Dispatcher, request: RunRequest, now: Duration) -> RunId {
    match dispatcher.request(request, now) {
        Arrival::Queued(id) => id,
        arrival => panic!("{arrival:?}"),
    }
}

/// Starts all requests that can start and returns their instances.
fn start_all(dispatcher: &mut Dispatcher, now: Duration) -> Vec<(RunId, String)> {
    std::iter::from_fn(|| dispatcher.next_start(now))
        .map(|start| (start.id, start.instance))
        .collect()
}

fn answered(took_ms: u64, report: Option<LoadReport>) -> RunEnd {
    RunEnd {
        outcome: RunOutcome::Answered,
        report,
        took: Some(ms(took_ms)),
        max_refusals_per_s: None,
    }
}

#[test]
fn of_waiting_requests_those_start_first_that_can_still_be_in_time() {
    let mut dispatcher = dispatcher(&["a"]);
    for _ in 0..5 {
        queue(&mut dispatcher, request(ms(150)), ms(0));
    }
    let running = start_all(&mut dispatcher, ms(0));
    assert_eq!(running.len(), 5, "its slots, and one that starts while an end is being reported");
    let late = queue(&mut dispatcher, request(ms(0)), ms(0));
    let relaxed = queue(&mut dispatcher, request(ms(400)), ms(0));
    let urgent = queue(&mut dispatcher, request(ms(100)), ms(0));
    let mut order = Vec::new();
    for (id, _) in running.into_iter().take(3) {
        dispatcher.end(id, answered(20, None), ms(1));
        order.extend(start_all(&mut dispatcher, ms(1)).into_iter().map(|(id, _)| id));
    }
    assert_eq!(order, [urgent, relaxed, late]);
}

#[test]
fn a_request_that_can_not_start_in_time_is_refused_at_once_and_returns_are_spread() {
    let mut dispatcher = dispatcher(&["a"]);
    let hurried = RunRequest { expires_at: ms(50), ..request(ms(150)) };
    let mut refused = Vec::new();
    for _ in 0..40 {
        if let Arrival::Refused(retry_after) = dispatcher.request(hurried.clone(), ms(0)) {
            refused.push(retry_after);
        }
        start_all(&mut dispatcher, ms(0));
    }
    assert!(refused.len() > 10, "{refused:?}");
    assert!(refused.windows(2).all(|pair| pair[0] < pair[1]), "{refused:?}");
}

#[test]
fn excluded_instances_are_not_chosen_and_block_no_one_else() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let only_b = RunRequest { excluded: vec!["a".to_owned()], ..request(ms(150)) };
    for _ in 0..5 {
        queue(&mut dispatcher, only_b.clone(), ms(0));
    }
    assert!(start_all(&mut dispatcher, ms(0)).iter().all(|(_, instance)| instance == "b"));
    queue(&mut dispatcher, only_b, ms(0));
    queue(&mut dispatcher, request(ms(200)), ms(0));
    let started = start_all(&mut dispatcher, ms(0));
    assert_eq!(started.iter().map(|(_, instance)| instance.as_str()).collect::<Vec<_>>(), ["a"]);
    let none = RunRequest { excluded: vec!["a".to_owned(), "b".to_owned()], ..request(ms(150)) };
    assert_eq!(dispatcher.request(none, ms(0)), Arrival::NoInstance);
}

/// Hosts of an earlier build, and those that don't reach the dispatcher, send without asking.
#[test]
fn requests_that_others_have_sent_are_reckoned() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let full = Some(LoadReport { requests: 20, pace: None });
    for _ in 0..30 {
        let only_a = RunRequest { excluded: vec!["b".to_owned()], ..request(ms(150)) };
        let id = queue(&mut dispatcher, only_a, ms(0));
        start_all(&mut dispatcher, ms(0));
        dispatcher.end(id, answered(20, full), ms(0));
    }
    for _ in 0..4 {
        queue(&mut dispatcher, request(ms(150)), ms(0));
    }
    assert!(start_all(&mut dispatcher, ms(0)).iter().all(|(_, instance)| instance == "b"));
}

#[test]
fn an_instance_that_turned_a_request_away_pauses() {
    let mut dispatcher = dispatcher(&["a"]);
    let id = queue(&mut dispatcher, request(ms(150)), ms(0));
    start_all(&mut dispatcher, ms(0));
    let refused = RunEnd { outcome: RunOutcome::Refused, ..RunEnd::UNKNOWN };
    dispatcher.end(id, refused, ms(1));
    queue(&mut dispatcher, request(ms(150)), ms(1));
    assert!(start_all(&mut dispatcher, ms(1)).is_empty());
    assert_eq!(start_all(&mut dispatcher, ms(100)).len(), 1);
}

#[test]
fn a_reported_pace_counts_for_the_next_runs_and_fades() {
    let mut work_time = WorkTime::default();
    for n in 0..200 {
        work_time.record_pace(Pace::from_percent(100).expect("a pace"), ms(n * 20));
        work_time.record_run(ms(30), ms(n * 20));
    }
    let now = ms(4000);
    work_time.record_pace(Pace::from_percent(250).expect("a pace"), now);
    let expected = |age: u64| work_time.expected_ms(now + ms(age)).expect("an estimate");
    assert!(expected(0) > 70.0, "{}", expected(0));
    assert!(expected(3000) < 35.0, "{}", expected(3000));
}

#[test]
fn an_instance_that_is_slow_for_seconds_changes_its_class_once() {
    let classes = [1.0, 1.6, 1.4, 1.6, 1.2, 0.6, 0.75, 0.9];
    let mut class = SpeedClass::Usual;
    let seen = classes.map(|factor| {
        class = class.next(factor);
        class
    });
    assert_eq!(seen, [Usual, Slow, Slow, Slow, Usual, Fast, Fast, Usual]);
}

/// Operators look for an instance that is slow for seconds, not for one that is slow now and then.
#[test]
fn an_instance_that_is_slower_than_the_others_is_reported_once() {
    let mut dispatcher = dispatcher(&["a", "b", "c"]);
    let mut reported = Vec::new();
    for n in 0..300 {
        let now = ms(n * 10);
        queue(&mut dispatcher, request(now + ms(150)), now);
        for (id, instance) in start_all(&mut dispatcher, now) {
            let took_ms = if instance == "b" { 90 } else { 30 };
            dispatcher.end(id, answered(took_ms, None), now);
        }
        reported.extend(dispatcher.update_classes());
    }
    let reported: Vec<_> =
        reported.iter().map(|change| (change.id.as_str(), change.class)).collect();
    assert_eq!(reported, [("b", Slow)]);
}

#[test]
fn odd_figures_cost_themselves_alone() {
    assert_eq!(Pace::from_percent(0), None);
    assert_eq!(Pace::from_percent(1).map(Pace::percent), Some(10));
    assert_eq!(Pace::from_percent(u64::MAX).map(Pace::percent), Some(1000));
}

#[test]
fn large_hosts_dispatch_and_a_joining_host_moves_few_services() {
    let hosts: Vec<(String, u32)> =
        (0..40).map(|n| (format!("h{n}"), if n % 4 == 0 { 500 } else { 90 })).collect();
    let rank = |service: &str, hosts: &[(String, u32)]| -> Vec<String> {
        let hosts = hosts.iter().map(|(host, capacity)| (host.as_str(), *capacity));
        rank_dispatchers(service, hosts).map(str::to_owned).collect()
    };
    let services: Vec<String> = (0..100).map(|n| format!("s{n}")).collect();
    let mut moved = 0;
    for service in &services {
        let ranked = rank(service, &hosts);
        assert!(ranked.iter().all(|host| hosts.contains(&(host.clone(), 500))), "{ranked:?}");
        moved += usize::from(rank(service, &hosts[1..])[0] != ranked[0]);
    }
    assert!(moved < 30, "{moved}");
}

quickcheck! {
    fn the_end_of_a_run_is_reported_as_it_was(
        requests: u16,
        percent: u16,
        took_ms: u16,
        refusals: Option<u16>
    ) -> bool {
        let report = LoadReport {
            requests: u32::from(requests % 500),
            pace: Pace::from_percent(u64::from(percent)),
        };
        let took = Some(ms(u64::from(took_ms % 2000)));
        let end = RunEnd {
            outcome: RunOutcome::Failed,
            report: Some(report),
            took,
            max_refusals_per_s: refusals.map(u32::from),
        };
        RunEnd::from_code(end.code()) == end
    }

    fn any_code_is_an_end(code: u64) -> bool {
        let end = RunEnd::from_code(code);
        RunEnd::from_code(end.code()) == end
    }
}
