//! Memory and traffic of the control plane on an idle entry host stay within their bounds.

use rail_testfleet::{FleetPlan, TestFleet};
use serde_json::Value;
use std::{collections::BTreeMap, fs, time::Duration};

/// Time over which traffic and processor time are measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);
/// Maximum resident memory of an idle entry host's three processes together, in KiB.
const MAX_CONTROL_MEMORY_KIB: u64 = 64 << 10;
/// Maximum traffic on the links to peers that an idle entry host opened, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: u64 = 14_000;
/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Roles of the processes of an entry host, each with its metrics port.
const PROCESSES: [(&str, u16); 3] = [("scheduler", 7404), ("gateway", 8080), ("admin", 7405)];

#[derive(Debug, Clone, Copy, Default)]
struct ControlCost {
    /// Processor time of each process in clock ticks.
    ticks: [u64; 3],
    memory_kib: u64,
    peer_bytes: u64,
}

async fn read_cost(fleet: &mut TestFleet, host: u8) -> ControlCost {
    let mut cost = ControlCost::default();
    for (index, (role, port)) in PROCESSES.into_iter().enumerate() {
        let id = fleet.process(&format!("host{host}/{role}")).id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("process runs");
        // Fields after the process name, which ends with the last parenthesis. User time is the
        // 12th of them, system time the 13th.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<u64>().expect("a number");
        cost.ticks[index] = ticks(11) + ticks(12);
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("process runs");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        cost.memory_kib += memory.expect("VmRSS is shown");
        cost.peer_bytes += counter(fleet, host, port, "peer_bytes_total ").await;
    }
    cost
}

/// Returns the value of the first metrics line with this prefix; 0 when there is none.
async fn counter(fleet: &TestFleet, host: u8, port: u16, prefix: &str) -> u64 {
    let url = format!("http://{}:{port}/metrics", fleet.host_ip(host));
    let mut response = awc::Client::default().get(url).send().await.expect("metrics");
    let text = String::from_utf8(response.body().await.expect("body").to_vec()).expect("text");
    text.lines().find_map(|line| line.strip_prefix(prefix)).map_or(0, |n| n.parse().expect("count"))
}

fn platform_calls(stats: &Value) -> [u64; 3] {
    ["reads", "writes", "watches"].map(|key| stats[key].as_u64().expect("a count"))
}

/// Measures the second host of an idle fleet; returns its cost at the end and its bytes per second
/// on links to peers.
async fn measure(hosts: u8) -> (ControlCost, f64) {
    // Uses the default intervals of the settings instead of the shorter ones of other tests.
    let env_vars = BTreeMap::from([("TARRAGON_LOG_FORMAT".to_owned(), "text".to_owned())]);
    let mut fleet = TestFleet::start(FleetPlan { hosts, env_vars, ..FleetPlan::default() });
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let calls_before = platform_calls(&fleet.stats("platform").await);
    let before = read_cost(&mut fleet, 2).await;
    actix_rt::time::sleep(MEASUREMENT_PERIOD).await;
    let after = read_cost(&mut fleet, 2).await;
    let calls_after = platform_calls(&fleet.stats("platform").await);
    let seconds = MEASUREMENT_PERIOD.as_secs_f64();
    let bytes_per_s = (after.peer_bytes - before.peer_bytes) as f64 / seconds;
    let ticks = [0, 1, 2].map(|index| after.ticks[index] - before.ticks[index]);
    let core_percent = ticks.map(|ticks| ticks as f64 / TICKS_PER_S / seconds * 100.0);
    let calls: Vec<String> = calls_before
        .iter()
        .zip(calls_after)
        .map(|(before, after)| format!("{:.1}", (after - before) as f64 / seconds))
        .collect();
    println!(
        "{hosts} hosts: a node uses {core_percent:.2?}% of a core (scheduler, gateway, admin), {} KiB, {bytes_per_s:.0} bytes/s \
         to peers; platform reads, writes, watches a second: {}",
        after.memory_kib,
        calls.join(", ")
    );
    (after, bytes_per_s)
}

#[actix_rt::test]
async fn an_idle_node_stays_within_its_bounds_at_9_hosts() {
    measure(3).await;
    let (cost, bytes_per_s) = measure(9).await;
    assert!(cost.memory_kib <= MAX_CONTROL_MEMORY_KIB, "{} KiB", cost.memory_kib);
    assert!(bytes_per_s <= MAX_CONTROL_BYTES_PER_S as f64, "{bytes_per_s} bytes/s");
}
