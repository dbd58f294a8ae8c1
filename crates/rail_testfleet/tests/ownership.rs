//! Ownership of engines survives faults, tested with real processes.

use futures_util::future::join_all;
use rail_lease::timing::RENEWAL_WRITES_PER_S;
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time to live of host sessions, as [`FleetPlan::default`] sets it.
const SESSION_TTL: Duration = Duration::from_secs(2);
/// Maximum time for which an engine may be without an owner. It covers a time to live on each side,
/// a confirmation that is valid for one more, and the resolution of lost replies.
const MAX_TIME_WITHOUT_OWNER: Duration = Duration::from_secs(10);

/// Returns the number of the host that owns an engine.
fn owner_host(fleet: &TestFleet, engine: &str) -> u8 {
    let owners = fleet.owners();
    let host = owners.get(engine).expect("engine has an owner");
    host.trim_start_matches("host").parse().expect("hosts are numbered")
}

fn next_host(host: u8) -> u8 {
    host % 3 + 1
}

/// Waits until requests for all four adapters, which together should need every engine, succeed
/// through this host; returns the time taken.
async fn wait_for_answers(fleet: &TestFleet, host: u8) -> Duration {
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
        assert!(
            started.elapsed() < MAX_TIME_WITHOUT_OWNER,
            "no answers through host{host}: {outcomes:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until the other hosts own all three engines; returns the time taken.
async fn wait_for_takeover(fleet: &TestFleet, lost_owner: u8) -> Duration {
    let started = Instant::now();
    let lost_host = format!("host{lost_owner}");
    loop {
        let reader = next_host(lost_owner);
        let output = fleet.ctl(reader, &["status", "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        let other_processes = processes.iter().filter(|p| p["host"] != lost_host.as_str());
        let owned: usize =
            other_processes.filter_map(|p| p["owned_engines"].as_array().map(Vec::len)).sum();
        if owned >= 3 {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < MAX_TIME_WITHOUT_OWNER,
            "engines of host{lost_owner} are not taken over: {status}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends requests through these hosts for this time and returns the number of complete outcomes.
/// Problems are allowed; panics on a wrong completion or a lost connection.
async fn count_complete(fleet: &TestFleet, hosts: &[u8], duration: Duration) -> usize {
    let started = Instant::now();
    let callers = hosts.iter().map(|host| async move {
        let mut completed = 0;
        while started.elapsed() < duration {
            let request = CompletionRequest::new(&format!("llama:a{}@v1", completed % 4), 3);
            match request.send(&fleet.caller_url(*host)).await {
                CallerOutcome::Complete { model, text } => {
                    assert_eq!((model, text), (request.model.clone(), request.expected_text()));
                    completed += 1;
                }
                CallerOutcome::Problem { .. } => {}
                outcome => panic!("connection lost without an outcome: {outcome:?}"),
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        completed
    });
    join_all(callers).await.into_iter().sum()
}

async fn assert_nothing_evicted_in_use(fleet: &TestFleet) {
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}

fn plan(checks_fencing: bool) -> FleetPlan {
    FleetPlan { checks_fencing, ..FleetPlan::default() }
}

/// Kills the owner of an engine and waits until another host owns and serves it.
async fn kill_and_take_over(checks_fencing: bool) {
    let mut fleet = TestFleet::start(plan(checks_fencing));
    let owner = owner_host(&fleet, "engine1");
    fleet.kill(&format!("host{owner}/scheduler"));
    let takeover = wait_for_takeover(&fleet, owner).await;
    wait_for_answers(&fleet, next_host(owner)).await;
    println!("killed, checks_fencing {checks_fencing}: taken over after {takeover:.2?}");
    assert_nothing_evicted_in_use(&fleet).await;
}

/// Freezes an owner until another host has taken over. After the thaw its orders are out of date,
/// so engines must not accept any, and the process must exit.
async fn freeze_and_thaw(checks_fencing: bool) {
    let mut fleet = TestFleet::start(plan(checks_fencing));
    let owner = owner_host(&fleet, "engine1");
    let name = format!("host{owner}/scheduler");
    fleet.process(&name).freeze();
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("frozen, checks_fencing {checks_fencing}: taken over after {takeover:.2?}");
    fleet.process(&name).thaw();
    let others = [next_host(owner), next_host(next_host(owner))];
    assert!(count_complete(&fleet, &others, SESSION_TTL).await > 0, "answers after the thaw");
    assert_nothing_evicted_in_use(&fleet).await;
    assert_eq!(fleet.sum_engine_stat("stale_orders_accepted").await, 0);
    assert!(fleet.process(&name).has_ended(), "a process whose session was revoked must exit");
}

#[actix_rt::test]
async fn killed_owner_is_replaced() {
    kill_and_take_over(true).await;
}

#[actix_rt::test]
async fn killed_owner_is_replaced_at_engines_without_fencing() {
    kill_and_take_over(false).await;
}

#[actix_rt::test]
async fn owner_frozen_past_its_ttl_sends_no_order() {
    freeze_and_thaw(true).await;
}

#[actix_rt::test]
async fn owner_frozen_past_its_ttl_sends_no_order_to_engines_without_fencing() {
    freeze_and_thaw(false).await;
}

#[actix_rt::test]
async fn planned_stop_hands_over() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = owner_host(&fleet, "engine1");
    let process = fleet.remove_process(&format!("host{owner}/scheduler"));
    process.terminate();
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("planned stop: taken over after {takeover:.2?}");
    assert!(process.stop(MAX_TIME_WITHOUT_OWNER).success(), "ends with success");
    wait_for_answers(&fleet, next_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

/// Stops an owner gracefully while the platform has these faults, which end after the stop.
async fn planned_stop_with(faults: serde_json::Value) {
    let mut fleet = TestFleet::start(plan(true));
    let owner = owner_host(&fleet, "engine1");
    let process = fleet.remove_process(&format!("host{owner}/scheduler"));
    fleet.set_faults("platform", faults.clone()).await;
    let stopped =
        actix_rt::task::spawn_blocking(move || process.stop(MAX_TIME_WITHOUT_OWNER)).await;
    assert!(stopped.expect("stopped").success(), "ends with success");
    fleet.set_faults("platform", json!({})).await;
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("planned stop with {faults}: taken over {takeover:.2?} after the fault");
    wait_for_answers(&fleet, next_host(owner)).await;
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
    let owner = owner_host(&fleet, "engine1");
    let name = format!("host{owner}/scheduler");
    fleet.kill(&name);
    fleet.start_process(&name);
    let time_to_answers = wait_for_answers(&fleet, next_host(owner)).await;
    println!("killed and restarted: answers after {time_to_answers:.2?}");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owners_keep_their_engines_while_the_platform_is_down_for_all() {
    let fleet = TestFleet::start(plan(true));
    let before = fleet.owners();
    wait_for_answers(&fleet, 1).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    actix_rt::time::sleep(2 * SESSION_TTL).await;
    let complete = count_complete(&fleet, &[1, 2, 3], SESSION_TTL).await;
    assert!(complete > 0, "loaded adapters are served in the outage");
    let mut states = Vec::new();
    for host in 1..=3 {
        let log = fleet.log(&format!("host{host}/scheduler"));
        states.push(log.lines().rfind(|l| l.contains("session changed")).unwrap_or("").to_owned());
    }
    assert!(states.iter().all(|line| line.ends_with("to Corroborated")), "{states:?}");
    fleet.set_faults("platform", json!({})).await;
    wait_for_answers(&fleet, 1).await;
    assert_eq!(fleet.owners(), before, "an engine changed its owner");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owner_cut_from_the_platform_is_replaced() {
    let fleet = TestFleet::start(plan(true));
    let owner = owner_host(&fleet, "engine1");
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(owner)]})).await;
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("cut from the platform: taken over after {takeover:.2?}");
    fleet.set_faults("platform", json!({})).await;
    wait_for_answers(&fleet, next_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owner_killed_in_an_outage_is_replaced_after_it() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = owner_host(&fleet, "engine1");
    fleet.set_faults("platform", json!({"down": true})).await;
    actix_rt::time::sleep(SESSION_TTL + SESSION_TTL / 2).await;
    fleet.kill(&format!("host{owner}/scheduler"));
    actix_rt::time::sleep(SESSION_TTL).await;
    fleet.set_faults("platform", json!({})).await;
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("killed in an outage: taken over {takeover:.2?} after its end");
    wait_for_answers(&fleet, next_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn schedulers_all_restarted_in_an_outage_serve_after_it() {
    let mut fleet = TestFleet::start(plan(true));
    fleet.set_faults("platform", json!({"down": true})).await;
    for host in 1..=3 {
        let name = format!("host{host}/scheduler");
        fleet.kill(&name);
        fleet.start_process(&name);
    }
    actix_rt::time::sleep(SESSION_TTL).await;
    fleet.set_faults("platform", json!({})).await;
    let time_to_answers = wait_for_answers(&fleet, 1).await;
    println!("all replaced in an outage: answers {time_to_answers:.2?} after its end");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn owners_keep_engines_despite_lost_replies_and_slow_writes() {
    let fleet = TestFleet::start(plan(true));
    let before = fleet.owners();
    fleet.set_faults("platform", json!({"lose_write_replies": 3})).await;
    assert!(
        count_complete(&fleet, &[1, 2, 3], 2 * SESSION_TTL).await > 0,
        "answers with lost replies"
    );
    fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
    assert!(
        count_complete(&fleet, &[1, 2, 3], 2 * SESSION_TTL).await > 0,
        "answers with slow writes"
    );
    fleet.set_faults("platform", json!({})).await;
    wait_for_answers(&fleet, 1).await;
    assert_eq!(fleet.owners(), before, "an engine changed its owner");
    assert_nothing_evicted_in_use(&fleet).await;
}

#[actix_rt::test]
async fn takeover_with_lost_replies_and_slow_writes_completes() {
    let mut fleet = TestFleet::start(plan(true));
    let owner = owner_host(&fleet, "engine1");
    fleet.kill(&format!("host{owner}/scheduler"));
    let faults = json!({"lose_write_replies": 2, "write_delay_ms": 200});
    fleet.set_faults("platform", faults).await;
    let takeover = wait_for_takeover(&fleet, owner).await;
    println!("killed, lost replies, slow writes: taken over after {takeover:.2?}");
    wait_for_answers(&fleet, next_host(owner)).await;
    assert_nothing_evicted_in_use(&fleet).await;
}

/// Returns the writes per second that an idle fleet sends to the platform.
async fn idle_writes_per_s(hosts: u8) -> f64 {
    let fleet = TestFleet::start(FleetPlan { hosts, ..plan(true) });
    let read = async || {
        let stats = fleet.stats("platform").await;
        ["reads", "writes", "watches"].map(|key| stats[key].as_u64().unwrap_or(0) as f64)
    };
    actix_rt::time::sleep(SESSION_TTL).await;
    let before = read().await;
    let duration = 3 * SESSION_TTL;
    actix_rt::time::sleep(duration).await;
    let after = read().await;
    let rates: Vec<f64> = after
        .iter()
        .zip(before)
        .map(|(after, before)| (after - before) / duration.as_secs_f64())
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
