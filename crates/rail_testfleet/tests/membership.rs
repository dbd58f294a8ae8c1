//! Upstreams and hosts leave without failed requests, tested with real processes.

use futures_util::future::join_all;
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

/// Time after which a leaving upstream must receive no new requests, and a leaving host must no
/// longer be listed.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(2);
/// Maximum duration of a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the number of requests that an upstream has begun to run.
async fn execution_count(fleet: &TestFleet, name: &str) -> usize {
    fleet.stats(name).await["executions"].as_array().map_or(0, Vec::len)
}

/// Calls the service through a host; returns whether it succeeded.
async fn call_service(fleet: &TestFleet, host: u8) -> bool {
    let url = format!("{}/v1/services/feed/stops/4", fleet.caller_url(host));
    awc::Client::default()
        .get(url)
        .send()
        .await
        .is_ok_and(|response| response.status().is_success())
}

/// Sends requests from nine callers through all hosts for this duration; returns the outcomes that
/// were not the expected completion.
async fn send_to_all_hosts(fleet: &TestFleet, duration: Duration) -> Vec<CallerOutcome> {
    let started = Instant::now();
    let callers = (0..9_u8).map(|caller| async move {
        let mut failures = Vec::new();
        while started.elapsed() < duration {
            let host = caller % 3 + 1;
            let request = CompletionRequest::new(&format!("llama:a{}@v1", caller % 4), 3);
            let outcome = request.send(&fleet.caller_url(host)).await;
            if !request.is_answered_by(&outcome) {
                failures.push(outcome);
                // One failure fails the test, so this caller stops.
                break;
            }
            assert!(call_service(fleet, host).await, "service call through host{host} failed");
        }
        failures
    });
    join_all(callers).await.concat()
}

/// Asserts that an upstream, which has begun to leave, had requests before and receives none after
/// [`MAX_LEAVING_DELAY`] and the lag of the host list, while no request fails.
async fn assert_leaves(fleet: &TestFleet, name: &str, lag: Duration) {
    let failures = send_to_all_hosts(fleet, MAX_LEAVING_DELAY + lag).await;
    assert_eq!(failures, [], "failed requests while {name} leaves");
    let before = execution_count(fleet, name).await;
    assert!(before > 0, "{name} ran no request before it left");
    let failures = send_to_all_hosts(fleet, Duration::from_secs(2)).await;
    assert_eq!(failures, [], "failed requests after {name} left");
    assert_eq!(
        execution_count(fleet, name).await,
        before,
        "{name} received new requests after it left"
    );
}

fn plan() -> FleetPlan {
    FleetPlan { services: 2, ..FleetPlan::default() }
}

/// Returns the engine that has begun to run the most requests.
async fn busiest_engine(fleet: &TestFleet) -> String {
    let mut busiest = (0, String::new());
    for number in 1..=3 {
        let name = format!("engine{number}");
        busiest = busiest.max((execution_count(fleet, &name).await, name));
    }
    busiest.1
}

#[actix_rt::test]
async fn a_drained_upstream_gets_no_new_work() {
    let fleet = TestFleet::start(plan());
    assert_eq!(send_to_all_hosts(&fleet, Duration::from_secs(2)).await, []);
    for name in [busiest_engine(&fleet).await, "service1".to_owned()] {
        assert!(fleet.ctl(1, &["drain", &name]).status.success());
        assert_leaves(&fleet, &name, Duration::ZERO).await;
    }
}

#[actix_rt::test]
async fn an_upstream_leaving_by_the_host_list_gets_no_new_work() {
    let lag = Duration::from_millis(1500);
    let fleet = TestFleet::start(plan());
    assert_eq!(send_to_all_hosts(&fleet, Duration::from_secs(2)).await, []);
    fleet.set_faults("platform", json!({"host_list_lag_ms": lag.as_millis() as u64})).await;
    for name in [busiest_engine(&fleet).await, "service2".to_owned()] {
        fleet.set_hosts(&[(fleet.standin_ip(&name), true)]).await;
        assert_leaves(&fleet, &name, lag).await;
    }
}

#[actix_rt::test]
async fn a_leaving_mark_reaches_a_host_that_is_cut_from_the_platform() {
    let fleet = TestFleet::start(plan());
    assert_eq!(send_to_all_hosts(&fleet, Duration::from_secs(2)).await, []);
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
    fleet.set_hosts(&[(fleet.standin_ip("service1"), true)]).await;
    actix_rt::time::sleep(MAX_LEAVING_DELAY).await;
    let before = execution_count(&fleet, "service1").await;
    for _call in 0..20 {
        assert!(call_service(&fleet, 3).await, "service call through host3 failed");
    }
    assert_eq!(
        execution_count(&fleet, "service1").await,
        before,
        "service1 received new requests after it left"
    );
}

/// A client that chooses entry hosts in turn from the list that `/v1/entry-hosts` returns.
struct EntryClient {
    known_urls: Vec<String>,
    /// Moment at which the list must be requested again.
    expires_at: Instant,
    next_index: usize,
}

impl EntryClient {
    /// Returns the URL of the next host; requests the list again first when it has expired.
    async fn next_url(&mut self) -> String {
        if Instant::now() >= self.expires_at {
            for known_url in self.known_urls.clone() {
                let requested_at = Instant::now();
                let url = format!("{known_url}/v1/entry-hosts?zone=zone1");
                let Ok(mut response) = awc::Client::default().get(url).send().await else {
                    continue;
                };
                let body = response.body().await.unwrap_or_default();
                let entry_list: Value = serde_json::from_slice(&body).unwrap_or_default();
                let hosts = entry_list["hosts"].as_array().cloned().unwrap_or_default();
                let address = |h: &Value| format!("http://{}", h["address"].as_str().unwrap_or(""));
                self.known_urls = hosts.iter().map(address).collect();
                let lifetime_ms = entry_list["lifetime_ms"].as_u64().unwrap_or(0);
                self.expires_at = requested_at + Duration::from_millis(lifetime_ms);
                break;
            }
        }
        self.next_index += 1;
        self.known_urls[self.next_index % self.known_urls.len()].clone()
    }
}

/// Returns the names of the hosts that an entry host lists.
async fn listed_hosts(fleet: &TestFleet, host: u8) -> Vec<String> {
    let url = format!("{}/v1/entry-hosts", fleet.caller_url(host));
    let mut response = awc::Client::default().get(url).send().await.expect("gateway answers");
    let entry_list: Value =
        serde_json::from_slice(&response.body().await.expect("body")).expect("JSON");
    let hosts = entry_list["hosts"].as_array().cloned().unwrap_or_default();
    hosts.iter().map(|h| h["host"].as_str().unwrap_or_default().to_owned()).collect()
}

/// Waits until each of these hosts lists `count` hosts.
async fn wait_for_listed(fleet: &TestFleet, entry_hosts: &[u8], count: usize) {
    let started = Instant::now();
    for host in entry_hosts {
        loop {
            let names = listed_hosts(fleet, *host).await;
            if names.len() == count {
                break;
            }
            assert!(started.elapsed() < MAX_LEAVING_DELAY, "host{host} lists {names:?}");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[actix_rt::test]
async fn every_gateway_of_nine_lists_every_live_host() {
    let mut plan = FleetPlan { hosts: 9, engines: 1, ..FleetPlan::default() };
    plan.env_vars.insert("TARRAGON_HEARTBEAT_MS".into(), "500".into());
    plan.env_vars.insert("TARRAGON_SESSION_TTL_MS".into(), "3000".into());
    let fleet = TestFleet::start(plan);
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        for host in 1..=9 {
            let names = listed_hosts(&fleet, host).await;
            assert_eq!(names.len(), 9, "host{host} lists {names:?}");
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

#[actix_rt::test]
async fn a_stopping_gateway_is_unlisted_and_serves_for_the_list_lifetime() {
    let lifetime = Duration::from_secs(6);
    let mut plan = plan();
    plan.env_vars.insert("TARRAGON_ENTRY_LIFETIME_MS".into(), lifetime.as_millis().to_string());
    let mut fleet = TestFleet::start(plan);
    for host in 1..=3 {
        fleet.wait_for_gateway(host).await;
    }
    wait_for_listed(&fleet, &[1, 2, 3], 3).await;
    let gateway = fleet.remove_process("host1/gateway");
    gateway.terminate();
    let stopped_at = Instant::now();
    wait_for_listed(&fleet, &[1, 2, 3], 2).await;
    while stopped_at.elapsed() < lifetime {
        let request = CompletionRequest::new("llama:a0@v1", 2);
        let outcome = request.send(&fleet.caller_url(1)).await;
        assert!(request.is_answered_by(&outcome), "{outcome:?} after {:?}", stopped_at.elapsed());
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let status = actix_rt::task::spawn_blocking(move || gateway.stop(STOP_TIMEOUT)).await;
    assert!(status.expect("stopped").success());
}

#[actix_rt::test]
async fn a_whole_host_stopped_under_load_loses_no_request() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    for host in 1..=3 {
        fleet.wait_for_gateway(host).await;
    }
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let keep_sending = Rc::new(Cell::new(true));
    let failures = Rc::new(RefCell::new(Vec::new()));
    let completed = Rc::new(Cell::new(0_u32));
    let clients = (0..12).map(|number| {
        let mut client = EntryClient {
            known_urls: urls.clone(),
            expires_at: Instant::now(),
            next_index: number,
        };
        let (keep_sending, failures) = (Rc::clone(&keep_sending), Rc::clone(&failures));
        let completed = Rc::clone(&completed);
        actix_rt::spawn(async move {
            while keep_sending.get() {
                let request = CompletionRequest::new(
                    &format!("llama:a{}@v2", number % 4),
                    20 + number as u32,
                );
                let url = client.next_url().await;
                let outcome = request.stream(&url).await;
                if request.is_answered_by(&outcome) {
                    completed.set(completed.get() + 1);
                } else {
                    failures.borrow_mut().push((url, outcome));
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
                let stop = move || process.stop(STOP_TIMEOUT);
                let status = actix_rt::task::spawn_blocking(stop).await.expect("stopped");
                assert!(status.success(), "{name} did not exit with success");
            }
        });
        join_all(stopping).await;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        fleet.start_host(host);
        fleet.wait_for_gateway(host).await;
    }
    keep_sending.set(false);
    join_all(clients).await;
    assert_eq!(*failures.borrow(), [], "{} answered", completed.get());
    assert!(
        completed.get() > 50,
        "only {} requests completed, too few for a load",
        completed.get()
    );
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}
