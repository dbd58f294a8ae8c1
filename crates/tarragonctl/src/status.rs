//! Shows each process, and waits for a generation.

use crate::{
    error::{Error, Result},
    flags::StatusCommand,
    rpc::Client,
};
use rail_api::operator as api;
use std::time::{Duration, Instant};

/// Interval between looks at the generation of each process.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);
/// Age above which a process counts as gone.
const GONE_AGE_MS: u64 = 3000;

/// Prints the status, once the awaited generation is in force if one is named.
pub async fn show(client: &mut Client, command: &StatusCommand) -> Result<()> {
    let started = Instant::now();
    let limit = Duration::from_secs(command.timeout_s);
    loop {
        let reply = client.status(api::StatusRequest {}).await.map_err(Error::reading)?;
        let reply = reply.into_inner();
        let Some(generation) = command.wait else {
            print(&reply, command.json);
            return Ok(());
        };
        let behind = processes_behind(&reply, generation);
        if behind.is_empty() {
            print(&reply, command.json);
            return Ok(());
        }
        if started.elapsed() >= limit {
            return Err(Error::NotInForce { generation, behind });
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

fn processes_behind(reply: &api::StatusReply, generation: u64) -> Vec<String> {
    let live = reply.processes.iter().filter(|p| state(p) != "gone");
    let behind = live.filter(|p| p.generation < generation);
    behind.map(|p| format!("{}/{} ({})", p.host, p.role, p.generation)).collect()
}

fn state(process: &api::ProcessStatus) -> &'static str {
    match process {
        p if p.age_ms >= GONE_AGE_MS => "gone",
        p if p.leaving => "leaving",
        _ => "live",
    }
}

fn print(reply: &api::StatusReply, as_json: bool) {
    if as_json {
        print_json(reply);
    } else {
        print_table(reply);
    }
}

fn print_json(reply: &api::StatusReply) {
    let process = |p: &api::ProcessStatus| {
        serde_json::json!({
            "host": p.host, "role": p.role, "incarnation": p.incarnation,
            "generation": p.generation, "state": state(p), "leaving": p.leaving,
            "age_ms": p.age_ms, "owned_engines": p.owned_engines,
        })
    };
    let processes: Vec<_> = reply.processes.iter().map(process).collect();
    let text = serde_json::json!({
        "generation": reply.accepted_generation, "processes": processes,
    });
    println!("{text}");
}

fn print_table(reply: &api::StatusReply) {
    println!("generation {}", reply.accepted_generation);
    println!(
        "{:<12} {:<10} {:<8} {:>10} {:>8} engines",
        "host", "role", "state", "generation", "age_ms"
    );
    for p in &reply.processes {
        let (state, engines) = (state(p), p.owned_engines.join(" "));
        println!(
            "{:<12} {:<10} {state:<8} {:>10} {:>8} {engines}",
            p.host, p.role, p.generation, p.age_ms
        );
    }
}
