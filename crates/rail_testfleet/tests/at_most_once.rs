//! Keyed requests run at most once, with real processes.

use futures_util::future::{join, join_all};
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, ServiceCall, TestFleet};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};

fn plan(services: u8) -> FleetPlan {
    FleetPlan { engines: 1, services, adapters: 1, ..FleetPlan::default() }
}

fn refusal(reason: &str, ran: &str) -> CallerOutcome {
    CallerOutcome::Problem { reason: reason.to_owned(), ran: ran.to_owned() }
}

async fn pause(milliseconds: u64) {
    actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Counts executions of each key over all instances.
async fn executions(fleet: &TestFleet, services: u8) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for number in 1..=services {
        let stats = fleet.stats(&format!("service{number}")).await;
        for execution in stats["executions"].as_array().into_iter().flatten() {
            let key = execution["idempotency_key"].as_str().unwrap_or("none");
            *counts.entry(key.to_owned()).or_default() += 1;
        }
    }
    counts
}

#[actix_rt::test]
async fn a_key_runs_once_over_all_hosts() {
    let fleet = TestFleet::start(plan(2));
    let call = ServiceCall::with_key("k1", "platform 2 is closed");
    let first = call.send(&fleet.caller_url(1)).await;
    assert!(matches!(&first, CallerOutcome::Complete { .. }), "{first:?}");
    for host in [1, 2, 3] {
        assert_eq!(call.send(&fleet.caller_url(host)).await, first, "host{host}");
    }
    let other =
        ServiceCall::with_key("k1", "platform 3 is closed").send(&fleet.caller_url(2)).await;
    assert_eq!(other, refusal("idempotency_key_reused", "no"));
    assert_eq!(executions(&fleet, 2).await, BTreeMap::from([("k1".to_owned(), 1)]));
}

#[actix_rt::test]
async fn a_second_arrival_learns_that_the_first_is_in_progress() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1500})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let (first, second) = join(call.send(&url), async {
        pause(700).await;
        call.send(&fleet.caller_url(2)).await
    })
    .await;
    assert_eq!(second, refusal("in_progress", "unknown"));
    assert_eq!(call.send(&fleet.caller_url(3)).await, first);
    assert_eq!(executions(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn many_arrivals_at_once_run_once() {
    let fleet = TestFleet::start(plan(2));
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let calls: Vec<ServiceCall> =
        (0..20).map(|n| ServiceCall::with_key(&format!("k{}", n % 5), "x")).collect();
    let sends = calls.iter().enumerate().map(|(n, call)| call.send(&urls[n % 3]));
    join_all(sends).await;
    let counts = executions(&fleet, 2).await;
    assert_eq!(counts.len(), 5);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

#[actix_rt::test]
async fn a_lost_reply_of_the_claim_is_settled_by_reading_back() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("platform", json!({"lose_write_replies": 1})).await;
    let call = ServiceCall::with_key("k1", "x");
    let first = call.send(&fleet.caller_url(1)).await;
    assert!(matches!(&first, CallerOutcome::Complete { .. }), "{first:?}");
    assert_eq!(call.send(&fleet.caller_url(2)).await, first);
    assert_eq!(executions(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn without_the_platform_nothing_runs() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("platform", json!({"down": true})).await;
    let call = ServiceCall::with_key("k1", "x");
    let refused = call.send(&fleet.caller_url(1)).await;
    assert_eq!(refused, refusal("platform_unavailable", "no"));
    assert!(executions(&fleet, 1).await.is_empty());
    fleet.set_faults("platform", json!({})).await;
    let outcome = call.send(&fleet.caller_url(1)).await;
    assert!(matches!(&outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(executions(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn an_outcome_is_stored_after_an_outage() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let (first, ()) = join(call.send(&url), async {
        pause(500).await;
        fleet.set_faults("platform", json!({"down": true})).await;
    })
    .await;
    assert!(matches!(&first, CallerOutcome::Complete { .. }), "{first:?}");
    let during = call.send(&fleet.caller_url(2)).await;
    assert_eq!(during, refusal("platform_unavailable", "no"));
    fleet.set_faults("platform", json!({})).await;
    pause(6000).await;
    assert_eq!(call.send(&fleet.caller_url(2)).await, first);
    assert_eq!(executions(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn work_that_was_refused_can_be_sent_again() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"refuse": true})).await;
    let call = ServiceCall::with_key("k1", "x");
    let refused = call.send(&fleet.caller_url(1)).await;
    assert_eq!(refused, refusal("refused_by_upstream", "no"));
    assert!(executions(&fleet, 1).await.is_empty());
    fleet.set_faults("service1", json!({})).await;
    let outcome = call.send(&fleet.caller_url(2)).await;
    assert!(matches!(&outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(executions(&fleet, 1).await["k1"], 1);
}

/// What the callers of one key saw, joined with what the service saw.
#[derive(Debug)]
struct Joined {
    first: CallerOutcome,
    later: Vec<CallerOutcome>,
    runs_before_kill: u32,
    runs: u32,
}

/// Kills a process after this time and sends the same key to the other hosts until it is settled.
async fn kill_during(name: &str, after_ms: u64) -> Joined {
    let mut fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
    fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let kill = async {
        pause(after_ms).await;
        let runs = runs_of(&fleet).await;
        fleet.kill(name);
        runs
    };
    let (first, runs_before_kill) = join(call.send(&url), kill).await;
    if name == "service1" {
        fleet.start_process(name);
        pause(300).await;
    }
    let mut later = Vec::new();
    for host in [2, 3] {
        let mut outcome = call.send(&fleet.caller_url(host)).await;
        for _ in 0..60 {
            if outcome != refusal("in_progress", "unknown") {
                break;
            }
            pause(500).await;
            outcome = call.send(&fleet.caller_url(host)).await;
        }
        later.push(outcome);
    }
    // A killed service forgets what it ran.
    let forgotten = if name == "service1" { runs_before_kill } else { 0 };
    let runs = runs_of(&fleet).await + forgotten;
    Joined { first, later, runs_before_kill, runs }
}

async fn runs_of(fleet: &TestFleet) -> u32 {
    executions(fleet, 1).await.get("k1").copied().unwrap_or(0)
}

#[actix_rt::test]
async fn a_gateway_that_dies_at_any_step_never_makes_a_key_run_twice() {
    // Claim on its way, claimed and dispatched, running, storing the outcome, stored.
    for after_ms in [100, 500, 1000, 1450, 2200] {
        let joined = kill_during("host1/gateway", after_ms).await;
        assert!(joined.runs <= 1, "{after_ms}: {joined:?}");
        for outcome in &joined.later {
            let is_run = matches!(outcome, CallerOutcome::Complete { .. });
            let is_unknown = *outcome == refusal("unknown_outcome", "unknown");
            assert!(is_run || is_unknown, "{after_ms}: {joined:?}");
            assert!(!is_run || joined.runs == 1, "{after_ms}: {joined:?}");
        }
        assert!(!matches!(joined.first, CallerOutcome::Problem { .. }), "{after_ms}: {joined:?}");
    }
}

#[actix_rt::test]
async fn a_gateway_that_freezes_at_any_step_never_makes_a_key_run_twice() {
    for after_ms in [100, 500, 1450] {
        let mut fleet = TestFleet::start(plan(1));
        fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
        fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
        let call = ServiceCall::with_key("k1", "x");
        let (own, other) = (fleet.caller_url(1), fleet.caller_url(2));
        let (first, later) = join(call.send(&own), async {
            pause(after_ms).await;
            fleet.process("host1/gateway").freeze();
            pause(4500).await;
            let later = call.send(&other).await;
            fleet.process("host1/gateway").thaw();
            later
        })
        .await;
        let last = call.send(&other).await;
        let runs = runs_of(&fleet).await;
        assert!(runs <= 1, "{after_ms}: {runs} runs, {first:?}, {later:?}, {last:?}");
        if first == refusal("platform_unavailable", "no") {
            assert!(
                runs == 0 || matches!(last, CallerOutcome::Complete { .. }),
                "{after_ms}: {last:?}"
            );
        }
        if matches!(first, CallerOutcome::Complete { .. }) {
            assert_eq!(runs, 1, "{after_ms}");
            assert_eq!(last, first, "{after_ms}");
        }
        println!("frozen after {after_ms} ms: {first:?}, {later:?}, {last:?}, {runs} runs");
    }
}

#[actix_rt::test]
async fn a_host_that_is_cut_from_the_platform_refuses_and_others_run() {
    let fleet = TestFleet::start(plan(1));
    let cut = fleet.host_ip(1).to_string();
    fleet.set_faults("platform", json!({"cut_from": [cut]})).await;
    let call = ServiceCall::with_key("k1", "x");
    let refused = call.send(&fleet.caller_url(1)).await;
    assert_eq!(refused, refusal("platform_unavailable", "no"));
    let outcome = call.send(&fleet.caller_url(2)).await;
    assert!(matches!(outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(runs_of(&fleet).await, 1);
}

#[actix_rt::test]
async fn a_service_that_dies_at_any_step_never_makes_a_key_run_twice() {
    for after_ms in [100, 700, 1200] {
        let joined = kill_during("service1", after_ms).await;
        assert!(joined.runs <= 1, "{after_ms}: {joined:?}");
        if matches!(&joined.first, CallerOutcome::Problem { ran, .. } if ran == "no") {
            assert_eq!(joined.runs_before_kill, 0, "{after_ms}: {joined:?}");
        }
    }
}

#[actix_rt::test]
async fn a_keyed_completion_runs_once() {
    let fleet = TestFleet::start(plan(1));
    let mut request = CompletionRequest::new("llama:a0@v1", 5);
    request.extra_fields = json!({"idempotent": false});
    request.idempotency_key = Some("c1".to_owned());
    let first = request.send(&fleet.caller_url(1)).await;
    assert!(request.is_answered_by(&first), "{first:?}");
    assert_eq!(request.send(&fleet.caller_url(2)).await, first);
    let mut streamed = request.clone();
    streamed.idempotency_key = Some("c2".to_owned());
    let first = streamed.stream(&fleet.caller_url(3)).await;
    assert!(request.is_answered_by(&first), "{first:?}");
    assert_eq!(streamed.stream(&fleet.caller_url(1)).await, first);
    let runs = fleet.stats("engine1").await["executions"].as_array().map_or(0, Vec::len);
    assert_eq!(runs, 2);
}

#[actix_rt::test]
async fn old_claims_are_collected() {
    let mut plan = plan(1);
    plan.env_vars.insert("TARRAGON_CLAIM_RETENTION_MS".into(), "1".into());
    let fleet = TestFleet::start(plan);
    let mut request = CompletionRequest::new("llama:a0@v1", 1);
    request.extra_fields = json!({"idempotent": false, "deadline_ms": 1000});
    request.idempotency_key = Some("c1".to_owned());
    request.send(&fleet.caller_url(1)).await;
    pause(3000).await;
    let url = format!(
        "{}/api/v1/namespaces/tarragonrail/configmaps?labelSelector=tarragonrail-kind%3Dclaim",
        fleet.standin_url("platform")
    );
    let mut response = awc::Client::default().get(url).send().await.expect("platform answers");
    let list: Value = response.json().await.expect("list is JSON");
    assert_eq!(list["items"], json!([]));
}

/// What one caller saw of one request.
#[derive(Debug)]
struct Logged {
    body: String,
    outcomes: Vec<CallerOutcome>,
}

/// Sends a call until it has its outcome: again only when told that it did not run or is running.
async fn send_until_settled(urls: &[String], number: usize) -> Logged {
    let body = format!("alert {number}");
    // Every third call has no key and is sent once.
    let key = (!number.is_multiple_of(3)).then(|| format!("k{number}"));
    let call = ServiceCall { idempotency_key: key, body: body.clone() };
    let mut outcomes = Vec::new();
    for round in 0..20 {
        let outcome = call.send(&urls[(number + round) % urls.len()]).await;
        let is_settled = match &outcome {
            CallerOutcome::Problem { reason, ran } => ran != "no" && reason != "in_progress",
            _ => true,
        };
        outcomes.push(outcome);
        if is_settled || call.idempotency_key.is_none() {
            break;
        }
        pause(500).await;
    }
    Logged { body, outcomes }
}

async fn faults_in_turn(fleet: &mut TestFleet) {
    pause(300).await;
    fleet.set_faults("platform", json!({"lose_write_replies": 3})).await;
    pause(1200).await;
    fleet.kill("host1/scheduler");
    fleet.set_faults("service1", json!({"refuse": true})).await;
    pause(700).await;
    fleet.start_process("host1/scheduler");
    fleet.set_faults("service1", json!({"delay_ms": 300})).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    pause(1200).await;
    fleet.set_faults("platform", json!({"write_delay_ms": 200})).await;
    fleet.process("host2/scheduler").freeze();
    fleet.process("service2").freeze();
    pause(2500).await;
    fleet.process("service2").thaw();
    fleet.process("host2/scheduler").thaw();
    fleet.set_faults("engine1", json!({"crash": true})).await;
    fleet.set_faults("platform", json!({"lose_write_replies": 2})).await;
    pause(1500).await;
    fleet.set_faults("platform", json!({})).await;
}

#[actix_rt::test]
async fn callers_logs_joined_with_executions_show_no_fault() {
    let mut fleet =
        TestFleet::start(FleetPlan { services: 2, adapters: 2, ..FleetPlan::default() });
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let calls = join_all((0..90).map(|number| {
        let urls = &urls;
        async move {
            pause(90 * number as u64).await;
            send_until_settled(urls, number).await
        }
    }));
    let requests: Vec<CompletionRequest> =
        (0..60).map(|n| CompletionRequest::new(&format!("llama:a{}@v1", n % 2), 40)).collect();
    let completions = join_all(requests.iter().enumerate().map(|(number, request)| {
        let url = &urls[number % 3];
        async move {
            pause(130 * number as u64).await;
            if number % 2 == 0 { request.send(url).await } else { request.stream(url).await }
        }
    }));
    let ((logs, outcomes), ()) = join(join(calls, completions), faults_in_turn(&mut fleet)).await;

    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in ["service1", "service2"] {
        let stats = fleet.stats(service).await;
        for execution in stats["executions"].as_array().into_iter().flatten() {
            let body = execution["body"].as_str().unwrap_or_default();
            *runs.entry(body.to_owned()).or_default() += 1;
        }
    }
    let mut counts = BTreeMap::from([("answered", 0), ("not run", 0), ("unknown", 0)]);
    for log in &logs {
        let runs = runs.get(&log.body).copied().unwrap_or(0);
        assert!(runs <= 1, "repeated: {log:?}");
        match log.outcomes.last().expect("each call has an answer") {
            CallerOutcome::Complete { text, .. } => {
                let body: Value = serde_json::from_str(text).expect("answer is JSON");
                assert_eq!(body["body"], log.body.as_str(), "crossed: {log:?}");
                assert_eq!(runs, 1, "{log:?}");
                *counts.entry("answered").or_default() += 1;
            }
            CallerOutcome::Problem { ran, .. } if ran == "no" => {
                assert_eq!(runs, 0, "false not_run: {log:?}");
                *counts.entry("not run").or_default() += 1;
            }
            CallerOutcome::Problem { .. } => *counts.entry("unknown").or_default() += 1,
            lost => panic!("silent loss: {lost:?}"),
        }
    }
    let mut whole = 0;
    let mut problems = BTreeMap::new();
    for (request, outcome) in requests.iter().zip(&outcomes) {
        match outcome {
            CallerOutcome::Complete { .. } => {
                assert!(request.is_answered_by(outcome), "wrong: {outcome:?}")
            }
            CallerOutcome::Problem { reason, .. } => {
                assert_ne!(reason, "quarantined", "no request of this test crashes an engine");
                *problems.entry(reason.clone()).or_insert(0) += 1;
                continue;
            }
            lost => panic!("silent loss: {lost:?}"),
        }
        whole += 1;
    }
    println!("calls: {counts:?}; completions: {whole} whole of {}, {problems:?}", requests.len());
}
