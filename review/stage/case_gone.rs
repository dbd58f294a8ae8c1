//! DRAIN: a server leaves, and the store returns from a copy that still lists it.

use crate::{
    Verdict, http,
    server::{Plan, Server},
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];
/// Time for which a leaving server may get requests (`DrainMs`).
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// `ContactMs`.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Three heartbeat intervals, after which the store removes a silent server's entry.
const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// Time from the store's return to the end of the server that has left.
const END_AFTER: Duration = Duration::from_millis(3400);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Requests a second that clients send to each host.
const SENT_PER_S: f64 = 30.0;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"loan","Host":"site.example",
"PathPrefix":"/loan/","Kind":"unsafe","Service":"catalogue","TimeoutMs":1500,
"TargetLatencyMs":150,"Priority":2,"MaxAttempts":1}],
"Services":[{"Name":"catalogue","HealthPath":"/health","MaxConns":100}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let servers: Vec<Server> = (1..=3)
        .map(|number| {
            let plan = Plan {
                id: format!("catalogue-{number}"),
                service: "catalogue".to_owned(),
                zone: ZONES[usize::from(number) - 1].to_owned(),
                address: SocketAddr::new(stage.ip(1 + number), 9000),
                slots: 6,
                queue: 24,
                work: Duration::from_millis(100),
                body_bytes: 800,
            };
            Server::start(&stage.store, record, plan)
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    for number in 1..=3 {
        stage.start_host(number, ZONES[usize::from(number) - 1]);
    }
    for number in 1..=3 {
        if !stage.wait_ready(number, Duration::from_secs(20)) {
            return Verdict::NotRun;
        }
    }
    let is_sending = Arc::new(AtomicBool::new(true));
    let failed = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = (1..=3)
        .map(|number| {
            let (address, record) = (stage.caller_address(number), record.clone());
            let (is_sending, failed) = (Arc::clone(&is_sending), Arc::clone(&failed));
            thread::spawn(move || send(number, address, &record, &is_sending, &failed))
        })
        .collect();
    thread::sleep(Duration::from_secs(12));
    let leaving = &servers[2];
    record.say(
        "catalogue-3 leaves; the store has removed its entry, and it serves for some seconds more",
    );
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    leaving.leave(&stage.store);
    let left_at = Instant::now();
    thread::sleep(DRAIN_TIME + Duration::from_secs(2));
    let mut returned_at = Instant::now();
    if has_trouble {
        let age = copied_at.elapsed().as_secs_f64();
        record.say(&format!(
            "the store is away for {} s and returns from a copy that is {age:.1} s old",
            AWAY.as_secs_f64()
        ));
        stage.store.return_to(copied_at, AWAY);
        thread::sleep(AWAY);
        returned_at = Instant::now();
        record.line(&format!(
            "the store is back with the servers {:?}",
            stage.store.names("servers")
        ));
        thread::sleep(END_AFTER);
        leaving.end();
        thread::sleep(LAPSE_TIME - END_AFTER);
        stage.store.remove("servers", "catalogue-3");
        record.line("the entry of catalogue-3 lapses, as it is silent");
    } else {
        thread::sleep(AWAY + LAPSE_TIME);
    }
    thread::sleep(Duration::from_secs(2));
    is_sending.store(false, Ordering::Relaxed);
    for sender in senders {
        let _ended = sender.join();
    }
    let arrivals = leaving.arrivals();
    let before = arrivals.iter().filter(|arrival| arrival.at < left_at).count();
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.at > left_at + DRAIN_TIME).collect();
    let in_touch = late.iter().filter(|arrival| arrival.at > returned_at + CONTACT_TIME).count();
    record.say(&format!(
        "requests at catalogue-3: {before} before it left, {} later than DrainMs after that, of these {in_touch} later than ContactMs after the store's return",
        late.len()
    ));
    let failed = failed.lock().unwrap();
    let lost = late.iter().filter(|arrival| failed.contains(&arrival.request)).count();
    record.say(&format!("of the late ones {lost} ran there and were lost when it ended"));
    if before == 0 {
        return Verdict::NotRun;
    }
    if in_touch > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests at a steady rate, each on a thread of its own.
fn send(
    host: u8,
    address: SocketAddr,
    record: &Record,
    is_sending: &AtomicBool,
    failed: &Arc<Mutex<Vec<String>>>,
) {
    let mut number = 0;
    let mut next_at = Instant::now();
    let mut threads = Vec::new();
    while is_sending.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("h{host}-{number}");
        let (record, failed) = (record.clone(), Arc::clone(failed));
        threads.push(thread::spawn(move || {
            let headers = format!("Host: {SITE}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
            let wait = Duration::from_millis(2500);
            let answer = http::call(address, "POST", "/loan/x", &headers, b"loan", wait);
            record.line(&format!("host {host} answers {id} with {}", answer.status));
            if matches!(answer.status, 0 | 502 | 504) {
                failed.lock().unwrap().push(id);
            }
        }));
        next_at += Duration::from_secs_f64(1.0 / SENT_PER_S);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        let _ended = thread.join();
    }
}
