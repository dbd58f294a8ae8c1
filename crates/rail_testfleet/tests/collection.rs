//! What nothing names any more leaves the platform's store, with real processes.

use futures_util::future::join;
use rail_config::{Head, segment::KEPT_RETIRED_SEGMENTS};
use rail_platform::{
    ConfigFollower, Error, ObjectKind, PlatformClient,
    config::{HEAD_NAME, parse_head},
};
use rail_testfleet::{FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Time to live, retention, and a look each second, with room for a busy machine.
const COLLECTION_LIMIT: Duration = Duration::from_secs(20);

/// Reads the stored objects of one kind.
async fn stored(fleet: &TestFleet, kind: &str) -> Vec<Value> {
    let url = format!(
        "{}/api/v1/namespaces/tarragonrail/configmaps?labelSelector=tarragonrail-kind%3D{kind}",
        fleet.standin_url("platform")
    );
    let mut response = awc::Client::default().get(url).send().await.expect("platform answers");
    let list: Value = response.json().limit(64 << 20).await.expect("list is JSON");
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
    plan.env_vars.insert("TARRAGON_SESSION_RETENTION_MS".into(), "1000".into());
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

/// Registers one version more, which replaces one segment.
fn change(fleet: &TestFleet, host: u8, number: usize) {
    let version = format!("v{number}");
    let output = fleet.ctl(host, &["adapter", "--base", "llama", "a0", &version]);
    assert!(output.status.success(), "{output:?}");
}

#[actix_rt::test]
async fn segments_that_no_head_names_are_deleted() {
    let fleet = TestFleet::start(FleetPlan::default());
    let before = stored(&fleet, "config-segment").await.len();
    for number in 10..110 {
        change(&fleet, number as u8 % 3 + 1, number);
    }
    let segments = stored(&fleet, "config-segment").await;
    assert!(segments.len() <= before + KEPT_RETIRED_SEGMENTS + 2, "{} segments", segments.len());
    let heads = stored(&fleet, "config-head").await;
    let head = record_of(&heads[0]);
    let names = |key: &str| -> Vec<String> {
        serde_json::from_value(head[key].clone()).expect("a list of names")
    };
    let is_stored = |name: &String| segments.iter().any(|s| s["metadata"]["name"] == **name);
    assert!(names("segments").iter().all(is_stored), "a named segment is missing");
    let known = names("segments").len() + names("retired").len();
    assert_eq!(segments.len(), known, "every stored segment is known to the head");
}

/// Replaces the stored head and gives its new version.
async fn put_head(platform: &PlatformClient, head: &Head, version: &str) -> String {
    let value = serde_json::to_string(head).expect("a head is plain data");
    let update = platform.update(ObjectKind::ConfigHead, HEAD_NAME, &value, version);
    update.await.expect("the head is replaced").version
}

#[actix_rt::test]
async fn a_reader_of_a_deleted_segment_reads_the_newer_head() {
    let fleet = TestFleet::start(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let address = fleet.standin_url("platform").trim_start_matches("http://").parse();
    let platform = PlatformClient::open(address.expect("an address"), fleet.host_ip(9));
    let object = platform.get(HEAD_NAME).await.expect("a head");
    let newer = parse_head(&object).expect("a head");
    let mut older = newer.clone();
    older.segments.push("segment-deleted".to_owned());
    let version = put_head(&platform, &older, &object.version).await;
    let follower = ConfigFollower::spawn(platform.clone());
    let read = follower.read_accepted().await;
    assert!(matches!(read, Err(Error::NotFound)), "the head stays and lacks a segment: {read:?}");
    assert_eq!(follower.applied().generation, 0);
    // The head is replaced after the reader's first look at it and before its second one.
    fleet.set_faults("platform", json!({"delay_ms": 150, "write_delay_ms": 100})).await;
    let (read, _version) =
        join(follower.read_accepted(), put_head(&platform, &newer, &version)).await;
    assert_eq!(read.expect("the newer head is read").0.generation, newer.generation);
    let started = Instant::now();
    while follower.applied().generation != newer.generation {
        assert!(started.elapsed() < COLLECTION_LIMIT, "the newer head is followed");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
