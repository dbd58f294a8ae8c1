//! Ownership of engines through faults, with real processes.

use futures_util::future::join_all;
use rail_lease::timing::RENEWAL_WRITES_PER_S;
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::time::{Duration, Instant};

/// Session time to live of the test fleets.
const TTL: Duration = Duration::from_secs(2);
/// Longest time without an owner: a time to live on each side, a confirmation that still counts
/// for one more, and the settling of lost replies.
const OWNER_LIMIT: Duration = Duration::from_secs(10);

fn host_of(fleet: &TestFleet, engine: &str) -> u8 {
    let owners = fleet.owners();
    let host = owners.get(engine).expect("engine has an owner");
    host.trim_start_matches("host").parse().expect("hosts are numbered")
}

fn other_host(host: u8) -> u8 {
    host % 3 + 1
}

/// Waits until an adapter of every engine is answered through this host.
async fn time_to_answer(fleet: &TestFleet, host: u8) -> Duration {
    let started = Instant::now();
    loop {
        let requests: Vec<CompletionRequest> =
            (0..4).map(|a| CompletionRequest::new(&format!("llama:a{a}@v1"), 2)).collect();
        let url = fleet.caller_url(host);
        let outcomes = join_all(requests.iter().map(|request| request.send(&url))).await;
        if requests.iter().zip(&outcomes).all(|(request, outcome)| request.is_answered_by(outcome))
        {
            return started.elapsed();
        }
        assert!(started.elapsed() < OWNER_LIMIT, "no answers through host{host}: {outcomes:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until none of the engines is owned by this host and each has an owner.
async fn time_to_takeover(fleet: &TestFleet, from: u8) -> Duration {
    let started = Instant::now();
    let lost = format!("host{from}");
    loop {
        let reader = other_host(from);
        let output = fleet.ctl(reader, &["status", "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        let alive = processes.iter().filter(|p| p["host"] != lost.as_str());
        let owned: usize = alive.filter_map(|p| p["owned_engines"].as_array().map(Vec::len)).sum();
        if owned >= 3 {
            return started.elapsed();
        }
        assert!(started.elapsed() < OWNER_LIMIT, "engines of host{from} are taken over: {status}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Asserts that answers are whole or `not run`, and gives the number of whole ones.
async fn count_whole(fleet: &TestFleet, hosts: &[u8], time: Duration) -> usize {
    let started = Instant::now();
    let askers = hosts.iter().map(|host| async move {
        let mut whole = 0;
        while started.elapsed() < time {
            let request = CompletionRequest::new(&format!("llama:a{}@v1", whole % 4), 3);
            match request.send(&fleet.caller_url(*host)).await {
                CallerOutcome::Complete { model, text } => {
                    assert_eq!((model, text), (request.model.clone(), request.expected_text()));
                    whole += 1;
                }
                CallerOutcome::Problem { .. } => {}
                outcome => panic!("silent loss: {outcome:?}"),
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        whole
    });
    join_all(askers).await.into_iter().sum()
}

async fn assert_nothing_evicted_in_use(fleet: &TestFleet) {
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}

fn plan(checks_fencing: bool) -> FleetPlan {
    FleetPlan { checks_fencing, ..FleetPlan::default() }
}

async fn kill_and_take_over(checks_fencing: bool) {
    let mut fleet = TestFleet::start(plan(checks_fencing));
    let owner = host_of(&fleet, "engine1");
    fleet.kill(&format!("host{owner}/scheduler"));
    let takeover = time_to_takeover(&fleet, owner).await;
    time_to_answer(&fleet, other_host(owner)).await;
    println!("killed, checks_fencing {checks_fencing}: taken over after {takeover:.2?}");
    assert_nothing_evicted_in_use(&fleet).await;
}

async fn freeze_and_thaw(checks_fencing: bool) {
    let mut fleet = TestFleet::start(plan(checks_fencing));
    let owner = host_of(&fleet, "engine1");
    let name = format!("host{owner}/scheduler");
    fleet.process(&name).freeze();
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("frozen, checks_fencing {checks_fencing}: taken over after {takeover:.2?}");
    fleet.process(&name).thaw();
    let others = [other_host(owner), other_host(other_host(owner))];
    assert!(count_whole(&fleet, &others, TTL).await > 0, "answers after the thaw");
    assert_nothing_evicted_in_use(&fleet).await;
    assert_eq!(fleet.sum_engine_stat("stale_orders_accepted").await, 0);
    assert!(fleet.process(&name).has_ended(), "a revoked process ends");
}

#[actix_rt::test]
async fn killed_owner_is_replaced() {
    kill_and_take_over(true).await;
}

#[actix_rt::test]
async fn killed_owner_is_replaced_at_engines_that_check_nothing() {
    kill_and_take_over(false).await;
}

#[actix_rt::test]
async fn owner_frozen_past_its_ttl_gives_no_order() {
    freeze_and_thaw(true).await;
}

#[actix_rt::test]
async fn owner_frozen_past_its_ttl_gives_no_order_to_engines_that_check_nothing() {
    freeze_and_thaw(false).await;
}

#[actix_rt::test]
async fn planned_stop_hands_over() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    let process = fleet.remove_process(&format!("host{owner}/scheduler"));
    process.terminate();
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("planned stop: taken over after {takeover:.2?}");
    assert!(process.stop(OWNER_LIMIT).success(), "ends with success");
    time_to_answer(&fleet, other_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

async fn planned_stop_with(faults: serde_json::Value) {
    let mut fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    let process = fleet.remove_process(&format!("host{owner}/scheduler"));
    fleet.set_faults("platform", faults.clone()).await;
    let stopped = actix_rt::task::spawn_blocking(move || process.stop(OWNER_LIMIT)).await;
    assert!(stopped.expect("stopped").success(), "ends with success");
    fleet.set_faults("platform", json!({})).await;
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("planned stop with {faults}: taken over {takeover:.2?} after the fault");
    time_to_answer(&fleet, other_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn planned_stop_with_lost_replies_hands_over() {
    planned_stop_with(json!({"lose_write_replies": 4})).await;
}

#[actix_rt::test]
async fn planned_stop_with_slow_writes_hands_over() {
    planned_stop_with(json!({"write_delay_ms": 400})).await;
}

#[actix_rt::test]
async fn planned_stop_in_an_outage_hands_over_after_it() {
    planned_stop_with(json!({"down": true})).await;
}

#[actix_rt::test]
async fn owner_restarted_at_its_address_is_replaced() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    let name = format!("host{owner}/scheduler");
    fleet.kill(&name);
    fleet.start_process(&name);
    let ready = time_to_answer(&fleet, other_host(owner)).await;
    println!("killed and restarted: answers after {ready:.2?}");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owners_keep_their_engines_while_the_platform_is_down_for_all() {
    let fleet = TestFleet::start(plan(true));
    let before = fleet.owners();
    time_to_answer(&fleet, 1).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    actix_rt::time::sleep(2 * TTL).await;
    let whole = count_whole(&fleet, &[1, 2, 3], TTL).await;
    assert!(whole > 0, "loaded adapters are served in the outage");
    let mut states = Vec::new();
    for host in 1..=3 {
        let log = fleet.log(&format!("host{host}/scheduler"));
        states.push(log.lines().rfind(|l| l.contains("session changed")).unwrap_or("").to_owned());
    }
    assert!(states.iter().all(|line| line.ends_with("to Corroborated")), "{states:?}");
    fleet.set_faults("platform", json!({})).await;
    time_to_answer(&fleet, 1).await;
    assert_eq!(fleet.owners(), before, "nobody lost an engine");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owner_cut_from_the_platform_is_replaced() {
    let fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(owner)]})).await;
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("cut from the platform: taken over after {takeover:.2?}");
    fleet.set_faults("platform", json!({})).await;
    time_to_answer(&fleet, other_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owner_killed_in_an_outage_is_replaced_after_it() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    fleet.set_faults("platform", json!({"down": true})).await;
    actix_rt::time::sleep(TTL + TTL / 2).await;
    fleet.kill(&format!("host{owner}/scheduler"));
    actix_rt::time::sleep(TTL).await;
    fleet.set_faults("platform", json!({})).await;
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("killed in an outage: taken over {takeover:.2?} after its end");
    time_to_answer(&fleet, other_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn all_owners_replaced_in_an_outage_come_back_after_it() {
    let mut fleet = TestFleet::start(plan(true));
    fleet.set_faults("platform", json!({"down": true})).await;
    for host in 1..=3 {
        let name = format!("host{host}/scheduler");
        fleet.kill(&name);
        fleet.start_process(&name);
    }
    actix_rt::time::sleep(TTL).await;
    fleet.set_faults("platform", json!({})).await;
    let ready = time_to_answer(&fleet, 1).await;
    println!("all replaced in an outage: answers {ready:.2?} after its end");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn lost_replies_and_slow_writes_cost_no_ownership() {
    let fleet = TestFleet::start(plan(true));
    let before = fleet.owners();
    fleet.set_faults("platform", json!({"lose_write_replies": 3})).await;
    assert!(count_whole(&fleet, &[1, 2, 3], 2 * TTL).await > 0, "answers with lost replies");
    fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
    assert!(count_whole(&fleet, &[1, 2, 3], 2 * TTL).await > 0, "answers with slow writes");
    fleet.set_faults("platform", json!({})).await;
    time_to_answer(&fleet, 1).await;
    assert_eq!(fleet.owners(), before, "nobody lost an engine");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn takeover_with_lost_replies_and_slow_writes_comes_to_an_end() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = host_of(&fleet, "engine1");
    fleet.kill(&format!("host{owner}/scheduler"));
    let faults = json!({"lose_write_replies": 2, "write_delay_ms": 200});
    fleet.set_faults("platform", faults).await;
    let takeover = time_to_takeover(&fleet, owner).await;
    println!("killed, lost replies, slow writes: taken over after {takeover:.2?}");
    time_to_answer(&fleet, other_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

/// Writes a second to the platform by an idle fleet.
async fn idle_writes_per_s(hosts: u8) -> f64 {
    let fleet = TestFleet::start(FleetPlan { hosts, ..plan(true) });
    let read = async || {
        let stats = fleet.stats("platform").await;
        ["reads", "writes", "watches"].map(|key| stats[key].as_u64().unwrap_or(0) as f64)
    };
    actix_rt::time::sleep(TTL).await;
    let before = read().await;
    let time = 3 * TTL;
    actix_rt::time::sleep(time).await;
    let after = read().await;
    let rates: Vec<f64> = after
        .iter()
        .zip(before)
        .map(|(after, before)| (after - before) / time.as_secs_f64())
        .collect();
    println!("{hosts} hosts: reads, writes, new watches a second {rates:.2?}");
    rates[1]
}

#[actix_rt::test]
async fn renewals_stay_under_their_write_budget() {
    for hosts in [3, 9] {
        let writes_per_s = idle_writes_per_s(hosts).await;
        assert!(writes_per_s <= RENEWAL_WRITES_PER_S, "{hosts} hosts: {writes_per_s}");
    }
}
