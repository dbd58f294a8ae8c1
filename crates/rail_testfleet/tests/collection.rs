//! Objects that nothing refers to any more are deleted from the platform's store, tested with real
//! processes.

use futures_util::future::join;
use rail_config::{Head, segment::KEPT_RETIRED_SEGMENTS};
use rail_platform::{
    ConfigFollower, Error, ObjectKind, PlatformClient,
    config::{HEAD_NAME, parse_head},
};
use rail_testfleet::{FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Time within which garbage must be deleted. It covers the time to live, the retention time and
/// the interval of one second between collections, with a margin for a busy machine.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the stored objects of one kind.
async fn stored_objects(fleet: &TestFleet, kind: &str) -> Vec<Value> {
    let url = format!(
        "{}/api/v1/namespaces/tarragonrail/configmaps?labelSelector=tarragonrail-kind%3D{kind}",
        fleet.standin_url("platform")
    );
    let mut response = awc::Client::default().get(url).send().await.expect("platform answers");
    let list: Value = response.json().limit(64 << 20).await.expect("list is JSON");
    list["items"].as_array().cloned().expect("a list has items")
}

/// Parses the record that an object contains.
fn parse_record(object: &Value) -> Value {
    let values = object["data"].as_object().expect("an object holds data").values();
    let mut record = values.filter_map(|value| serde_json::from_str::<Value>(value.as_str()?).ok());
    record.next_back().expect("an object holds a record")
}

/// Returns the host and the object name of each stored session.
async fn stored_sessions(fleet: &TestFleet) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().expect("text").to_owned();
    let host_and_name = |object: &Value| {
        let record = parse_record(object);
        (text(&record["host"]), text(&object["metadata"]["name"]))
    };
    stored_objects(fleet, "session").await.iter().map(host_and_name).collect()
}

#[actix_rt::test]
async fn sessions_of_killed_schedulers_are_collected() {
    let mut plan = FleetPlan::default();
    plan.env_vars.insert("TARRAGON_SESSION_RETENTION_MS".into(), "1000".into());
    let mut fleet = TestFleet::start(plan);
    let initial = stored_sessions(&fleet).await;
    assert_eq!(initial.len(), 3, "expected one session per host: {initial:?}");
    fleet.kill("host2/scheduler");
    fleet.start_process("host2/scheduler");
    fleet.kill("host3/scheduler");
    let started = Instant::now();
    loop {
        let remaining = stored_sessions(&fleet).await;
        let is_removed = |(host, name): &(String, String)| {
            host == "host1" || !remaining.iter().any(|(_, remaining_name)| remaining_name == name)
        };
        if initial.iter().all(is_removed) {
            assert!(
                remaining.len() == 2 && remaining.iter().all(|(host, _)| host != "host3"),
                "{remaining:?}"
            );
            break;
        }
        assert!(started.elapsed() < COLLECTION_TIMEOUT, "ended sessions are left: {remaining:?}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let mut collected = 0;
    for host in ["host1/scheduler", "host2/scheduler"] {
        collected += fleet.metric(host, "scheduler_collected_sessions").await.unwrap_or_default();
    }
    assert_eq!(collected, 2, "number of deletions that the schedulers count");
    let ended_sessions = ["host2", "host3"]
        .map(|host| initial.iter().find(|(session_host, _)| session_host == host));
    for owner in stored_objects(&fleet, "owner").await {
        let record = parse_record(&owner);
        let id = record["session_id"].as_u64().expect("an id");
        let name = format!("session-{id:016x}");
        assert!(
            ended_sessions.iter().flatten().all(|(_, ended_name)| *ended_name != name),
            "{owner}"
        );
    }
}

/// Registers one more version of adapter `a0`, which replaces one segment.
fn register_version(fleet: &TestFleet, host: u8, number: usize) {
    let version = format!("v{number}");
    let output = fleet.ctl(host, &["adapter", "--base", "llama", "a0", &version]);
    assert!(output.status.success(), "{output:?}");
}

#[actix_rt::test]
async fn segments_that_no_head_names_are_deleted() {
    let fleet = TestFleet::start(FleetPlan::default());
    let before = stored_objects(&fleet, "config-segment").await.len();
    for number in 10..110 {
        register_version(&fleet, number as u8 % 3 + 1, number);
    }
    let segments = stored_objects(&fleet, "config-segment").await;
    assert!(segments.len() <= before + KEPT_RETIRED_SEGMENTS + 2, "{} segments", segments.len());
    let heads = stored_objects(&fleet, "config-head").await;
    let head = parse_record(&heads[0]);
    let names = |key: &str| -> Vec<String> {
        serde_json::from_value(head[key].clone()).expect("a list of names")
    };
    let is_stored = |name: &String| segments.iter().any(|s| s["metadata"]["name"] == **name);
    assert!(names("segments").iter().all(is_stored), "a named segment is missing");
    let known_to_head = names("segments").len() + names("retired").len();
    assert_eq!(
        segments.len(),
        known_to_head,
        "a stored segment is neither listed nor retired in the head"
    );
}

/// Replaces the stored head and returns the new version of its object.
async fn replace_head(platform: &PlatformClient, head: &Head, version: &str) -> String {
    let value = serde_json::to_string(head).expect("a head is plain data");
    let update = platform.update(ObjectKind::ConfigHead, HEAD_NAME, &value, version);
    update.await.expect("the head is replaced").version
}

// A reader that has read an old head may find that one of its segments was deleted meanwhile. It
// must then read the newer head instead of failing.
#[actix_rt::test]
async fn a_reader_of_a_deleted_segment_reads_the_newer_head() {
    let fleet = TestFleet::start(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let address = fleet.standin_url("platform").trim_start_matches("http://").parse();
    let platform = PlatformClient::open(address.expect("an address"), fleet.host_ip(9));
    let object = platform.get(HEAD_NAME).await.expect("a head");
    let newer = parse_head(&object).expect("a head");
    let mut older = newer.clone();
    older.segments.push("segment-deleted".to_owned());
    let version = replace_head(&platform, &older, &object.version).await;
    let follower = ConfigFollower::spawn(platform.clone());
    let read = follower.read_accepted().await;
    assert!(
        matches!(read, Err(Error::NotFound)),
        "expected NotFound, because a segment of the head is missing: {read:?}"
    );
    assert_eq!(follower.applied().generation, 0);
    // The delays make the head change after the reader has read it for the first time and before it
    // reads it again.
    fleet.set_faults("platform", json!({"delay_ms": 150, "write_delay_ms": 100})).await;
    let (read, _version) =
        join(follower.read_accepted(), replace_head(&platform, &newer, &version)).await;
    assert_eq!(read.expect("the newer head is read").0.generation, newer.generation);
    let started = Instant::now();
    while follower.applied().generation != newer.generation {
        assert!(started.elapsed() < COLLECTION_TIMEOUT, "follower has not applied the newer head");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
