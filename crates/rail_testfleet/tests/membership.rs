//! Upstreams and hosts that leave, with real processes.

use futures_util::future::join_all;
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

/// Time after which a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Longest graceful stop of a process.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Counts the requests that an upstream began to run.
async fn executions(fleet: &TestFleet, name: &str) -> usize {
    fleet.stats(name).await["executions"].as_array().map_or(0, Vec::len)
}

async fn call_service(fleet: &TestFleet, host: u8) -> bool {
    let url = format!("{}/v1/services/feed/stops/4", fleet.caller_url(host));
    awc::Client::default()
        .get(url)
        .send()
        .await
        .is_ok_and(|response| response.status().is_success())
}

/// Keeps asking on all hosts for this long; gives the answers that were not whole.
async fn ask_all(fleet: &TestFleet, time: Duration) -> Vec<CallerOutcome> {
    let started = Instant::now();
    let askers = (0..9_u8).map(|asker| async move {
        let mut wrong = Vec::new();
        while started.elapsed() < time {
            let host = asker % 3 + 1;
            let request = CompletionRequest::new(&format!("llama:a{}@v1", asker % 4), 3);
            let outcome = request.send(&fleet.caller_url(host)).await;
            if !request.is_answered_by(&outcome) {
                wrong.push(outcome);
                // A wrong answer fails the test; more of them would tell no more.
                break;
            }
            assert!(call_service(fleet, host).await, "service answers");
        }
        wrong
    });
    join_all(askers).await.concat()
}

/// Asserts that an upstream gets work before it leaves and none after the time limit.
async fn assert_leaves(fleet: &TestFleet, name: &str, lag: Duration) {
    let wrong = ask_all(fleet, LEAVING_LIMIT + lag).await;
    assert_eq!(wrong, [], "answers while {name} leaves");
    let before = executions(fleet, name).await;
    assert!(before > 0, "{name} had work");
    let wrong = ask_all(fleet, Duration::from_secs(2)).await;
    assert_eq!(wrong, [], "answers after {name} left");
    assert_eq!(executions(fleet, name).await, before, "{name} gets no new work");
}

fn plan() -> FleetPlan {
    FleetPlan { services: 2, ..FleetPlan::default() }
}

/// Gives the engine that began the most requests.
async fn busiest_engine(fleet: &TestFleet) -> String {
    let mut busiest = (0, String::new());
    for number in 1..=3 {
        let name = format!("engine{number}");
        busiest = busiest.max((executions(fleet, &name).await, name));
    }
    busiest.1
}

#[actix_rt::test]
async fn a_drained_upstream_gets_no_new_work() {
    let fleet = TestFleet::start(plan());
    assert_eq!(ask_all(&fleet, Duration::from_secs(2)).await, []);
    for name in [busiest_engine(&fleet).await, "service1".to_owned()] {
        assert!(fleet.ctl(1, &["drain", &name]).status.success());
        assert_leaves(&fleet, &name, Duration::ZERO).await;
    }
}

#[actix_rt::test]
async fn an_upstream_leaving_by_the_host_list_gets_no_new_work() {
    let lag = Duration::from_millis(1500);
    let fleet = TestFleet::start(plan());
    assert_eq!(ask_all(&fleet, Duration::from_secs(2)).await, []);
    fleet.set_faults("platform", json!({"host_list_lag_ms": lag.as_millis() as u64})).await;
    for name in [busiest_engine(&fleet).await, "service2".to_owned()] {
        fleet.set_hosts(&[(fleet.standin_ip(&name), true)]).await;
        assert_leaves(&fleet, &name, lag).await;
    }
}

#[actix_rt::test]
async fn a_leaving_mark_reaches_a_host_that_is_cut_from_the_platform() {
    let fleet = TestFleet::start(plan());
    assert_eq!(ask_all(&fleet, Duration::from_secs(2)).await, []);
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
    fleet.set_hosts(&[(fleet.standin_ip("service1"), true)]).await;
    actix_rt::time::sleep(LEAVING_LIMIT).await;
    let before = executions(&fleet, "service1").await;
    for _call in 0..20 {
        assert!(call_service(&fleet, 3).await, "service answers");
    }
    assert_eq!(executions(&fleet, "service1").await, before, "no new work");
}

/// A client that follows entry-host answers.
struct Client {
    known: Vec<String>,
    expires_at: Instant,
    turn: usize,
}

impl Client {
    /// Gives the address to use, after a look at a host if the answer has expired.
    async fn next_url(&mut self) -> String {
        if Instant::now() >= self.expires_at {
            for known in self.known.clone() {
                let asked_at = Instant::now();
                let url = format!("{known}/v1/entry-hosts?zone=zone1");
                let Ok(mut response) = awc::Client::default().get(url).send().await else {
                    continue;
                };
                let body = response.body().await.unwrap_or_default();
                let entry_list: Value = serde_json::from_slice(&body).unwrap_or_default();
                let hosts = entry_list["hosts"].as_array().cloned().unwrap_or_default();
                let address = |h: &Value| format!("http://{}", h["address"].as_str().unwrap_or(""));
                self.known = hosts.iter().map(address).collect();
                let lifetime_ms = entry_list["lifetime_ms"].as_u64().unwrap_or(0);
                self.expires_at = asked_at + Duration::from_millis(lifetime_ms);
                break;
            }
        }
        self.turn += 1;
        self.known[self.turn % self.known.len()].clone()
    }
}

/// Lists the hosts that an entry host names.
async fn named_hosts(fleet: &TestFleet, host: u8) -> Vec<String> {
    let url = format!("{}/v1/entry-hosts", fleet.caller_url(host));
    let mut response = awc::Client::default().get(url).send().await.expect("gateway answers");
    let entry_list: Value =
        serde_json::from_slice(&response.body().await.expect("body")).expect("JSON");
    let hosts = entry_list["hosts"].as_array().cloned().unwrap_or_default();
    hosts.iter().map(|h| h["host"].as_str().unwrap_or_default().to_owned()).collect()
}

/// Waits until each of these hosts names `count` hosts.
async fn wait_for_named(fleet: &TestFleet, asked: &[u8], count: usize) {
    let started = Instant::now();
    for host in asked {
        loop {
            let named = named_hosts(fleet, *host).await;
            if named.len() == count {
                break;
            }
            assert!(started.elapsed() < LEAVING_LIMIT, "host{host} names {named:?}");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[actix_rt::test]
async fn every_gateway_of_nine_names_every_live_host() {
    let mut plan = FleetPlan { hosts: 9, engines: 1, ..FleetPlan::default() };
    plan.env_vars.insert("TARRAGON_HEARTBEAT_MS".into(), "500".into());
    plan.env_vars.insert("TARRAGON_SESSION_TTL_MS".into(), "3000".into());
    let fleet = TestFleet::start(plan);
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        for host in 1..=9 {
            let named = named_hosts(&fleet, host).await;
            assert_eq!(named.len(), 9, "host{host} names {named:?}");
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

#[actix_rt::test]
async fn a_stopping_gateway_leaves_all_answers_and_serves_for_the_lifetime() {
    let lifetime = Duration::from_secs(6);
    let mut plan = plan();
    plan.env_vars.insert("TARRAGON_ENTRY_LIFETIME_MS".into(), lifetime.as_millis().to_string());
    let mut fleet = TestFleet::start(plan);
    for host in 1..=3 {
        fleet.wait_for_gateway(host).await;
    }
    wait_for_named(&fleet, &[1, 2, 3], 3).await;
    let gateway = fleet.remove_process("host1/gateway");
    gateway.terminate();
    let stopped_at = Instant::now();
    wait_for_named(&fleet, &[1, 2, 3], 2).await;
    while stopped_at.elapsed() < lifetime {
        let request = CompletionRequest::new("llama:a0@v1", 2);
        let outcome = request.send(&fleet.caller_url(1)).await;
        assert!(request.is_answered_by(&outcome), "{outcome:?} after {:?}", stopped_at.elapsed());
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let status = actix_rt::task::spawn_blocking(move || gateway.stop(STOP_LIMIT)).await;
    assert!(status.expect("stopped").success());
}

#[actix_rt::test]
async fn a_whole_host_stopped_under_load_loses_nothing() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    for host in 1..=3 {
        fleet.wait_for_gateway(host).await;
    }
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let first: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let running = Rc::new(Cell::new(true));
    let wrong = Rc::new(RefCell::new(Vec::new()));
    let answered = Rc::new(Cell::new(0_u32));
    let clients = (0..12).map(|number| {
        let mut client = Client { known: first.clone(), expires_at: Instant::now(), turn: number };
        let (running, wrong) = (Rc::clone(&running), Rc::clone(&wrong));
        let answered = Rc::clone(&answered);
        actix_rt::spawn(async move {
            while running.get() {
                let request = CompletionRequest::new(
                    &format!("llama:a{}@v2", number % 4),
                    20 + number as u32,
                );
                let url = client.next_url().await;
                let outcome = request.stream(&url).await;
                if request.is_answered_by(&outcome) {
                    answered.set(answered.get() + 1);
                } else {
                    wrong.borrow_mut().push((url, outcome));
                    break;
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for host in [1, 2] {
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let stopping = ["gateway", "scheduler", "admin"].map(|role| {
            let name = format!("host{host}/{role}");
            let process = fleet.remove_process(&name);
            async move {
                let stop = move || process.stop(STOP_LIMIT);
                let status = actix_rt::task::spawn_blocking(stop).await.expect("stopped");
                assert!(status.success(), "{name} ends with success");
            }
        });
        join_all(stopping).await;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        fleet.start_host(host);
        fleet.wait_for_gateway(host).await;
    }
    running.set(false);
    join_all(clients).await;
    assert_eq!(*wrong.borrow(), [], "{} answered", answered.get());
    assert!(answered.get() > 50, "load was present: {}", answered.get());
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}
