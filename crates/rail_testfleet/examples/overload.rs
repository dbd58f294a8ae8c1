//! Measures latency and goodput of urgent requests under overload, with and without load shedding.
//!
//! `cargo run --release -p rail_testfleet --example overload` starts a fleet for each admission
//! policy and sends open-loop arrivals at 0.5 to 4 times the engines' capacity.

use awc::Client;
use hdrhistogram::Histogram;
use rail_testfleet::{FleetPlan, TestFleet};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};
use serde_json::json;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Seed of the arrival times and of the choice of urgency, host and adapter.
const SEED: u64 = 11;
const ENGINES: u8 = 3;
/// Requests that an engine runs at once.
const BATCH: u32 = 8;
/// Time that an engine takes for one token of each request in the batch, in milliseconds.
const TOKEN_MS: u32 = 5;
/// Length of each completion in tokens.
const TOKENS: u32 = 20;
/// Requests per second that the engines complete with full batches.
const CAPACITY_PER_S: f64 = (ENGINES as u32 * BATCH * 1000 / (TOKEN_MS * TOKENS)) as f64;
/// Offered load as multiples of the capacity.
const LOAD_FACTORS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];
/// Time over which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(6);
/// Probability that a request is urgent.
const URGENT_SHARE: f64 = 0.7;
const URGENT_DEADLINE: Duration = Duration::from_secs(2);
const DEFERRABLE_DEADLINE: Duration = Duration::from_secs(20);
const ADAPTERS: u32 = 4;

#[derive(Debug)]
struct Measurements {
    urgent_latency_ms: Histogram<u64>,
    urgent_sent: u64,
    /// Urgent requests completed within their deadline, the goodput.
    urgent_in_time: u64,
    deferrable_sent: u64,
    deferrable_answered: u64,
    /// Requests answered with status 429 or 503.
    refused: u64,
    refusal_latency_ms: Histogram<u64>,
    /// Requests with another status, or without a complete response.
    failed: u64,
}

impl Measurements {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000, 3).expect("bounds are valid");
        Self {
            urgent_latency_ms: histogram(),
            urgent_sent: 0,
            urgent_in_time: 0,
            deferrable_sent: 0,
            deferrable_answered: 0,
            refused: 0,
            refusal_latency_ms: histogram(),
            failed: 0,
        }
    }
}

#[actix_rt::main]
async fn main() {
    println!(
        "policy factor offered/s urgent_p50_ms p95 p99 urgent_goodput/s refused refusal_p95_ms failed deferrable"
    );
    for policy in ["deadline", "first-come"] {
        for factor in LOAD_FACTORS {
            let mut plan =
                FleetPlan { engines: ENGINES, adapters: ADAPTERS, ..FleetPlan::default() };
            plan.engine_flags = vec![format!("--token-ms={TOKEN_MS}"), format!("--batch={BATCH}")];
            plan.env_vars.insert("TARRAGON_ADMISSION".into(), policy.into());
            let fleet = TestFleet::start(plan);
            let measurements = run_load(&fleet, factor).await;
            print_row(policy, factor, &measurements);
        }
    }
}

/// Sends requests at this multiple of the capacity and waits for all outcomes.
async fn run_load(fleet: &TestFleet, factor: f64) -> Measurements {
    let measurements = Rc::new(RefCell::new(Measurements::new()));
    let client = Client::builder()
        .connector(awc::Connector::new().limit(0))
        .timeout(Duration::from_secs(120))
        .finish();
    // Loads every adapter before the measurement, through each host.
    for adapter in 0..ADAPTERS {
        for host in 1..=3 {
            send(client.clone(), fleet.caller_url(host), adapter, true, Rc::clone(&measurements))
                .await;
        }
    }
    measurements.replace(Measurements::new());
    let mut rng = StdRng::seed_from_u64(SEED);
    let started = Instant::now();
    let interarrival_times = Exp::new(CAPACITY_PER_S * factor).expect("rate is positive");
    let mut next_arrival = Duration::ZERO;
    let mut calls = Vec::new();
    while next_arrival < ARRIVAL_PERIOD {
        next_arrival += Duration::from_secs_f64(interarrival_times.sample(&mut rng));
        actix_rt::time::sleep(next_arrival.saturating_sub(started.elapsed())).await;
        let urgent = rng.random_bool(URGENT_SHARE);
        let url = fleet.caller_url(rng.random_range(1..=3));
        let adapter = rng.random_range(0..ADAPTERS);
        let call = send(client.clone(), url, adapter, urgent, Rc::clone(&measurements));
        calls.push(actix_rt::spawn(call));
    }
    futures_util::future::join_all(calls).await;
    measurements.replace(Measurements::new())
}

/// Sends one request and records its outcome.
async fn send(
    client: Client,
    url: String,
    adapter: u32,
    urgent: bool,
    measurements: Rc<RefCell<Measurements>>,
) {
    let deadline = if urgent { URGENT_DEADLINE } else { DEFERRABLE_DEADLINE };
    let body = json!({
        "model": format!("llama:a{adapter}@v1"), "prompt": "when does the ferry leave",
        "max_tokens": TOKENS, "urgency": if urgent { "urgent" } else { "deferrable" },
        "deadline_ms": deadline.as_millis() as u64,
    });
    let sent_at = Instant::now();
    let response = client.post(format!("{url}/v1/completions")).send_json(&body).await;
    let status = match response {
        Ok(mut response) => {
            let is_complete = response.body().limit(1 << 20).await.is_ok();
            is_complete.then(|| response.status().as_u16())
        }
        Err(_) => None,
    };
    let elapsed = sent_at.elapsed();
    let mut measurements = measurements.borrow_mut();
    measurements.urgent_sent += u64::from(urgent);
    measurements.deferrable_sent += u64::from(!urgent);
    match status {
        Some(200) if urgent => {
            measurements.urgent_latency_ms.saturating_record(elapsed.as_millis() as u64);
            measurements.urgent_in_time += u64::from(elapsed <= URGENT_DEADLINE);
        }
        Some(200) => measurements.deferrable_answered += 1,
        Some(429 | 503) => {
            measurements.refused += 1;
            measurements.refusal_latency_ms.saturating_record(elapsed.as_millis() as u64);
        }
        _ => measurements.failed += 1,
    }
}

/// Prints one row of the table whose head `main` prints.
fn print_row(policy: &str, factor: f64, measurements: &Measurements) {
    let quantile = |q| measurements.urgent_latency_ms.value_at_quantile(q);
    println!(
        "{policy} {factor} {:.0} {} {} {} {:.1} {} {} {} {}/{}",
        CAPACITY_PER_S * factor,
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
        measurements.urgent_in_time as f64 / ARRIVAL_PERIOD.as_secs_f64(),
        measurements.refused,
        measurements.refusal_latency_ms.value_at_quantile(0.95),
        measurements.failed,
        measurements.deferrable_answered,
        measurements.deferrable_sent,
    );
}
