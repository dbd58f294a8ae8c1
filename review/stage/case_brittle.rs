//! LIMIT: brittle servers, and many users at once.

use crate::{
    Verdict, http,
    server::{Plan, Server},
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];
/// Hosts, as in the site file.
const HOSTS: u8 = 7;
const SERVERS: u8 = 3;
/// Requests that a server has to turn away in a second before it falls over.
const BRITTLE: usize = 4;
/// Requests a second of all clients.
const USUAL_PER_S: f64 = 250.0;
/// Factor and length of a burst; the site file names 2.4 and 4.5 s for one kind of request.
const BURST: f64 = 2.4;
const BURST_TIME: Duration = Duration::from_millis(4500);
/// Bursts while the servers are brittle, and the time from one to the next.
const BURSTS: u32 = 3;
const BURST_INTERVAL: Duration = Duration::from_secs(11);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"loan","Host":"site.example",
"PathPrefix":"/loan/","Kind":"unsafe","Service":"catalogue","TimeoutMs":1500,
"TargetLatencyMs":150,"Priority":2,"MaxAttempts":2}],
"Services":[{"Name":"catalogue","HealthPath":"/health","MaxConns":100}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|number| {
            let plan = Plan {
                id: format!("catalogue-{number}"),
                service: "catalogue".to_owned(),
                zone: ZONES[usize::from(number) - 1].to_owned(),
                address: SocketAddr::new(stage.ip(1 + number), 9000),
                slots: 6,
                queue: 24,
                work: Duration::from_millis(30),
                body_bytes: 800,
            };
            Server::start(&stage.store, record, plan)
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    for number in 1..=HOSTS {
        stage.start_host(number, ZONES[usize::from(number) % 3]);
    }
    for number in 1..=HOSTS {
        if !stage.wait_ready(number, Duration::from_secs(20)) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(4));
    let is_sending = Arc::new(AtomicBool::new(true));
    let factor = Arc::new(Mutex::new(1.0));
    let counts = Arc::new([const { AtomicU32::new(0) }; 4]);
    let senders: Vec<_> = (1..=HOSTS)
        .map(|number| {
            let (address, record) = (stage.caller_address(number), record.clone());
            let (is_sending, counts) = (Arc::clone(&is_sending), Arc::clone(&counts));
            let factor = Arc::clone(&factor);
            thread::spawn(move || send(number, address, &record, &is_sending, &factor, &counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    record.say(&format!("the servers say that they are brittle: {BRITTLE} a second"));
    for server in &servers {
        server.be_brittle(Some(BRITTLE));
    }
    thread::sleep(Duration::from_secs(6));
    for _ in 0..BURSTS {
        if has_trouble {
            record.say(&format!(
                "{BURST} times as many users come for {} s",
                BURST_TIME.as_secs_f64()
            ));
            *factor.lock().unwrap() = BURST;
        }
        thread::sleep(BURST_TIME);
        *factor.lock().unwrap() = 1.0;
        thread::sleep(BURST_INTERVAL - BURST_TIME);
    }
    for server in &servers {
        server.be_brittle(None);
    }
    is_sending.store(false, Ordering::Relaxed);
    for sender in senders {
        let _ended = sender.join();
    }
    let falls: usize = servers.iter().map(|server| server.falls().len()).sum();
    let [ok, refused, other, _] = &*counts;
    record.say(&format!(
        "answers: {} with 200, {} with 503, {} others",
        ok.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        other.load(Ordering::Relaxed)
    ));
    let allowed = 2.0 + f64::from(SERVERS) / 10.0;
    record.say(&format!("servers fell over {falls} times; allowed: {allowed}"));
    if falls as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests of many users at random times.
fn send(
    host: u8,
    address: SocketAddr,
    record: &Record,
    is_sending: &AtomicBool,
    factor: &Mutex<f64>,
    counts: &Arc<[AtomicU32; 4]>,
) {
    let mut number = 0;
    let mut seed = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(host) + 1);
    let mut next_at = Instant::now();
    let mut threads = Vec::new();
    while is_sending.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("h{host}-{number}");
        let (record, counts) = (record.clone(), Arc::clone(counts));
        threads.push(thread::spawn(move || {
            let headers = format!("Host: {SITE}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
            let wait = Duration::from_millis(2500);
            let answer = http::call(address, "POST", "/loan/x", &headers, b"loan", wait);
            record.line(&format!("host {host} answers {id} with {}", answer.status));
            let index = match answer.status {
                200 => 0,
                503 => 1,
                _ => 2,
            };
            counts[index].fetch_add(1, Ordering::Relaxed);
        }));
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        let uniform = ((seed >> 11) as f64 / (1_u64 << 53) as f64).max(1e-9);
        let rate = USUAL_PER_S / f64::from(HOSTS) * *factor.lock().unwrap();
        next_at += Duration::from_secs_f64(-uniform.ln() / rate);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        let _ended = thread.join();
    }
}
