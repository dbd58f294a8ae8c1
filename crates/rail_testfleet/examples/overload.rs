//! Measures urgent latency and goodput under overload, with and without shedding.
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

const SEED: u64 = 11;
const ENGINES: u8 = 3;
const BATCH: u32 = 8;
const TOKEN_MS: u32 = 5;
const TOKENS: u32 = 20;
/// Requests a second that the engines finish with full batches.
const CAPACITY_PER_S: f64 = (ENGINES as u32 * BATCH * 1000 / (TOKEN_MS * TOKENS)) as f64;
const FACTORS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];
const RUN_TIME: Duration = Duration::from_secs(6);
const URGENT_SHARE: f64 = 0.7;
const URGENT_DEADLINE: Duration = Duration::from_secs(2);
const DEFERRABLE_DEADLINE: Duration = Duration::from_secs(20);
const ADAPTERS: u32 = 4;

#[derive(Debug)]
struct Measures {
    urgent_ms: Histogram<u64>,
    urgent_sent: u64,
    urgent_in_time: u64,
    deferrable_sent: u64,
    deferrable_answered: u64,
    refused: u64,
    refusal_ms: Histogram<u64>,
    failed: u64,
}

impl Measures {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000, 3).expect("bounds are valid");
        Self {
            urgent_ms: histogram(),
            urgent_sent: 0,
            urgent_in_time: 0,
            deferrable_sent: 0,
            deferrable_answered: 0,
            refused: 0,
            refusal_ms: histogram(),
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
        for factor in FACTORS {
            let mut plan =
                FleetPlan { engines: ENGINES, adapters: ADAPTERS, ..FleetPlan::default() };
            plan.engine_flags = vec![format!("--token-ms={TOKEN_MS}"), format!("--batch={BATCH}")];
            plan.env_vars.insert("TARRAGON_ADMISSION".into(), policy.into());
            let fleet = TestFleet::start(plan);
            let measures = run(&fleet, factor).await;
            print(policy, factor, &measures);
        }
    }
}

async fn run(fleet: &TestFleet, factor: f64) -> Measures {
    let measures = Rc::new(RefCell::new(Measures::new()));
    let client = Client::builder()
        .connector(awc::Connector::new().limit(0))
        .timeout(Duration::from_secs(120))
        .finish();
    for adapter in 0..ADAPTERS {
        for host in 1..=3 {
            send(client.clone(), fleet.caller_url(host), adapter, true, Rc::clone(&measures)).await;
        }
    }
    measures.replace(Measures::new());
    let mut rng = StdRng::seed_from_u64(SEED);
    let started = Instant::now();
    let gaps = Exp::new(CAPACITY_PER_S * factor).expect("rate is positive");
    let mut due = Duration::ZERO;
    let mut calls = Vec::new();
    while due < RUN_TIME {
        due += Duration::from_secs_f64(gaps.sample(&mut rng));
        actix_rt::time::sleep(due.saturating_sub(started.elapsed())).await;
        let urgent = rng.random_bool(URGENT_SHARE);
        let url = fleet.caller_url(rng.random_range(1..=3));
        let adapter = rng.random_range(0..ADAPTERS);
        let call = send(client.clone(), url, adapter, urgent, Rc::clone(&measures));
        calls.push(actix_rt::spawn(call));
    }
    futures_util::future::join_all(calls).await;
    measures.replace(Measures::new())
}

async fn send(
    client: Client,
    url: String,
    adapter: u32,
    urgent: bool,
    measures: Rc<RefCell<Measures>>,
) {
    let deadline = if urgent { URGENT_DEADLINE } else { DEFERRABLE_DEADLINE };
    let body = json!({
        "model": format!("llama:a{adapter}@v1"), "prompt": "when does the ferry leave",
        "max_tokens": TOKENS, "urgency": if urgent { "urgent" } else { "deferrable" },
        "deadline_ms": deadline.as_millis() as u64,
    });
    let begun = Instant::now();
    let response = client.post(format!("{url}/v1/completions")).send_json(&body).await;
    let status = match response {
        Ok(mut response) => {
            let whole = response.body().limit(1 << 20).await.is_ok();
            whole.then(|| response.status().as_u16())
        }
        Err(_) => None,
    };
    let elapsed = begun.elapsed();
    let mut measures = measures.borrow_mut();
    measures.urgent_sent += u64::from(urgent);
    measures.deferrable_sent += u64::from(!urgent);
    match status {
        Some(200) if urgent => {
            measures.urgent_ms.saturating_record(elapsed.as_millis() as u64);
            measures.urgent_in_time += u64::from(elapsed <= URGENT_DEADLINE);
        }
        Some(200) => measures.deferrable_answered += 1,
        Some(429 | 503) => {
            measures.refused += 1;
            measures.refusal_ms.saturating_record(elapsed.as_millis() as u64);
        }
        _ => measures.failed += 1,
    }
}

fn print(policy: &str, factor: f64, m: &Measures) {
    let quantile = |q| m.urgent_ms.value_at_quantile(q);
    println!(
        "{policy} {factor} {:.0} {} {} {} {:.1} {} {} {} {}/{}",
        CAPACITY_PER_S * factor,
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
        m.urgent_in_time as f64 / RUN_TIME.as_secs_f64(),
        m.refused,
        m.refusal_ms.value_at_quantile(0.95),
        m.failed,
        m.deferrable_answered,
        m.deferrable_sent,
    );
}
