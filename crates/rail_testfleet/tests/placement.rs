//! Placement with more adapters than slots and skewed requests, tested with real processes.

use rail_testfleet::{
    CallerOutcome, CompletionRequest, FleetPlan, TestFleet, process::binary_path,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::{process::Command, time::Duration};

/// Seed of the sequence of requested adapters.
const SEED: u64 = 6;
/// Number of registered adapters, more than the engines have adapter slots.
const ADAPTERS: u32 = 40;
const REQUESTS: usize = 160;
/// Time between the starts of two consecutive requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Limits of the weight store, equal to the default load budget of a fleet's configuration.
const STORE_FLAGS: [&str; 3] = ["--rate-per-s=2", "--at-once=2", "--load-ms=50"];
/// Deadline that each request sends, in milliseconds.
const REQUEST_DEADLINE_MS: u64 = 100_000;

/// Returns a random adapter number. Each is half as likely as the one before; three requests of ten
/// choose uniformly, which makes a long tail.
fn skewed_adapter(rng: &mut SmallRng) -> u32 {
    if rng.random_bool(0.3) {
        return rng.random_range(0..ADAPTERS);
    }
    (rng.random::<u32>() | 1 << 31).trailing_zeros() % ADAPTERS
}

fn requests() -> Vec<CompletionRequest> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let request = |number: usize| {
        let mut request =
            CompletionRequest::new(&format!("llama:a{}@v1", skewed_adapter(&mut rng)), 8);
        let urgency = if number.is_multiple_of(3) { "urgent" } else { "deferrable" };
        request.extra_fields = json!({"urgency": urgency, "deadline_ms": REQUEST_DEADLINE_MS});
        request
    };
    (0..REQUESTS).map(request).collect()
}

fn plan() -> FleetPlan {
    FleetPlan {
        adapters: ADAPTERS,
        store_flags: STORE_FLAGS.map(str::to_owned).to_vec(),
        ..FleetPlan::default()
    }
}

/// Sends the requests at fixed intervals through all hosts in turn; returns their outcomes.
async fn send_all(fleet: &TestFleet, requests: &[CompletionRequest]) -> Vec<CallerOutcome> {
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let send = |(number, request): (usize, &CompletionRequest)| {
        let (request, url) = (request.clone(), urls[number % urls.len()].clone());
        async move {
            actix_rt::time::sleep(REQUEST_INTERVAL * number as u32).await;
            request.stream(&url).await
        }
    };
    futures_util::future::join_all(requests.iter().enumerate().map(send)).await
}

#[actix_rt::test]
async fn skewed_work_on_few_slots_is_answered_within_the_budget() {
    let fleet = TestFleet::start(plan());
    let requests = requests();
    let outcomes = send_all(&fleet, &requests).await;
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(request.is_answered_by(outcome), "{}: {outcome:?}", request.model);
    }
    let store = fleet.stats("store").await;
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
    assert!(
        fleet.sum_engine_stat("evictions").await > 0,
        "no adapter was evicted, so slots were not scarce"
    );
    assert_eq!(store["over_rate"], 0, "{store}");
}

/// Returns the number of the host that owns the load budget according to the stored record.
async fn budget_owner(fleet: &TestFleet) -> u8 {
    let platform = fleet.standin_url("platform");
    let url = format!("{platform}/api/v1/namespaces/any/configmaps/owner-load-budget");
    let mut response = awc::Client::default().get(url).send().await.expect("platform answers");
    let map: Value = response.json().await.expect("object is JSON");
    let values = map["data"].as_object().expect("object has data");
    let record = values.values().next().and_then(Value::as_str).expect("object has a value");
    let record: Value = serde_json::from_str(record).expect("ownership is JSON");
    let address = record["address"].as_str().expect("ownership has an address");
    let is_owner = |host: &u8| address.starts_with(&format!("{}:", fleet.host_ip(*host)));
    (1..=3).find(is_owner).expect("an entry host owns the load budget")
}

#[actix_rt::test]
async fn losing_the_owner_of_the_budget_keeps_loads_within_the_stated_bound() {
    let mut fleet = TestFleet::start(plan());
    let requests = requests();
    let first_requests = send_all(&fleet, &requests[..20]);
    let first = first_requests.await;
    assert!(
        first.iter().all(|outcome| matches!(outcome, CallerOutcome::Complete { .. })),
        "{first:?}"
    );
    let loads_before = fleet.stats("store").await["loads"].as_u64().unwrap_or(0);
    let owner = budget_owner(&fleet).await;
    fleet.kill(&format!("host{owner}/scheduler"));
    let started = std::time::Instant::now();
    // Requests that the killed scheduler held may fail; only the loads at the store are checked.
    let _outcomes = send_all(&fleet, &requests[20..120]).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let loads = fleet.stats("store").await["loads"].as_u64().unwrap_or(0) - loads_before;
    // The owner and the static shares of the hosts together grant at most twice the rate of 2 loads
    // per second, and each adds its burst.
    let bound = 2.0 * 2.0 * elapsed_s + 2.0 + 3.0;
    assert!(loads as f64 <= bound, "{loads} loads in {elapsed_s} s");
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}

#[actix_rt::test]
async fn the_load_tool_measures_real_processes() {
    let fleet = TestFleet::start(plan());
    let mut load_tool = Command::new(binary_path("tarragon-load"));
    load_tool.args(["run", "--adapters=40", "--seconds=15", "--tokens=8", "--rate=0.5"]);
    load_tool.arg("--deferrable-deadline-s=20");
    load_tool.args((1..=3).map(|host| format!("--url={}", fleet.caller_url(host))));
    let output = actix_rt::task::spawn_blocking(move || load_tool.output()).await;
    let output = output.expect("task ends").expect("tool starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&output.stdout).expect("report is JSON");
    assert_eq!(report["method"], "real_processes", "{errors}");
    for class in ["urgent", "deferrable"] {
        assert!(report[class]["answered"].as_u64() > Some(0), "{report}");
        assert_eq!(report[class]["unanswered"], 0, "{report}");
    }
    println!("{report}");
}

#[actix_rt::test]
async fn a_hot_adapter_spreads_to_more_engines() {
    let fleet = TestFleet::start(FleetPlan::default());
    let request = CompletionRequest::new("llama:a0@v1", 40);
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    for _round in 0..3 {
        let calls = (0..30).map(|number| request.send(&urls[number % urls.len()]));
        for outcome in futures_util::future::join_all(calls).await {
            assert!(request.is_answered_by(&outcome), "{outcome:?}");
        }
    }
    let mut engines = 0;
    for number in 1..=3 {
        let stats = fleet.stats(&format!("engine{number}")).await;
        engines += usize::from(!stats["executions"].as_array().expect("a list").is_empty());
    }
    assert!(engines > 1, "only {engines} of 3 engines ran requests");
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}

// Eight of ten adapter versions fill the slots of the only engine when its owner is killed. The new
// owner has to evict one of them although requests keep arriving, and none that is in use.
#[actix_rt::test]
async fn a_full_engine_under_steady_load_takes_new_adapters_after_a_takeover() {
    let plan = FleetPlan { engines: 1, adapters: 5, ..FleetPlan::default() };
    let mut fleet = TestFleet::start(plan);
    let models: Vec<String> =
        (0..10).map(|number| format!("llama:a{}@v{}", number / 2, number % 2 + 1)).collect();
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    for model in &models[..8] {
        let request = CompletionRequest::new(model, 1);
        assert!(request.is_answered_by(&request.send(&urls[0]).await), "{model}");
    }
    let owner = fleet.owners()["engine1"].clone();
    let other = urls[usize::from(owner == "host1")].clone();
    let background_requests: Vec<_> = (0..3)
        .map(|number| {
            let (request, url) =
                (CompletionRequest::new("llama:a0@v1", 900 + 150 * number), other.clone());
            actix_rt::spawn(async move {
                loop {
                    request.stream(&url).await;
                }
            })
        })
        .collect();
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    fleet.kill(&format!("{owner}/scheduler"));
    let request = CompletionRequest::new(&models[9], 1);
    let outcome = request.send(&other).await;
    background_requests.iter().for_each(actix_rt::task::JoinHandle::abort);
    assert!(request.is_answered_by(&outcome), "{outcome:?}");
    assert_eq!(fleet.sum_engine_stat("evicted_in_use").await, 0);
}
