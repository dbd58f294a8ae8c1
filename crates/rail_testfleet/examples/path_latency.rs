//! Measures the latency that the serving path adds to a call of the engine, and the memory of each
//! process.
//!
//! `cargo run --release -p rail_testfleet --example path_latency` requests completions of one
//! token in closed loops, directly from an engine stand-in and through a gateway.

use awc::{Client, Connector};
use hdrhistogram::Histogram;
use rail_testfleet::{CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

const MODEL: &str = "llama:a0@v1";
/// Requests that are sent for each target and concurrency.
const REQUESTS: u64 = 2000;
const CONCURRENCIES: [usize; 3] = [1, 4, 32];
const ROLES: [&str; 3] = ["scheduler", "gateway", "admin"];

#[actix_rt::main]
async fn main() {
    let plan = FleetPlan { hosts: 1, engines: 1, ..FleetPlan::default() };
    let mut fleet = TestFleet::start(plan);
    let request = CompletionRequest::new(MODEL, 1);
    assert!(
        request.is_answered_by(&request.send(&fleet.caller_url(1)).await),
        "the gateway returns the expected completion"
    );
    print_memory(&mut fleet, "idle");
    let targets = [("engine", fleet.standin_url("engine1")), ("gateway", fleet.caller_url(1))];
    println!("target concurrency answers failed p50_us p99_us answers/s");
    for concurrency in CONCURRENCIES {
        for (name, url) in &targets {
            measure_latency(name, &format!("{url}/v1/completions"), concurrency).await;
        }
    }
    print_memory(&mut fleet, "loaded");
}

/// Sends requests from `concurrency` workers and prints a row of the table.
async fn measure_latency(name: &str, url: &str, concurrency: usize) {
    let latency = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid");
    let latency = Rc::new(RefCell::new(latency));
    let (sent, failed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let client = Client::builder()
        .connector(Connector::new().limit(0))
        .timeout(Duration::from_secs(30))
        .finish();
    let started = Instant::now();
    let workers = (0..concurrency).map(|_| {
        let (latency, sent, failed) = (Rc::clone(&latency), Rc::clone(&sent), Rc::clone(&failed));
        let (client, url) = (client.clone(), url.to_owned());
        actix_rt::spawn(async move {
            while sent.get() < REQUESTS {
                sent.set(sent.get() + 1);
                let sent_at = Instant::now();
                if request_succeeds(&client, &url).await {
                    latency.borrow_mut().saturating_record(sent_at.elapsed().as_micros() as u64);
                } else {
                    failed.set(failed.get() + 1);
                }
            }
        })
    });
    futures_util::future::join_all(workers).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let latency = latency.borrow();
    println!(
        "{name} {concurrency} {} {} {} {} {:.0}",
        latency.len(),
        failed.get(),
        latency.value_at_quantile(0.5),
        latency.value_at_quantile(0.99),
        latency.len() as f64 / elapsed_s,
    );
}

/// Returns whether the target answers a request with success and a readable body.
async fn request_succeeds(client: &Client, url: &str) -> bool {
    let body = json!({"model": MODEL, "prompt": "when does the ferry leave", "max_tokens": 1});
    match client.post(url).send_json(&body).await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Prints the resident memory of each process of the entry host.
fn print_memory(fleet: &mut TestFleet, phase: &str) {
    for role in ROLES {
        let id = fleet.process(&format!("host1/{role}")).id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
        println!("{phase} {role} {resident}");
    }
}
