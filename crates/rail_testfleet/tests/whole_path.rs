//! Requests pass from the caller to the engine and back, tested with real processes.

use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::time::Duration;

#[actix_rt::test]
async fn every_answer_comes_from_the_named_version() {
    let fleet = TestFleet::start(FleetPlan::default());
    for adapter in 0..4 {
        for (host, version) in [(1, "v1"), (2, "v2"), (3, "v1")] {
            let request = CompletionRequest::new(&format!("llama:a{adapter}@{version}"), 3);
            let complete = request.send(&fleet.caller_url(host)).await;
            assert!(request.is_answered_by(&complete), "{complete:?}");
            let streamed = request.stream(&fleet.caller_url(host)).await;
            assert!(request.is_answered_by(&streamed), "{streamed:?}");
        }
    }
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}

#[actix_rt::test]
async fn unknown_names_are_refused_and_cost_no_load() {
    let fleet = TestFleet::start(FleetPlan::default());
    let cases = [
        ("nobody:a0@v1", "unknown_base"),
        ("llama:nobody@v1", "unknown_adapter"),
        ("llama:a0@v9", "unknown_version"),
        ("llama", "invalid_model_name"),
    ];
    for (model, expected) in cases {
        let outcome = CompletionRequest::new(model, 1).send(&fleet.caller_url(1)).await;
        let expected = CallerOutcome::Problem { reason: expected.to_owned(), ran: "no".to_owned() };
        assert_eq!(outcome, expected, "{model}");
    }
    assert_eq!(fleet.sum_engine_stat("loads").await, 0);
}

#[actix_rt::test]
async fn bad_bodies_get_a_clear_refusal() {
    let fleet = TestFleet::start(FleetPlan::default());
    let url = format!("{}/v1/completions", fleet.caller_url(1));
    let misspelt = json!({"model": "llama:a0@v1", "prompt": "x", "max_tokenz": 1}).to_string();
    let cases = [
        ("{".to_owned(), 400, "invalid_body"),
        (misspelt, 400, "invalid_body"),
        (format!("\"{}\"", "x".repeat(2 << 20)), 413, "body_too_large"),
    ];
    for (body, status, reason) in cases {
        let mut response = awc::Client::default().post(&url).send_body(body).await.expect("reply");
        assert_eq!(response.status().as_u16(), status);
        let problem: Value =
            serde_json::from_slice(&response.body().await.expect("body")).expect("JSON");
        assert_eq!(problem["reason"], reason);
    }
}

#[actix_rt::test]
async fn stopping_any_process_cuts_off_no_request() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    for name in ["host1/gateway", "host1/scheduler", "host1/admin"] {
        let request = CompletionRequest::new("llama:a0@v1", 150);
        let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
        let requests = urls.iter().map(|url| request.stream(url));
        let requests = futures_util::future::join_all(requests);
        let process = fleet.remove_process(name);
        let stopping = async {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            actix_rt::task::spawn_blocking(move || process.stop(Duration::from_secs(20))).await
        };
        let (outcomes, status) = futures_util::future::join(requests, stopping).await;
        for outcome in outcomes {
            assert!(request.is_answered_by(&outcome), "{name}: {outcome:?}");
        }
        assert!(status.expect("stopped").success(), "{name} did not exit with success");
        fleet.start_process(name);
        fleet.wait_for_gateway(1).await;
    }
}

// A gateway that starts in an outage without peers knows no adapter. It must refuse with
// `stale_configuration` instead of reporting registered names as unknown.
#[actix_rt::test]
async fn a_gateway_without_configuration_reports_no_name_as_unknown() {
    let mut fleet = TestFleet::start(FleetPlan { hosts: 1, ..FleetPlan::default() });
    fleet.set_faults("platform", json!({"down": true})).await;
    for role in ["scheduler", "admin", "gateway"] {
        fleet.kill(&format!("host1/{role}"));
    }
    fleet.start_process("host1/gateway");
    let outcome = first_outcome(&fleet, &CompletionRequest::new("llama:a0@v1", 1)).await;
    let expected =
        CallerOutcome::Problem { reason: "stale_configuration".to_owned(), ran: "no".to_owned() };
    assert_eq!(outcome, expected);
}

#[actix_rt::test]
async fn a_gateway_started_in_an_outage_learns_configuration_and_owners_from_peers() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    fleet.set_faults("platform", json!({"down": true})).await;
    fleet.kill("host1/gateway");
    fleet.start_process("host1/gateway");
    let request = CompletionRequest::new("llama:a0@v1", 1);
    let outcome = first_outcome(&fleet, &request).await;
    assert!(request.is_answered_by(&outcome), "{outcome:?}");
}

#[actix_rt::test]
async fn sampling_parameters_reach_the_engine() {
    let fleet = TestFleet::start(FleetPlan { engines: 1, ..FleetPlan::default() });
    let mut request = CompletionRequest::new("llama:a0@v1", 1);
    request.extra_fields = json!({"temperature": 0.5, "stop": ["."], "seed": 7, "n": 1});
    let outcome = request.send(&fleet.caller_url(1)).await;
    assert!(request.is_answered_by(&outcome), "{outcome:?}");
    assert_eq!(fleet.stats("engine1").await["last_temperature"], 0.5);
    request.extra_fields = json!({"n": 2});
    let outcome = request.send(&fleet.caller_url(1)).await;
    let expected =
        CallerOutcome::Problem { reason: "invalid_body".to_owned(), ran: "no".to_owned() };
    assert_eq!(outcome, expected);
}

/// Sends the request to the first host until its gateway responds; returns this first outcome.
async fn first_outcome(fleet: &TestFleet, request: &CompletionRequest) -> CallerOutcome {
    loop {
        let outcome = request.send(&fleet.caller_url(1)).await;
        if outcome != CallerOutcome::Unreachable {
            return outcome;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
