//! LIMIT: the store returns from an older copy just after the system's first start, then one entry
//! host is restarted; later a server names a limit.

use crate::{
    Verdict, http,
    server::{Plan, Server},
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];
/// Limit that the server names, in requests a second.
const LIMIT_PER_S: f64 = 40.0;
/// Requests a second that clients send to each host.
const SENT_PER_S: f64 = 100.0;
/// Time from which the limit counts (`ContactMs`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which the server names its limit.
const LIMITED_TIME: Duration = Duration::from_secs(18);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"browse","Host":"site.example",
"PathPrefix":"/browse/","Kind":"safe","Service":"catalogue","TimeoutMs":1500,
"TargetLatencyMs":150,"Priority":0,"MaxAttempts":1}],
"Services":[{"Name":"catalogue","HealthPath":"/health","MaxConns":100}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let plan = Plan {
        id: "catalogue-1".to_owned(),
        service: "catalogue".to_owned(),
        zone: ZONES[0].to_owned(),
        address: SocketAddr::new(stage.ip(2), 9000),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(30),
        body_bytes: 800,
    };
    let server = Server::start(&stage.store, record, plan);
    thread::sleep(Duration::from_millis(500));
    let before_start = Instant::now();
    for number in 1..=3 {
        stage.start_host(number, ZONES[usize::from(number) - 1]);
    }
    for number in 1..=3 {
        if !stage.wait_ready(number, Duration::from_secs(20)) {
            return Verdict::NotRun;
        }
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while (1..=3).any(|number| stage.resolve(number) < 3) {
        if Instant::now() > deadline {
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        let age = before_start.elapsed();
        record.say(&format!(
            "the store is away for 1 s and returns from a copy that is {:.1} s old",
            age.as_secs_f64()
        ));
        record.line(&format!(
            "objects of the hosts before: {:?} {:?}",
            stage.store.names("rail-keys"),
            stage.store.names("rail-hosts")
        ));
        stage.store.return_to(before_start, Duration::from_secs(1));
        thread::sleep(Duration::from_millis(1300));
        stage.configure(CONFIG);
    }
    thread::sleep(Duration::from_secs(8));
    record.say("host 3 gets SIGTERM and is started again (planned work)");
    stage.signal(3, "TERM");
    stage.wait_end(3);
    thread::sleep(Duration::from_millis(500));
    stage.start_host(3, ZONES[2]);
    if !stage.wait_ready(3, Duration::from_secs(20)) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(36));
    let named = [1, 2, 3].map(|number| stage.resolve(number));
    record.line(&format!("hosts that each host names to clients: {named:?}"));
    record.line(&format!(
        "objects of the hosts: {:?} {:?}",
        stage.store.names("rail-keys"),
        stage.store.names("rail-hosts")
    ));

    let is_sending = Arc::new(AtomicBool::new(true));
    let counts = Arc::new([const { AtomicU32::new(0) }; 4]);
    let senders: Vec<_> = (1..=3)
        .map(|number| {
            let (address, record) = (stage.caller_address(number), record.clone());
            let (is_sending, counts) = (Arc::clone(&is_sending), Arc::clone(&counts));
            thread::spawn(move || send(number, address, &record, &is_sending, &counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let limited_at = Instant::now();
    record.say(&format!("the server names a limit of {LIMIT_PER_S} requests a second"));
    server.name_limit(Some(LIMIT_PER_S));
    thread::sleep(LIMITED_TIME);
    is_sending.store(false, Ordering::Relaxed);
    for sender in senders {
        let _ended = sender.join();
    }
    let ended = stage.ended_hosts();
    if !ended.is_empty() {
        record.say(&format!("processes that ended by themselves: {ended:?}"));
    }
    let from = limited_at + CONTACT_TIME;
    let arrivals = server.arrivals();
    let limited: Vec<Instant> =
        arrivals.iter().map(|arrival| arrival.at).filter(|at| *at >= from).collect();
    let most = limited
        .iter()
        .map(|start| limited.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count())
        .max()
        .unwrap_or(0);
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
    let [ok, refused, other, _] = &*counts;
    record.say(&format!(
        "answers: {} with 200, {} with 503, {} others",
        ok.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        other.load(Ordering::Relaxed)
    ));
    record.say(&format!("most requests at the server in 4 s: {most}; allowed: {allowed}"));
    if limited.is_empty() {
        return Verdict::NotRun;
    }
    if most as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests at a steady rate, each on a thread of its own.
fn send(
    host: u8,
    address: SocketAddr,
    record: &Record,
    is_sending: &AtomicBool,
    counts: &Arc<[AtomicU32; 4]>,
) {
    let mut number = 0;
    let mut next_at = Instant::now();
    let mut threads = Vec::new();
    while is_sending.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("h{host}-{number}");
        let (record, counts) = (record.clone(), Arc::clone(counts));
        threads.push(thread::spawn(move || {
            let headers = format!("Host: {SITE}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
            let wait = Duration::from_millis(2500);
            let answer = http::call(address, "GET", "/browse/x", &headers, b"", wait);
            record.line(&format!("host {host} answers {id} with {}", answer.status));
            let index = match answer.status {
                200 => 0,
                503 => 1,
                _ => 2,
            };
            counts[index].fetch_add(1, Ordering::Relaxed);
        }));
        next_at += Duration::from_secs_f64(1.0 / SENT_PER_S);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        let _ended = thread.join();
    }
}
