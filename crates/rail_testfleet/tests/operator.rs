//! `tarragonctl` changes and shows a fleet of real processes.

use rail_testfleet::{FleetPlan, TestFleet};
use serde_json::{Value, json};
use std::process::Output;

/// Fleet file that changes the store budget and a base, and adds an adapter and an upstream.
const FLEET_FILE: &str = r#"
[store_budget]
loads_per_s = 9
at_once = 4
in_flight = 32

[bases.llama]
urgency_default = "deferrable"
[bases.llama.adapters]
alerts = ["v1", "v2"]

[upstreams.catalogue1]
kind = "service"
group = "catalogue"
address = "127.0.0.9:9000"
zone = "zone1"
batch = 4
"#;

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the latest generation that the first host reports.
fn current_generation(fleet: &TestFleet) -> u64 {
    let output = fleet.ctl(1, &["status", "--json"]);
    let status: Value = serde_json::from_slice(&output.stdout).expect("status is JSON");
    status["generation"].as_u64().expect("a generation")
}

#[actix_rt::test]
async fn a_fleet_file_is_shown_then_applied_once() {
    let fleet = TestFleet::start(FleetPlan::default());
    let path = fleet.key_path("fleet.toml");
    std::fs::write(&path, FLEET_FILE).expect("file");
    let path = path.display().to_string();
    let before = current_generation(&fleet);

    let preview = fleet.ctl(1, &["apply", &path]);
    assert_eq!(preview.status.code(), Some(10), "{}", stderr(&preview));
    for line in
        ["~ store_budget", "~ base llama", "+ adapter llama:alerts", "+ upstream catalogue1"]
    {
        assert!(stdout(&preview).contains(line), "{line} in {}", stdout(&preview));
    }
    assert_eq!(current_generation(&fleet), before, "apply without --yes changed the configuration");

    let applied = fleet.ctl(2, &["apply", &path, "--yes"]);
    assert!(applied.status.success(), "{}", stderr(&applied));
    assert_eq!(current_generation(&fleet), before + 1, "applying a file must add one generation");
    let wait = (before + 1).to_string();
    let waited = fleet.ctl(3, &["status", "--wait", &wait]);
    assert!(waited.status.success(), "{}", stderr(&waited));
    assert_eq!(stdout(&waited).matches("live").count(), 9, "{}", stdout(&waited));

    let repeated = fleet.ctl(1, &["apply", &path, "--yes"]);
    assert!(repeated.status.success() && stdout(&repeated).contains("no difference"));
    assert_eq!(
        current_generation(&fleet),
        before + 1,
        "applying the same file again must change nothing"
    );
    let list = stdout(&fleet.ctl(1, &["list"]));
    assert!(list.contains("store_budget loads_per_s=9 at_once=4 in_flight=32"), "{list}");

    let drained = fleet.ctl(1, &["drain", "catalogue1"]);
    assert!(drained.status.success(), "{}", stderr(&drained));
    let after_drain = fleet.ctl(1, &["apply", &path]);
    assert!(stdout(&after_drain).contains("no difference"), "apply must not undo a drain");
}

#[actix_rt::test]
async fn bad_files_are_refused_before_any_call_changes_something() {
    let fleet = TestFleet::start(FleetPlan::default());
    let before = current_generation(&fleet);
    let cases = [
        ("no_such_key = 1", "unknown field"),
        ("[store_budget]\nloads_per_s = 0\nat_once = 1\nin_flight = 1", "allows no load"),
        ("[bases.\"a b\"]\nurgency_default = \"urgent\"", "is not valid"),
        (
            "[upstreams.e]\nkind='engine'\ngroup='nobody'\naddress='127.0.0.1:1'\nzone='z'\nslots=1\nbatch=1",
            "unknown base",
        ),
    ];
    for (text, expected) in cases {
        let path = fleet.key_path("bad.toml");
        std::fs::write(&path, text).expect("file");
        let output = fleet.ctl(1, &["apply", "--yes", &path.display().to_string()]);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(stderr(&output).contains(expected), "{expected} in {}", stderr(&output));
    }
    assert_eq!(current_generation(&fleet), before);
}

#[actix_rt::test]
async fn each_failure_has_its_exit_code() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    let conflict = fleet.ctl(1, &["drain", "engine1", "--expect", "1"]);
    assert_eq!(conflict.status.code(), Some(5));
    assert!(stderr(&conflict).contains("stands"), "{}", stderr(&conflict));
    let refused = fleet.ctl(1, &["drain", "nobody"]);
    assert_eq!(refused.status.code(), Some(4), "{}", stderr(&refused));
    let not_reached = fleet.ctl(1, &["status", "--wait", "9999", "--timeout-s", "1"]);
    assert_eq!(not_reached.status.code(), Some(8), "{}", stderr(&not_reached));
    assert!(stderr(&not_reached).contains("host2/gateway"), "{}", stderr(&not_reached));
    let budget = ["store-budget", "--loads-per-s", "0", "--at-once", "1", "--in-flight", "1"];
    assert_eq!(fleet.ctl(1, &budget).status.code(), Some(4));

    fleet.set_faults("platform", json!({"down": true})).await;
    let during_outage = fleet.ctl(1, &["drain", "engine1"]);
    assert_eq!(during_outage.status.code(), Some(6), "{}", stderr(&during_outage));
    fleet.set_faults("platform", json!({"down": false})).await;
    fleet.kill("host1/admin");
    let without_admin = fleet.ctl(1, &["list"]);
    assert_eq!(without_admin.status.code(), Some(3), "{}", stderr(&without_admin));
}

#[actix_rt::test]
async fn a_server_that_dies_in_a_change_leaves_its_outcome_unknown() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    fleet.set_faults("platform", json!({"delay_ms": 900})).await;
    let admin = fleet.remove_process("host1/admin");
    let fleet_ref = &fleet;
    let output = std::thread::scope(|scope| {
        let call = scope.spawn(move || fleet_ref.ctl(1, &["drain", "engine2"]));
        std::thread::sleep(std::time::Duration::from_millis(500));
        drop(admin);
        call.join().expect("the call ends")
    });
    assert_eq!(output.status.code(), Some(7), "{}", stderr(&output));
    assert!(stderr(&output).contains("outcome unknown"), "{}", stderr(&output));
}

#[actix_rt::test]
async fn quarantined_requests_are_listed_and_released() {
    let fleet = TestFleet::start(FleetPlan::default());
    let objects =
        format!("{}/api/v1/namespaces/tarragonrail/configmaps", fleet.standin_url("platform"));
    let object = json!({
        "apiVersion": "v1", "kind": "ConfigMap",
        "metadata": {"name": "quarantine-00ff", "labels": {"tarragonrail-kind": "quarantine"}},
        "data": {"value": "{\"crashes\":2}"},
    });
    let response = awc::Client::default().post(objects).send_json(&object).await.expect("reply");
    assert!(response.status().is_success());
    let listed = fleet.ctl(2, &["quarantine", "list"]);
    assert_eq!(stdout(&listed), "00ff {\"crashes\":2}\n", "{}", stderr(&listed));
    let not_hex = fleet.ctl(2, &["quarantine", "release", "../x"]);
    assert_eq!(not_hex.status.code(), Some(4));
    let released = fleet.ctl(2, &["quarantine", "release", "00ff"]);
    assert_eq!(stdout(&released), "released\n", "{}", stderr(&released));
    let repeated = fleet.ctl(1, &["quarantine", "release", "00ff"]);
    assert_eq!(stdout(&repeated), "was not in quarantine\n");
    assert_eq!(stdout(&fleet.ctl(1, &["quarantine", "list"])), "");
}
