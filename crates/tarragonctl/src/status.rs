//! Shows the status of all processes and waits until they have applied a generation.

use crate::{
    error::{Error, Result},
    flags::StatusCommand,
    rpc::Client,
};
use rail_api::operator as api;
use std::time::{Duration, Instant};

/// Interval between `status` calls while `--wait` waits for a generation.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Age of its last heartbeat from which a process counts as gone, in milliseconds.
const GONE_AGE_MS: u64 = 3000;

/// Prints the status; with `--wait`, first waits until each process has applied the generation.
pub async fn show(client: &mut Client, command: &StatusCommand) -> Result<()> {
    let started_at = Instant::now();
    let timeout = Duration::from_secs(command.timeout_s);
    loop {
        let reply = client.status(api::StatusRequest {}).await.map_err(Error::from_read)?;
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
        if started_at.elapsed() >= timeout {
            return Err(Error::NotApplied { generation, behind });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn processes_behind(reply: &api::StatusReply, generation: u64) -> Vec<String> {
    let not_gone = reply.processes.iter().filter(|p| state(p) != "gone");
    let behind = not_gone.filter(|p| p.generation < generation);
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
    let process_json = |p: &api::ProcessStatus| {
        serde_json::json!({
            "host": p.host, "role": p.role, "incarnation": p.incarnation,
            "generation": p.generation, "state": state(p), "leaving": p.leaving,
            "age_ms": p.age_ms, "owned_engines": p.owned_engines,
        })
    };
    let processes: Vec<_> = reply.processes.iter().map(process_json).collect();
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
