//! Requests survive failing processes or end with a clear problem, tested with real processes.

use futures_util::future::{join, join_all};
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::time::{Duration, Instant};

fn plan(token_ms: u64) -> FleetPlan {
    let engine_flags = vec![format!("--token-ms={token_ms}"), "--batch=8".to_owned()];
    FleetPlan { adapters: 2, engine_flags, ..FleetPlan::default() }
}

fn problem(reason: &str, ran: &str) -> CallerOutcome {
    CallerOutcome::Problem { reason: reason.to_owned(), ran: ran.to_owned() }
}

async fn sleep_ms(milliseconds: u64) {
    actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
}

async fn execution_count(fleet: &TestFleet, engine: &str) -> usize {
    fleet.stats(engine).await["executions"].as_array().map_or(0, Vec::len)
}

/// Returns the first engine that has begun to run a request.
async fn engine_with_executions(fleet: &TestFleet) -> String {
    for engine in ["engine1", "engine2", "engine3"] {
        if execution_count(fleet, engine).await > 0 {
            return engine.to_owned();
        }
    }
    panic!("no engine has run a request");
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    Freeze,
    FreezeThenThaw,
}

/// Streams through a gateway on another host than the engine's owner, whose scheduler fails after
/// this time, and asserts that the stream is complete.
async fn stream_while_owner_fails(fault: Fault, after_ms: u64) {
    let mut fleet = TestFleet::start(plan(20));
    let tokens = if fault == Fault::FreezeThenThaw { 300 } else { 100 };
    let request = CompletionRequest::new("llama:a0@v1", tokens);
    // Loads the adapter, so that the statistics show which engine serves it.
    request.send(&fleet.caller_url(1)).await;
    let engine = engine_with_executions(&fleet).await;
    let owner = fleet.owners()[&engine].clone();
    let gateway = (1..=3).find(|n| format!("host{n}") != owner).expect("three hosts");
    let url = fleet.caller_url(gateway);
    let scheduler = format!("{owner}/scheduler");
    let (outcome, ()) = join(request.stream(&url), async {
        sleep_ms(after_ms).await;
        match fault {
            Fault::Kill => fleet.kill(&scheduler),
            Fault::Freeze => fleet.process(&scheduler).freeze(),
            Fault::FreezeThenThaw => {
                fleet.process(&scheduler).freeze();
                sleep_ms(3000).await;
                fleet.process(&scheduler).thaw();
            }
        }
    })
    .await;
    assert!(request.is_answered_by(&outcome), "{fault:?} after {after_ms} ms: {outcome:?}");
}

#[actix_rt::test]
async fn a_stream_is_resumed_when_its_scheduler_is_killed() {
    for after_ms in [5, 500, 1900] {
        stream_while_owner_fails(Fault::Kill, after_ms).await;
    }
}

#[actix_rt::test]
async fn a_stream_is_resumed_when_its_scheduler_is_frozen() {
    for after_ms in [5, 500] {
        stream_while_owner_fails(Fault::Freeze, after_ms).await;
    }
}

// While the scheduler is frozen, the gateway resumes the stream directly at the engine. When the
// scheduler thaws, it must not cancel the request there.
#[actix_rt::test]
async fn a_resumed_stream_is_not_cancelled_when_its_scheduler_thaws() {
    stream_while_owner_fails(Fault::FreezeThenThaw, 500).await;
}

#[actix_rt::test]
async fn an_engine_crash_ends_streams_with_a_problem_and_fails_no_unstreamed_request() {
    let fleet = TestFleet::start(plan(20));
    let request = CompletionRequest::new("llama:a0@v1", 50);
    request.send(&fleet.caller_url(1)).await;
    let engine = engine_with_executions(&fleet).await;
    let url = fleet.caller_url(1);
    let requests = join(request.stream(&url), request.send(&url));
    let ((streamed, complete), ()) = join(requests, async {
        sleep_ms(400).await;
        fleet.set_faults(&engine, json!({"crash": true})).await;
    })
    .await;
    assert_eq!(streamed, problem("upstream_crashed", "unknown"));
    assert!(request.is_answered_by(&complete), "{complete:?}");
}

#[actix_rt::test]
async fn a_request_to_an_unreachable_engine_is_retried_on_another() {
    let mut fleet = TestFleet::start(plan(5));
    let request = CompletionRequest::new("llama:a0@v1", 5);
    request.send(&fleet.caller_url(1)).await;
    let engine = engine_with_executions(&fleet).await;
    fleet.kill(&engine);
    let mut non_idempotent = request.clone();
    non_idempotent.extra_fields = json!({"idempotent": false});
    for host in [1, 2, 3] {
        let outcome = non_idempotent.send(&fleet.caller_url(host)).await;
        assert!(request.is_answered_by(&outcome), "host{host}: {outcome:?}");
    }
}

#[actix_rt::test]
async fn work_without_a_key_is_dispatched_once() {
    let fleet = TestFleet::start(plan(20));
    let mut request = CompletionRequest::new("llama:a0@v1", 50);
    request.extra_fields = json!({"idempotent": false});
    request.send(&fleet.caller_url(1)).await;
    let engine = engine_with_executions(&fleet).await;
    let url = fleet.caller_url(1);
    let (outcome, ()) = join(request.send(&url), async {
        sleep_ms(400).await;
        fleet.set_faults(&engine, json!({"crash": true})).await;
    })
    .await;
    assert_eq!(outcome, problem("upstream_crashed", "unknown"));
    sleep_ms(500).await;
    let mut runs = 0;
    for number in 1..=3 {
        runs += execution_count(&fleet, &format!("engine{number}")).await;
    }
    assert_eq!(runs, 2, "expected one execution before the crash and the one that crashed");
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_is_quarantined_and_others_succeed() {
    let fleet = TestFleet::start(plan(20));
    let url = fleet.caller_url(1);
    let other_request = CompletionRequest::new("llama:a0@v1", 60);
    other_request.send(&url).await;
    let mut crashing_request = CompletionRequest::new("llama:a0@v1", 5);
    crashing_request.prompt = "CRASH-THE-ENGINE".to_owned();
    let other_requests: Vec<CompletionRequest> = (0..4)
        .map(|n| CompletionRequest {
            prompt: format!("question {}", n / 2),
            ..other_request.clone()
        })
        .collect();
    let sends = join_all(other_requests.iter().map(|request| request.send(&url)));
    let (outcomes, (first, crashed_at)) = join(sends, async {
        sleep_ms(300).await;
        let outcome = crashing_request.send(&url).await;
        (outcome, Instant::now())
    })
    .await;
    assert_eq!(first, problem("upstream_crashed", "unknown"));
    for (request, outcome) in other_requests.iter().zip(&outcomes) {
        assert!(request.is_answered_by(outcome), "{outcome:?}");
    }
    assert!(fleet.sum_engine_stat("crashes").await <= 2);
    let wait = Duration::from_secs(2).saturating_sub(crashed_at.elapsed());
    actix_rt::time::sleep(wait).await;
    for host in [1, 2, 3, 2, 1] {
        let again = crashing_request.send(&fleet.caller_url(host)).await;
        assert_eq!(again, problem("quarantined", "no"), "host{host}");
    }
    assert!(fleet.sum_engine_stat("crashes").await <= 2);
}

// A crash is recorded only after it happened. Retries that arrive before the record is known on all
// hosts must not crash further engines.
#[actix_rt::test]
async fn immediate_retries_of_a_crashing_request_crash_no_third_engine() {
    let fleet = TestFleet::start(plan(20));
    let mut crashing_request = CompletionRequest::new("llama:a0@v1", 5);
    crashing_request.prompt = "CRASH-THE-ENGINE".to_owned();
    for round in 0..9 {
        let outcome = crashing_request.send(&fleet.caller_url(round % 3 + 1)).await;
        assert!(matches!(outcome, CallerOutcome::Problem { .. }), "{outcome:?}");
        sleep_ms(50).await;
    }
    assert!(fleet.sum_engine_stat("crashes").await <= 2);
}

#[actix_rt::test]
async fn quarantine_holds_on_all_hosts_within_two_seconds() {
    let fleet = TestFleet::start(plan(20));
    let mut crashing_request = CompletionRequest::new("llama:a0@v1", 5);
    crashing_request.prompt = "CRASH-THE-ENGINE".to_owned();
    crashing_request.send(&fleet.caller_url(1)).await;
    let started = Instant::now();
    for host in [2, 3] {
        while crashing_request.send(&fleet.caller_url(host)).await != problem("quarantined", "no") {
            assert!(started.elapsed() < Duration::from_secs(2), "host{host}");
            sleep_ms(10).await;
        }
    }
    println!("time to quarantine after the answer: {:?}", started.elapsed());
}

async fn feed_status(fleet: &TestFleet, host: u8) -> u16 {
    let url = format!("{}/v1/services/feed/lines?stop=7", fleet.caller_url(host));
    let client = awc::Client::builder().timeout(Duration::from_secs(60)).finish();
    client.get(url).send().await.map_or(0, |response| response.status().as_u16())
}

#[actix_rt::test]
async fn idempotent_service_calls_succeed_while_a_third_of_the_services_fails() {
    for fault in [Fault::Kill, Fault::Freeze] {
        let mut fleet = TestFleet::start(FleetPlan { services: 3, ..plan(5) });
        for number in 0..90 {
            if number == 30 {
                match fault {
                    Fault::Kill => fleet.kill("service1"),
                    _ => fleet.process("service1").freeze(),
                }
            }
            assert_eq!(feed_status(&fleet, number % 3 + 1).await, 200, "{fault:?} call {number}");
        }
    }
}

// Guards against retry storms: when one of three engines crashes and stays down, all engines
// together may execute at most 1.5 attempts per answered request.
#[actix_rt::test]
async fn attempts_per_answer_stay_bounded_when_a_third_of_the_engines_fails() {
    let mut plan = plan(5);
    plan.engine_flags.push("--restart-ms=60000".to_owned());
    let fleet = TestFleet::start(plan);
    let requests: Vec<CompletionRequest> =
        (0..2).map(|n| CompletionRequest::new(&format!("llama:a{n}@v1"), 10)).collect();
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    requests[0].send(&urls[0]).await;
    let engine = engine_with_executions(&fleet).await;
    let mut answered = 1;
    for round in 0..20_usize {
        let sends = (0..12).map(|n| requests[n % 2].send(&urls[n % 3]));
        let (outcomes, ()) = join(join_all(sends), async {
            sleep_ms(30).await;
            if round == 8 {
                fleet.set_faults(&engine, json!({"crash": true})).await;
            }
        })
        .await;
        for (n, outcome) in outcomes.iter().enumerate() {
            assert!(requests[n % 2].is_answered_by(outcome), "round {round}: {outcome:?}");
            answered += 1;
        }
    }
    let mut attempts = 0;
    for engine in ["engine1", "engine2", "engine3"] {
        attempts += execution_count(&fleet, engine).await;
    }
    println!("{attempts} attempts for {answered} answers");
    assert!(attempts * 2 <= answered * 3, "{attempts} attempts for {answered} answers");
}
