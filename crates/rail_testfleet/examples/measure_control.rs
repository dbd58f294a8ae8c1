//! Measures how fast configuration changes spread, and what control costs an idle fleet of real
//! processes.
//!
//! `cargo run -p rail_testfleet --example measure_control -- HOSTS CHANGES SECONDS`

use rail_testfleet::{FleetPlan, TestFleet};
use std::time::{Duration, Instant};

/// Time within which a change must be applied by every gateway and scheduler.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, the unit of resident memory in `/proc/PID/stat`.
const PAGE_BYTES: f64 = 4096.0;
const ROLES: [&str; 3] = ["gateway", "scheduler", "admin"];

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    memory_mib: f64,
}

/// Reads processor time and resident memory of one process; panics when it has exited.
fn usage(fleet: &mut TestFleet, process: &str) -> Usage {
    let id = fleet.process(process).id();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<f64> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    // Fields 14 (user time), 15 (system time) and 24 (resident pages) of the file. The parsed
    // fields begin with the third one, after the process id and the name.
    Usage {
        cpu_s: (fields[11] + fields[12]) / TICKS_PER_S,
        memory_mib: fields[21] * PAGE_BYTES / f64::from(1 << 20),
    }
}

fn sum_usage(fleet: &mut TestFleet, hosts: u8, role: &str) -> Usage {
    let mut sum = Usage::default();
    for host in 1..=hosts {
        let host_usage = usage(fleet, &format!("host{host}/{role}"));
        sum.cpu_s += host_usage.cpu_s;
        sum.memory_mib += host_usage.memory_mib;
    }
    sum
}

/// Returns the bytes sent and received on the peer links that one role opened, summed over all
/// hosts.
async fn peer_bytes(fleet: &TestFleet, hosts: u8, role: &str) -> u64 {
    let mut sum = 0;
    for host in 1..=hosts {
        let process = format!("host{host}/{role}");
        sum += fleet.metric(&process, "peer_bytes_total").await.unwrap_or(0);
    }
    sum
}

/// Prints quantiles of the time to accept a change and of the time until every host applies it.
async fn measure_spread(fleet: &TestFleet, hosts: u8, changes: u32) {
    let mut spread_ms = Vec::new();
    let mut accept_ms = Vec::new();
    for number in 0..changes {
        let host = (number % u32::from(hosts)) as u8 + 1;
        let name = format!("m{number}");
        let started = Instant::now();
        let output = fleet.ctl(host, &["adapter", "--base", "llama", &name, "v1"]);
        accept_ms.push(started.elapsed().as_millis());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let generation = text.trim().trim_start_matches("generation ").parse();
        let generation =
            generation.expect("tarragonctl prints the generation of an accepted change");
        let spread = fleet.wait_for_generation(1..=hosts, generation, CHANGE_TIMEOUT).await;
        spread_ms.push(spread.as_millis());
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    for (name, values) in [("accept", &mut accept_ms), ("spread", &mut spread_ms)] {
        values.sort_unstable();
        let quantile = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
        println!(
            "{name}_ms hosts={hosts} changes={changes} p50={} p95={} max={}",
            quantile(0.5),
            quantile(0.95),
            quantile(1.0)
        );
    }
}

/// Prints calls, traffic, processor time and memory per host over a time without requests.
async fn measure_idle_cost(fleet: &mut TestFleet, hosts: u8, seconds: u64) {
    let calls = |stats: &serde_json::Value| {
        stats["reads"].as_u64().unwrap_or(0) + stats["writes"].as_u64().unwrap_or(0)
    };
    let before = fleet.stats("platform").await;
    let mut bytes_before = 0;
    for role in ["gateway", "scheduler"] {
        bytes_before += peer_bytes(fleet, hosts, role).await;
    }
    let usage_before = ROLES.map(|role| sum_usage(fleet, hosts, role));
    let started = Instant::now();
    actix_rt::time::sleep(Duration::from_secs(seconds)).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let usage_after = ROLES.map(|role| sum_usage(fleet, hosts, role));
    let after = fleet.stats("platform").await;
    let mut bytes_after = 0;
    for role in ["gateway", "scheduler"] {
        bytes_after += peer_bytes(fleet, hosts, role).await;
    }
    let per_host = |value: f64| value / f64::from(hosts);
    let calls_per_s = (calls(&after) - calls(&before)) as f64 / elapsed_s;
    let watches = after["open_watches"].as_u64().unwrap_or(0);
    println!(
        "platform hosts={hosts} calls_per_s_per_host={:.2} open_watches_per_host={:.1}",
        per_host(calls_per_s),
        per_host(watches as f64)
    );
    let bytes_per_s = (bytes_after - bytes_before) as f64 / elapsed_s;
    println!(
        "peers hosts={hosts} bytes_per_s_per_host={:.0} (links opened by gateway and scheduler)",
        per_host(bytes_per_s)
    );
    for (role, (before, after)) in ROLES.iter().zip(usage_before.iter().zip(&usage_after)) {
        println!(
            "{role} hosts={hosts} cpu_ms_per_s={:.2} memory_mib={:.1}",
            per_host((after.cpu_s - before.cpu_s) / elapsed_s * 1000.0),
            per_host(after.memory_mib)
        );
    }
}

#[actix_rt::main]
async fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u32>().expect("a number"));
    let hosts = args.next().unwrap_or(3) as u8;
    let changes = args.next().unwrap_or(50);
    let seconds = u64::from(args.next().unwrap_or(10));
    let env_vars = FleetPlan::default().env_vars.into_iter().filter(|(name, _)| {
        // Leaves these two settings at their defaults, as on a deployed fleet.
        !name.ends_with("_TTL_MS") && !name.ends_with("HEARTBEAT_MS")
    });
    let plan = FleetPlan { hosts, env_vars: env_vars.collect(), ..FleetPlan::default() };
    let mut fleet = TestFleet::start(plan);
    measure_spread(&fleet, hosts, changes).await;
    measure_idle_cost(&mut fleet, hosts, seconds).await;
}
