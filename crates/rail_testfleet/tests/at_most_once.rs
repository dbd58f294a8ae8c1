//! Requests with an idempotency key run at most once, tested with real processes.

use futures_util::future::{join, join_all};
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, ServiceCall, TestFleet};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};

fn plan(services: u8) -> FleetPlan {
    FleetPlan { engines: 1, services, adapters: 1, ..FleetPlan::default() }
}

fn problem(reason: &str, ran: &str) -> CallerOutcome {
    CallerOutcome::Problem { reason: reason.to_owned(), ran: ran.to_owned() }
}

async fn sleep_ms(milliseconds: u64) {
    actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Returns the number of executions of each key, summed over all instances of the service.
async fn executions_by_key(fleet: &TestFleet, services: u8) -> BTreeMap<String, u32> {
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
    assert_eq!(other, problem("idempotency_key_reused", "no"));
    assert_eq!(executions_by_key(&fleet, 2).await, BTreeMap::from([("k1".to_owned(), 1)]));
}

#[actix_rt::test]
async fn a_second_arrival_learns_that_the_first_is_in_progress() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1500})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let (first, second) = join(call.send(&url), async {
        sleep_ms(700).await;
        call.send(&fleet.caller_url(2)).await
    })
    .await;
    assert_eq!(second, problem("in_progress", "unknown"));
    assert_eq!(call.send(&fleet.caller_url(3)).await, first);
    assert_eq!(executions_by_key(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn many_arrivals_at_once_run_once() {
    let fleet = TestFleet::start(plan(2));
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let calls: Vec<ServiceCall> =
        (0..20).map(|n| ServiceCall::with_key(&format!("k{}", n % 5), "x")).collect();
    let sends = calls.iter().enumerate().map(|(n, call)| call.send(&urls[n % 3]));
    join_all(sends).await;
    let counts = executions_by_key(&fleet, 2).await;
    assert_eq!(counts.len(), 5);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

// The platform writes the claim but its reply is lost. A gateway that took this for a failure would
// refuse its own claim, and one that wrote it again could run the call twice.
#[actix_rt::test]
async fn a_lost_reply_of_the_claim_is_settled_by_reading_back() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("platform", json!({"lose_write_replies": 1})).await;
    let call = ServiceCall::with_key("k1", "x");
    let first = call.send(&fleet.caller_url(1)).await;
    assert!(matches!(&first, CallerOutcome::Complete { .. }), "{first:?}");
    assert_eq!(call.send(&fleet.caller_url(2)).await, first);
    assert_eq!(executions_by_key(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn without_the_platform_nothing_runs() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("platform", json!({"down": true})).await;
    let call = ServiceCall::with_key("k1", "x");
    let refused = call.send(&fleet.caller_url(1)).await;
    assert_eq!(refused, problem("platform_unavailable", "no"));
    assert!(executions_by_key(&fleet, 1).await.is_empty());
    fleet.set_faults("platform", json!({})).await;
    let outcome = call.send(&fleet.caller_url(1)).await;
    assert!(matches!(&outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(executions_by_key(&fleet, 1).await["k1"], 1);
}

// The platform fails while the call runs, so its outcome can't be stored at once. Until it is
// stored, other hosts must refuse the key instead of running it again.
#[actix_rt::test]
async fn an_outcome_is_stored_after_an_outage() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let (first, ()) = join(call.send(&url), async {
        sleep_ms(500).await;
        fleet.set_faults("platform", json!({"down": true})).await;
    })
    .await;
    assert!(matches!(&first, CallerOutcome::Complete { .. }), "{first:?}");
    let during = call.send(&fleet.caller_url(2)).await;
    assert_eq!(during, problem("platform_unavailable", "no"));
    fleet.set_faults("platform", json!({})).await;
    sleep_ms(6000).await;
    assert_eq!(call.send(&fleet.caller_url(2)).await, first);
    assert_eq!(executions_by_key(&fleet, 1).await["k1"], 1);
}

#[actix_rt::test]
async fn work_that_was_refused_can_be_sent_again() {
    let fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"refuse": true})).await;
    let call = ServiceCall::with_key("k1", "x");
    let refused = call.send(&fleet.caller_url(1)).await;
    assert_eq!(refused, problem("refused_by_upstream", "no"));
    assert!(executions_by_key(&fleet, 1).await.is_empty());
    fleet.set_faults("service1", json!({})).await;
    let outcome = call.send(&fleet.caller_url(2)).await;
    assert!(matches!(&outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(executions_by_key(&fleet, 1).await["k1"], 1);
}

/// Outcomes of all calls with one key and the executions that the service recorded.
#[derive(Debug)]
struct KeyHistory {
    /// Outcome of the call during which the process was killed.
    first: CallerOutcome,
    /// Final outcome at each of the other hosts.
    later: Vec<CallerOutcome>,
    runs_before_kill: u32,
    runs: u32,
}

/// Kills a process during a call and sends the same key to the other hosts until it is no longer in
/// progress there.
async fn kill_during_call(name: &str, after_ms: u64) -> KeyHistory {
    let mut fleet = TestFleet::start(plan(1));
    fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
    fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
    let call = ServiceCall::with_key("k1", "x");
    let url = fleet.caller_url(1);
    let kill = async {
        sleep_ms(after_ms).await;
        let runs = executions_of_k1(&fleet).await;
        fleet.kill(name);
        runs
    };
    let (first, runs_before_kill) = join(call.send(&url), kill).await;
    if name == "service1" {
        fleet.start_process(name);
        sleep_ms(300).await;
    }
    let mut later = Vec::new();
    for host in [2, 3] {
        let mut outcome = call.send(&fleet.caller_url(host)).await;
        for _ in 0..60 {
            if outcome != problem("in_progress", "unknown") {
                break;
            }
            sleep_ms(500).await;
            outcome = call.send(&fleet.caller_url(host)).await;
        }
        later.push(outcome);
    }
    // A killed service loses its record of executions.
    let lost_executions = if name == "service1" { runs_before_kill } else { 0 };
    let runs = executions_of_k1(&fleet).await + lost_executions;
    KeyHistory { first, later, runs_before_kill, runs }
}

async fn executions_of_k1(fleet: &TestFleet) -> u32 {
    executions_by_key(fleet, 1).await.get("k1").copied().unwrap_or(0)
}

#[actix_rt::test]
async fn a_gateway_that_dies_at_any_step_never_makes_a_key_run_twice() {
    // The kill falls into: writing the claim, dispatching, running, storing the outcome, and the
    // time after the outcome is stored.
    for after_ms in [100, 500, 1000, 1450, 2200] {
        let history = kill_during_call("host1/gateway", after_ms).await;
        assert!(history.runs <= 1, "{after_ms}: {history:?}");
        for outcome in &history.later {
            let is_complete = matches!(outcome, CallerOutcome::Complete { .. });
            let is_unknown = *outcome == problem("unknown_outcome", "unknown");
            assert!(is_complete || is_unknown, "{after_ms}: {history:?}");
            assert!(!is_complete || history.runs == 1, "{after_ms}: {history:?}");
        }
        assert!(!matches!(history.first, CallerOutcome::Problem { .. }), "{after_ms}: {history:?}");
    }
}

// A frozen gateway may resume after another host has resolved the outcome of the key. The call must
// run at most once in total, and all outcomes must agree with the number of runs.
#[actix_rt::test]
async fn a_gateway_that_freezes_at_any_step_never_makes_a_key_run_twice() {
    for after_ms in [100, 500, 1450] {
        let mut fleet = TestFleet::start(plan(1));
        fleet.set_faults("service1", json!({"delay_ms": 1000})).await;
        fleet.set_faults("platform", json!({"write_delay_ms": 300})).await;
        let call = ServiceCall::with_key("k1", "x");
        let (own_url, other_url) = (fleet.caller_url(1), fleet.caller_url(2));
        let (first, later) = join(call.send(&own_url), async {
            sleep_ms(after_ms).await;
            fleet.process("host1/gateway").freeze();
            sleep_ms(4500).await;
            let later = call.send(&other_url).await;
            fleet.process("host1/gateway").thaw();
            later
        })
        .await;
        let last = call.send(&other_url).await;
        let runs = executions_of_k1(&fleet).await;
        assert!(runs <= 1, "{after_ms}: {runs} runs, {first:?}, {later:?}, {last:?}");
        if first == problem("platform_unavailable", "no") {
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
    assert_eq!(refused, problem("platform_unavailable", "no"));
    let outcome = call.send(&fleet.caller_url(2)).await;
    assert!(matches!(outcome, CallerOutcome::Complete { .. }), "{outcome:?}");
    assert_eq!(executions_of_k1(&fleet).await, 1);
}

#[actix_rt::test]
async fn a_service_that_dies_at_any_step_never_makes_a_key_run_twice() {
    for after_ms in [100, 700, 1200] {
        let history = kill_during_call("service1", after_ms).await;
        assert!(history.runs <= 1, "{after_ms}: {history:?}");
        if matches!(&history.first, CallerOutcome::Problem { ran, .. } if ran == "no") {
            assert_eq!(history.runs_before_kill, 0, "{after_ms}: {history:?}");
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
    sleep_ms(3000).await;
    let url = format!(
        "{}/api/v1/namespaces/tarragonrail/configmaps?labelSelector=tarragonrail-kind%3Dclaim",
        fleet.standin_url("platform")
    );
    let mut response = awc::Client::default().get(url).send().await.expect("platform answers");
    let list: Value = response.json().await.expect("list is JSON");
    assert_eq!(list["items"], json!([]));
}

/// Outcomes of all attempts of one call, as its caller observes them.
#[derive(Debug)]
struct CallRecord {
    body: String,
    outcomes: Vec<CallerOutcome>,
}

/// Sends a call until its outcome is final. It is sent again only when the outcome says that it did
/// not run or is in progress.
async fn send_until_resolved(urls: &[String], number: usize) -> CallRecord {
    let body = format!("alert {number}");
    // Every third call has no key, so it is sent only once.
    let key = (!number.is_multiple_of(3)).then(|| format!("k{number}"));
    let call = ServiceCall { idempotency_key: key, body: body.clone() };
    let mut outcomes = Vec::new();
    for round in 0..20 {
        let outcome = call.send(&urls[(number + round) % urls.len()]).await;
        let is_resolved = match &outcome {
            CallerOutcome::Problem { reason, ran } => ran != "no" && reason != "in_progress",
            _ => true,
        };
        outcomes.push(outcome);
        if is_resolved || call.idempotency_key.is_none() {
            break;
        }
        sleep_ms(500).await;
    }
    CallRecord { body, outcomes }
}

/// Injects faults of the platform, schedulers, services and an engine one after another.
async fn inject_faults(fleet: &mut TestFleet) {
    sleep_ms(300).await;
    fleet.set_faults("platform", json!({"lose_write_replies": 3})).await;
    sleep_ms(1200).await;
    fleet.kill("host1/scheduler");
    fleet.set_faults("service1", json!({"refuse": true})).await;
    sleep_ms(700).await;
    fleet.start_process("host1/scheduler");
    fleet.set_faults("service1", json!({"delay_ms": 300})).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    sleep_ms(1200).await;
    fleet.set_faults("platform", json!({"write_delay_ms": 200})).await;
    fleet.process("host2/scheduler").freeze();
    fleet.process("service2").freeze();
    sleep_ms(2500).await;
    fleet.process("service2").thaw();
    fleet.process("host2/scheduler").thaw();
    fleet.set_faults("engine1", json!({"crash": true})).await;
    fleet.set_faults("platform", json!({"lose_write_replies": 2})).await;
    sleep_ms(1500).await;
    fleet.set_faults("platform", json!({})).await;
}

// Guards against lost, repeated and mixed-up responses when faults coincide with calls: what each
// caller observed must agree with what the services executed.
#[actix_rt::test]
async fn caller_outcomes_agree_with_executions_under_faults() {
    let mut fleet =
        TestFleet::start(FleetPlan { services: 2, adapters: 2, ..FleetPlan::default() });
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let calls = join_all((0..90).map(|number| {
        let urls = &urls;
        async move {
            sleep_ms(90 * number as u64).await;
            send_until_resolved(urls, number).await
        }
    }));
    let requests: Vec<CompletionRequest> =
        (0..60).map(|n| CompletionRequest::new(&format!("llama:a{}@v1", n % 2), 40)).collect();
    let completions = join_all(requests.iter().enumerate().map(|(number, request)| {
        let url = &urls[number % 3];
        async move {
            sleep_ms(130 * number as u64).await;
            if number % 2 == 0 { request.send(url).await } else { request.stream(url).await }
        }
    }));
    let ((records, outcomes), ()) = join(join(calls, completions), inject_faults(&mut fleet)).await;

    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in ["service1", "service2"] {
        let stats = fleet.stats(service).await;
        for execution in stats["executions"].as_array().into_iter().flatten() {
            let body = execution["body"].as_str().unwrap_or_default();
            *runs.entry(body.to_owned()).or_default() += 1;
        }
    }
    let mut counts = BTreeMap::from([("answered", 0), ("not run", 0), ("unknown", 0)]);
    for record in &records {
        let runs = runs.get(&record.body).copied().unwrap_or(0);
        assert!(runs <= 1, "ran more than once: {record:?}");
        match record.outcomes.last().expect("each call has an outcome") {
            CallerOutcome::Complete { text, .. } => {
                let body: Value = serde_json::from_str(text).expect("response is JSON");
                assert_eq!(
                    body["body"],
                    record.body.as_str(),
                    "response belongs to another call: {record:?}"
                );
                assert_eq!(runs, 1, "{record:?}");
                *counts.entry("answered").or_default() += 1;
            }
            CallerOutcome::Problem { ran, .. } if ran == "no" => {
                assert_eq!(runs, 0, "ran although the caller was told that it did not: {record:?}");
                *counts.entry("not run").or_default() += 1;
            }
            CallerOutcome::Problem { .. } => *counts.entry("unknown").or_default() += 1,
            other => panic!("connection lost without an outcome: {other:?}"),
        }
    }
    let mut complete_count = 0;
    let mut problems = BTreeMap::new();
    for (request, outcome) in requests.iter().zip(&outcomes) {
        match outcome {
            CallerOutcome::Complete { .. } => {
                assert!(request.is_answered_by(outcome), "wrong completion: {outcome:?}");
            }
            CallerOutcome::Problem { reason, .. } => {
                assert_ne!(reason, "quarantined", "no request of this test crashes an engine");
                *problems.entry(reason.clone()).or_insert(0) += 1;
                continue;
            }
            other => panic!("connection lost without an outcome: {other:?}"),
        }
        complete_count += 1;
    }
    println!(
        "calls: {counts:?}; completions: {complete_count} complete of {}, {problems:?}",
        requests.len()
    );
}
