//! A configuration adds a route to the model servers. Then one of two things happens after which a
//! sound system goes on serving it: a caller sends a request that is larger than the memory of any
//! server, and each server rejects it; or the operator names new weights of the base model.

use crate::{
    engine::{Engine, EngineShape},
    feed::Feed,
    http,
    site::{CannotRun, Record, Site, Verdict},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time without any disruption before the second configuration.
const CALM: Duration = Duration::from_millis(5_000);
/// Time from the second configuration to the first requests on the added route.
const UNTIL_REQUESTS: Duration = Duration::from_millis(4_000);
/// Time for which the other requests are sent from then on, and the pause between two of a route.
const TRAFFIC: Duration = Duration::from_millis(30_000);
const PAUSE: Duration = Duration::from_millis(250);
/// Time that the plain server works on a request.
const FEED_WORK: Duration = Duration::from_millis(30);
/// Tokens in the prompt of the large request.
const LARGE_USAGE: &str = "1000000,60";
/// Token usage of the other requests.
const USAGE: &str = "646,60";
/// Requests on the added route from which on the rule counts.
const MIN_REQUESTS: usize = 20;

const SERVICES: &str = r#""Services":[{"Name":"feed","HealthPath":"/health","MaxConns":110},
{"Name":"lm","HealthPath":"/health","MaxConns":370,"Engine":{"Slots":64,"WeightsMb":75000,
"AdapterSlots":17,"LoadsPerS":2,"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":4.3,"AdapterMb":66,
"Adapters":3000}]}}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}"#;
const FEED_ROUTE: &str = r#"{"Name":"post","Host":"site.example","PathPrefix":"/post/","Kind":"unsafe",
"Service":"feed","TimeoutMs":2500,"TargetLatencyMs":150,"Priority":2,"MaxAttempts":1}"#;
const ASK_ROUTE: &str = r#"{"Name":"ask","Host":"site.example","PathPrefix":"/ask/","Kind":"streaming",
"Service":"lm","TimeoutMs":6000,"TargetLatencyMs":600,"GapAimMs":400,"Priority":0,"MaxAttempts":1}"#;

/// Kind of request that a sender sends.
#[derive(Clone, Copy)]
enum Send {
    Ask,
    Post,
}

/// What happens after the route was added.
#[derive(Clone, Copy)]
enum Trouble {
    LargeRequest,
    NamedWeights,
}

impl Trouble {
    /// Returns the model that the callers name.
    fn model(self) -> &'static str {
        match self {
            Self::LargeRequest => "m0/a1",
            Self::NamedWeights => "m0",
        }
    }
}

/// Runs the case of the large request.
pub fn run_large(
    repository: &Path,
    record: Record,
    has_trouble: bool,
) -> Result<Verdict, CannotRun> {
    run(repository, record, Trouble::LargeRequest, has_trouble)
}

/// Runs the case of the named weights.
pub fn run_weights(
    repository: &Path,
    record: Record,
    has_trouble: bool,
) -> Result<Verdict, CannotRun> {
    run(repository, record, Trouble::NamedWeights, has_trouble)
}

fn run(
    repository: &Path,
    record: Record,
    trouble: Trouble,
    has_trouble: bool,
) -> Result<Verdict, CannotRun> {
    let model = trouble.model();
    let mut site = Site::open(repository, record.clone())?;
    let engines: Vec<_> = (21..=23).map(|last| join(&site, last)).collect::<Result<_, _>>()?;
    let feed = Feed::start(&site, "feed1", 31, FEED_WORK, b"done".to_vec())?;
    site.create("servers", "feed1", &feed.entry())?;
    site.create(
        "config",
        "main",
        &format!(r#"{{"Version":1,"Routes":[{FEED_ROUTE}],{SERVICES}}}"#),
    )?;
    site.start_hosts(3)?;
    thread::sleep(CALM);
    let second = format!(r#"{{"Version":2,"Routes":[{FEED_ROUTE},{ASK_ROUTE}],{SERVICES}}}"#);
    site.replace("config", "main", &second)?;
    record.line("configuration 2 adds the route ask");
    thread::sleep(UNTIL_REQUESTS);
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.front).collect();
    for number in 0..6 {
        if !ask(&record, fronts[number % 3], &format!("before-{number}"), model, USAGE) {
            return Err("a request before the trouble was not served".to_owned());
        }
    }
    match trouble {
        _ if !has_trouble => {}
        Trouble::LargeRequest => {
            record.line(&format!("caller sends large-1 with the token usage {LARGE_USAGE}"));
            ask(&record, fronts[0], "large-1", model, LARGE_USAGE);
        }
        Trouble::NamedWeights => {
            engines.iter().for_each(|engine| engine.name_weights(2));
            site.create("versions", "m0", r#"{"Model":"m0","Version":2}"#)?;
            record.line("the operator names version 2 of the weights of m0");
        }
    }
    let sender = |prefix: &'static str, send: Send| {
        let (record, fronts) = (record.clone(), fronts.clone());
        thread::spawn(move || {
            let started_at = Instant::now();
            let (mut sent, mut served) = (0, 0);
            while started_at.elapsed() < TRAFFIC {
                let id = format!("{prefix}-{sent}");
                served += usize::from(match send {
                    Send::Ask => ask(&record, fronts[sent % 3], &id, model, USAGE),
                    Send::Post => post(&record, fronts[sent % 3], &id),
                });
                sent += 1;
                thread::sleep(PAUSE);
            }
            (sent, served)
        })
    };
    let (ask_sender, post_sender) = (sender("ask", Send::Ask), sender("post", Send::Post));
    let (asked, asks_served) = ask_sender.join().unwrap_or_default();
    let (posted, posts_served) = post_sender.join().unwrap_or_default();
    record.line(&format!(
        "added route: {asks_served} of {asked} requests were served; first route: {posts_served} of {posted}"
    ));
    if asked < MIN_REQUESTS || posts_served == 0 {
        return Err("too few requests".to_owned());
    }
    let share = asks_served as f64 / asked as f64;
    let first_share = posts_served as f64 / posted as f64;
    Ok(if share < first_share / 4.0 { Verdict::Broken } else { Verdict::Held })
}

fn join(site: &Site, last: u8) -> Result<Arc<Engine>, CannotRun> {
    let engine = Engine::start(
        site,
        EngineShape {
            id: format!("lm{last}"),
            zone: format!("here-{}", (b'a' + (last - 21) % 3) as char),
            software: "v1".to_owned(),
            last,
            model: "m0".to_owned(),
            adapters: vec!["a1".to_owned()],
            adapter_slots: 17,
            events: 17,
            event_gap: Duration::from_millis(20),
        },
    )?;
    site.create("servers", &format!("lm{last}"), &engine.entry("ready"))?;
    Ok(engine)
}

fn post(record: &Record, front: SocketAddr, id: &str) -> bool {
    let headers = [("host", "site.example"), ("x-request-id", id), ("x-deadline-ms", "2500")];
    let answer = http::call(front, "POST", "/post/x", &headers, b"x", Duration::from_secs(3));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("caller: {id} got {status}"));
    status == 200
}

/// Sends a request for a stream; returns whether the whole stream came.
fn ask(record: &Record, front: SocketAddr, id: &str, model: &str, usage: &str) -> bool {
    let headers = [
        ("host", "site.example"),
        ("x-request-id", id),
        ("x-deadline-ms", "6000"),
        ("x-model", model),
        ("x-token-usage", usage),
    ];
    let answer = http::call(front, "POST", "/ask/x", &headers, b"{}", Duration::from_secs(7));
    match answer {
        Ok(answer) => {
            let status = answer.status();
            let retry_after = answer.header("retry-after");
            record.line(&format!("caller: {id} got {status}, retry-after {retry_after:?}"));
            status == 200 && answer.text().contains("id: 17\n")
        }
        Err(error) => {
            record.line(&format!("caller: {id} got no answer: {error}"));
            false
        }
    }
}
