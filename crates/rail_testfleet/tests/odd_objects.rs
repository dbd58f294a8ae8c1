//! Objects of another writer beside those of the daemons, tested with real processes.

use awc::Client;
use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time within which every host must apply an accepted generation.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a restarted host must answer requests.
const RESTART_TIMEOUT: Duration = Duration::from_secs(30);
/// Labels of the kinds that daemons list.
const KINDS: [&str; 6] =
    ["config-head", "config-segment", "session", "owner", "claim", "quarantine"];

/// Writes an object of each kind that is valid for the platform and none of this system.
async fn write_odd_objects(fleet: &TestFleet) {
    let url =
        format!("{}/api/v1/namespaces/tarragonrail/configmaps", fleet.standin_url("platform"));
    for kind in KINDS {
        for (number, data) in [json!({"value": 5}), json!([]), json!("\u{1}")].iter().enumerate() {
            let labels = json!({ "tarragonrail-kind": kind });
            let name = format!("a&+#% odd-{kind}-{number}");
            let body = json!({"metadata": {"name": name, "labels": labels}, "data": data});
            let created = Client::default().post(&url).send_json(&body).await.expect("an answer");
            assert!(created.status().is_success(), "{}", created.status());
        }
    }
}

async fn write_odd_hosts(fleet: &TestFleet) {
    let url = format!("{}/_hosts", fleet.standin_url("platform"));
    let body = json!([{"addresses": ["no address"]}, {"addresses": 5}, 7]);
    let written = Client::default().post(&url).send_json(&body).await.expect("an answer");
    assert!(written.status().is_success(), "{}", written.status());
}

fn register_adapter(fleet: &TestFleet, adapter: &str) -> u64 {
    let output = fleet.ctl(2, &["adapter", "--base", "llama", adapter, "v1"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let number = text.trim().strip_prefix("generation ").and_then(|number| number.parse().ok());
    number.unwrap_or_else(|| panic!("change was not accepted: {output:?}"))
}

/// Guards against daemons that read no object beside one that they can't read, or only the first page
/// of a list.
#[actix_rt::test]
async fn daemons_follow_no_object_beside_an_odd_one() {
    let mut fleet = TestFleet::start(FleetPlan { engines: 1, ..FleetPlan::default() });
    write_odd_objects(&fleet).await;
    write_odd_hosts(&fleet).await;
    fleet.set_faults("platform", json!({"list_page_objects": 1})).await;
    let generation = register_adapter(&fleet, "beside");
    fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
    for role in ["scheduler", "admin", "gateway"] {
        let name = format!("host1/{role}");
        fleet.kill(&name);
        fleet.start_process(&name);
    }
    fleet.wait_for_generation(1..=3, generation, RESTART_TIMEOUT).await;
    let restarted_at = Instant::now();
    loop {
        let request = CompletionRequest::new("llama:beside@v1", 1);
        let outcome = request.send(&fleet.caller_url(1)).await;
        if matches!(outcome, CallerOutcome::Complete { .. }) {
            return;
        }
        assert!(restarted_at.elapsed() < RESTART_TIMEOUT, "not answered: {outcome:?}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
