//! Sends the traffic of a profile to a fleet of real processes.

use crate::{
    flags::RunFlags,
    profile::{Profile, Shift},
    report::{Error, Method, Result, WaitRecorder},
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

/// Interval between progress lines on standard error.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Metrics as observed by callers. Load stalls are part of the time to the first token.
#[derive(Debug, Serialize)]
pub struct RunReport {
    method: Method,
    profile: String,
    seed: u64,
    urgent: ClassReport,
    deferrable: ClassReport,
}

/// Metrics of one urgency class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Requests whose response was received completely.
    pub answered: u64,
    /// Requests that were refused, failed or cut off.
    pub unanswered: u64,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    first_token_p99_ms: f64,
}

/// Results of one urgency class so far.
#[derive(Debug)]
struct ClassResults {
    first_token: WaitRecorder,
    answered: u64,
    unanswered: u64,
}

/// Sends requests and records their results.
struct LoadGenerator {
    flags: RunFlags,
    profile: Profile,
    client: Client,
    /// Results of urgent and of deferrable requests.
    classes: RefCell<[ClassResults; 2]>,
}

/// Sends all requests of a trace at their arrival times and waits for the responses.
///
/// # Errors
/// Returns an error if a histogram can't be created.
pub async fn run(
    flags: RunFlags,
    profile: Profile,
    shift: Shift,
    trace: &[Arrival],
) -> Result<RunReport> {
    let new_class = || {
        Ok::<_, Error>(ClassResults {
            first_token: WaitRecorder::new()?,
            answered: 0,
            unanswered: 0,
        })
    };
    let classes = RefCell::new([new_class()?, new_class()?]);
    let client = Client::builder().timeout(Duration::from_secs(3600)).finish();
    let generator = Rc::new(LoadGenerator { flags, profile, client, classes });
    eprintln!(
        "sending {} requests over {:?}, shift {shift:?}",
        trace.len(),
        generator.profile.end()
    );
    let started = Instant::now();
    let mut progress_at = started;
    let mut tasks = Vec::new();
    for (number, arrival) in trace.iter().copied().enumerate() {
        actix_rt::time::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        if progress_at.elapsed() > PROGRESS_INTERVAL {
            progress_at = Instant::now();
            eprintln!("{:?}: {number} requests sent", started.elapsed());
        }
        let generator = Rc::clone(&generator);
        tasks.push(actix_rt::spawn(async move { generator.send(number, arrival).await }));
    }
    eprintln!("all requests sent; waiting for the remaining responses");
    futures_util::future::join_all(tasks).await;
    let [urgent, deferrable] = &*generator.classes.borrow();
    Ok(RunReport {
        method: Method::RealProcesses,
        profile: generator.profile.name.to_owned(),
        seed: generator.flags.seed,
        urgent: urgent.report(),
        deferrable: deferrable.report(),
    })
}

impl ClassResults {
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

impl LoadGenerator {
    async fn send(&self, number: usize, arrival: Arrival) {
        let sent_at = Instant::now();
        let first_token_at = self.stream_completion(number, arrival).await;
        let class = &mut self.classes.borrow_mut()[usize::from(!arrival.urgent)];
        match first_token_at {
            Some(at) => {
                class.answered += 1;
                class.first_token.record(at.saturating_duration_since(sent_at), true);
            }
            None => class.unanswered += 1,
        }
    }

    /// Sends a request and reads its streamed response. Returns the time of the first chunk, or
    /// `None` if the response is not a success or not complete.
    async fn stream_completion(&self, number: usize, arrival: Arrival) -> Option<Instant> {
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
        let mut response = request.send_json(&body).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut first_chunk_at = None;
        let mut tail = Vec::new();
        while let Some(chunk) = response.next().await {
            first_chunk_at = first_chunk_at.or_else(|| Some(Instant::now()));
            tail.extend_from_slice(&chunk.ok()?);
            tail.drain(..tail.len().saturating_sub(64));
        }
        String::from_utf8_lossy(&tail).contains("[DONE]").then_some(first_chunk_at).flatten()
    }
}

impl RunReport {
    /// Returns the metrics of urgent and of deferrable requests.
    pub fn classes(&self) -> [&ClassReport; 2] {
        [&self.urgent, &self.deferrable]
    }
}
