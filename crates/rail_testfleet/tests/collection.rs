//! What nothing names any more leaves the platform's store, with real processes.

use rail_testfleet::{FleetPlan, TestFleet};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Time to live, retention, and a look each second, with room for a busy machine.
const COLLECTION_LIMIT: Duration = Duration::from_secs(20);

/// Reads the stored objects of one kind.
async fn stored(fleet: &TestFleet, kind: &str) -> Vec<Value> {
    let url = format!(
        "{}/api/v1/namespaces/tarragonrail/configmaps?labelSelector=tarragonrail-kind%3D{kind}",
        fleet.standin_url("platform")
    );
    let mut reply = awc::Client::default().get(url).send().await.expect("platform answers");
    let list: Value = reply.json().limit(64 << 20).await.expect("list is JSON");
    list["items"].as_array().cloned().expect("a list has items")
}

/// Reads the record that an object holds.
fn record_of(object: &Value) -> Value {
    let values = object["data"].as_object().expect("an object holds data").values();
    let mut record = values.filter_map(|value| serde_json::from_str::<Value>(value.as_str()?).ok());
    record.next_back().expect("an object holds a record")
}

/// Gives the names of the stored sessions, by host.
async fn session_names(fleet: &TestFleet) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().expect("text").to_owned();
    let named = |object: &Value| {
        let record = record_of(object);
        (text(&record["host"]), text(&object["metadata"]["name"]))
    };
    stored(fleet, "session").await.iter().map(named).collect()
}

#[actix_rt::test]
async fn sessions_of_killed_schedulers_are_collected() {
    let mut plan = FleetPlan::default();
    plan.variables.insert("TARRAGON_SESSION_RETENTION_MS".into(), "1000".into());
    let mut fleet = TestFleet::start(plan);
    let first = session_names(&fleet).await;
    assert_eq!(first.len(), 3, "each host has a session: {first:?}");
    fleet.kill("host2/scheduler");
    fleet.start_process("host2/scheduler");
    fleet.kill("host3/scheduler");
    let started = Instant::now();
    loop {
        let left = session_names(&fleet).await;
        let is_gone = |(host, name): &(String, String)| {
            host == "host1" || !left.iter().any(|(_, left)| left == name)
        };
        if first.iter().all(is_gone) {
            assert!(left.len() == 2 && left.iter().all(|(host, _)| host != "host3"), "{left:?}");
            break;
        }
        assert!(started.elapsed() < COLLECTION_LIMIT, "ended sessions are left: {left:?}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let mut collected = 0;
    for host in ["host1/scheduler", "host2/scheduler"] {
        collected += fleet.metric(host, "scheduler_collected_sessions").await.unwrap_or_default();
    }
    assert_eq!(collected, 2, "deletions are counted");
    let ended = ["host2", "host3"].map(|host| first.iter().find(|(h, _)| h == host));
    for owner in stored(&fleet, "owner").await {
        let record = record_of(&owner);
        let id = record["session_id"].as_u64().expect("an id");
        let name = format!("session-{id:016x}");
        assert!(ended.iter().flatten().all(|(_, ended)| *ended != name), "{owner}");
    }
}
