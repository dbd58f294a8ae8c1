//! Load and experiment tool.
//!
//! `tarragon-load --url URL --model NAME ...` sends completions and reports
//! latency percentiles as JSON.

use awc::Client;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    /// URL of the completions call
    #[options(required)]
    url: String,
    /// model name; give it several times to spread requests
    model: Vec<String>,
    /// requests in all
    #[options(default = "1000")]
    requests: u64,
    /// requests at once
    #[options(default = "8")]
    concurrency: usize,
    /// tokens in each answer
    #[options(default = "1")]
    tokens: u32,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

#[actix_rt::main]
async fn main() -> Result<(), Error> {
    let flags = Rc::new(Flags::parse_args_default_or_exit());
    let latency = Rc::new(RefCell::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?));
    let sent = Rc::new(Cell::new(0_u64));
    let failed = Rc::new(Cell::new(0_u64));
    let started = Instant::now();
    let workers = (0..flags.concurrency).map(|_| {
        let (flags, latency) = (Rc::clone(&flags), Rc::clone(&latency));
        let (sent, failed) = (Rc::clone(&sent), Rc::clone(&failed));
        actix_rt::spawn(async move {
            let client = Client::builder().timeout(Duration::from_secs(30)).finish();
            while sent.get() < flags.requests {
                let number = sent.replace(sent.get() + 1) as usize;
                let begun = Instant::now();
                if send(&client, &flags, number).await {
                    latency.borrow_mut().saturating_record(begun.elapsed().as_micros() as u64);
                } else {
                    failed.set(failed.get() + 1);
                }
            }
        })
    });
    futures_util::future::join_all(workers).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let latency = latency.borrow();
    let report = json!({
        "answers": latency.len(), "failed": failed.get(),
        "p50_us": latency.value_at_quantile(0.5), "p99_us": latency.value_at_quantile(0.99),
        "answers_per_s": latency.len() as f64 / elapsed_s,
    });
    println!("{report}");
    Ok(())
}

async fn send(client: &Client, flags: &Flags, number: usize) -> bool {
    let model = &flags.model[number % flags.model.len().max(1)];
    let body = json!({
        "model": model, "prompt": "when does the ferry leave", "max_tokens": flags.tokens,
    });
    match client.post(&flags.url).send_json(&body).await {
        Ok(mut reply) => reply.status().is_success() && reply.body().limit(1 << 20).await.is_ok(),
        Err(_) => false,
    }
}
