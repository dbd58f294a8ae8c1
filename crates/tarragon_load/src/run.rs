//! Sends the traffic of a profile to a fleet of real processes.

use crate::{
    flags::RunFlags,
    profile::{Profile, Shift},
    report::{Error, Method, Recorder, Result},
    trace::Arrival,
};
use awc::Client;
use futures_util::StreamExt;
use serde::Serialize;
use serde_json::json;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Interval between lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Figures that a caller sees; load stalls show only as part of the time to the first token.
#[derive(Debug, Serialize)]
pub struct RunReport {
    method: Method,
    profile: String,
    seed: u64,
    urgent: ClassReport,
    deferrable: ClassReport,
}

/// Figures of one class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Requests answered in whole.
    pub answered: u64,
    /// Requests with another end.
    pub unanswered: u64,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    first_token_p99_ms: f64,
}

#[derive(Debug)]
struct Class {
    first_token: Recorder,
    answered: u64,
    unanswered: u64,
}

struct Sender {
    flags: RunFlags,
    profile: Profile,
    client: Client,
    classes: RefCell<[Class; 2]>,
}

/// Sends all arrivals and waits for their ends.
///
/// # Errors
/// Fails when a histogram can't be made.
pub async fn run(
    flags: RunFlags,
    profile: Profile,
    shift: Shift,
    trace: &[Arrival],
) -> Result<RunReport> {
    let class =
        || Ok::<_, Error>(Class { first_token: Recorder::open()?, answered: 0, unanswered: 0 });
    let classes = RefCell::new([class()?, class()?]);
    let client = Client::builder().timeout(Duration::from_secs(3600)).finish();
    let sender = Rc::new(Sender { flags, profile, client, classes });
    eprintln!("{} requests over {:?}, shift {shift:?}", trace.len(), sender.profile.end());
    let started = Instant::now();
    let mut shown_at = started;
    let mut tasks = Vec::new();
    for (number, arrival) in trace.iter().copied().enumerate() {
        actix_rt::time::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        if shown_at.elapsed() > PROGRESS_INTERVAL {
            shown_at = Instant::now();
            eprintln!("{:?}: {number} sent", started.elapsed());
        }
        let sender = Rc::clone(&sender);
        tasks.push(actix_rt::spawn(async move { sender.send(number, arrival).await }));
    }
    eprintln!("all sent; waiting for answers");
    futures_util::future::join_all(tasks).await;
    let [urgent, deferrable] = &*sender.classes.borrow();
    Ok(RunReport {
        method: Method::RealProcesses,
        profile: sender.profile.name.to_owned(),
        seed: sender.flags.seed,
        urgent: urgent.report(),
        deferrable: deferrable.report(),
    })
}

impl Class {
    fn report(&self) -> ClassReport {
        ClassReport {
            answered: self.answered,
            unanswered: self.unanswered,
            first_token_p50_ms: self.first_token.quantile_ms(0.5),
            first_token_p95_ms: self.first_token.quantile_ms(0.95),
            first_token_p99_ms: self.first_token.quantile_ms(0.99),
        }
    }
}

impl Sender {
    async fn send(&self, number: usize, arrival: Arrival) {
        let begun = Instant::now();
        let first_token = self.ask(number, arrival).await;
        let class = &mut self.classes.borrow_mut()[usize::from(!arrival.urgent)];
        match first_token {
            Some(at) => {
                class.answered += 1;
                class.first_token.record(at.saturating_duration_since(begun), true);
            }
            None => class.unanswered += 1,
        }
    }

    /// Streams one answer; gives the moment of its first part when it is whole.
    async fn ask(&self, number: usize, arrival: Arrival) -> Option<Instant> {
        let traffic = if arrival.urgent { self.profile.urgent } else { self.profile.deferrable };
        let body = json!({
            "model": format!("{}:a{}@v1", self.flags.base, arrival.adapter),
            "prompt": "when does the ferry leave",
            "max_tokens": self.flags.tokens.unwrap_or(traffic.tokens),
            "stream": true,
            "urgency": if arrival.urgent { "urgent" } else { "deferrable" },
            "deadline_ms": traffic.deadline.as_millis() as u64,
        });
        let url = &self.flags.url[number % self.flags.url.len()];
        let request = self.client.post(format!("{url}/v1/completions"));
        let mut reply = request.send_json(&body).await.ok()?;
        if !reply.status().is_success() {
            return None;
        }
        let mut first = None;
        let mut end = Vec::new();
        while let Some(chunk) = reply.next().await {
            first = first.or_else(|| Some(Instant::now()));
            end.extend_from_slice(&chunk.ok()?);
            end.drain(..end.len().saturating_sub(64));
        }
        String::from_utf8_lossy(&end).contains("[DONE]").then_some(first).flatten()
    }
}

impl RunReport {
    /// Gives the figures of urgent and of deferrable requests.
    pub fn classes(&self) -> [&ClassReport; 2] {
        [&self.urgent, &self.deferrable]
    }
}
