//! LOST: many clients send bodies within the configured limit at once, and the process exceeds its memory.

use crate::{
    Verdict,
    http::Connection,
    server::{Plan, Server},
    stage::{Record, SITE, Stage},
};
use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];
/// `MemoryMb`, beyond which the platform kills a process, in KiB.
const MEMORY_KIB: u64 = 260 << 10;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Length of a body; the configuration allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Bytes a second of a client's link.
const LINK_BYTES_PER_S: f64 = 950_000.0;
/// Requests a second that each host gets.
const USUAL_PER_S: f64 = 9.5;
/// Factor and length of the burst; the site file names 2.4 and 4.5 s for one kind of request.
const BURST: f64 = 2.4;
const BURST_TIME: Duration = Duration::from_millis(4500);
/// Requests that may be closed without an answer.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"loan","Host":"site.example",
"PathPrefix":"/loan/","Kind":"unsafe","Service":"catalogue","TimeoutMs":8000,
"TargetLatencyMs":4000,"Priority":2,"MaxAttempts":1}],
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
                work: Duration::from_millis(200),
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
    thread::sleep(Duration::from_secs(4));
    let is_sending = Arc::new(AtomicBool::new(true));
    let factor = Arc::new(Mutex::new(1.0));
    let unanswered = Arc::new(Mutex::new(BTreeSet::new()));
    let senders: Vec<_> = (1..=3)
        .map(|number| {
            let (address, record) = (stage.caller_address(number), record.clone());
            let (is_sending, factor) = (Arc::clone(&is_sending), Arc::clone(&factor));
            let unanswered = Arc::clone(&unanswered);
            thread::spawn(move || send(number, address, &record, &is_sending, &factor, &unanswered))
        })
        .collect();
    let kills = watch(&mut stage, record, Duration::from_secs(8));
    if has_trouble {
        record.say(&format!("{BURST} times as many users come for {} s", BURST_TIME.as_secs_f64()));
        *factor.lock().unwrap() = BURST;
    }
    let kills = kills + watch(&mut stage, record, BURST_TIME);
    *factor.lock().unwrap() = 1.0;
    let kills = kills + watch(&mut stage, record, Duration::from_secs(6));
    is_sending.store(false, Ordering::Relaxed);
    for sender in senders {
        let _ended = sender.join();
    }
    let passed_on: BTreeSet<String> =
        servers.iter().flat_map(Server::arrivals).map(|arrival| arrival.request).collect();
    let lost = unanswered.lock().unwrap().intersection(&passed_on).count();
    let peaks = stage.peaks_kib.iter().map(|kib| kib >> 10).collect::<Vec<_>>();
    record.say(&format!(
        "memory of the hosts at most: {peaks:?} MiB; {kills} times a process exceeded 260"
    ));
    record.say(&format!(
        "{lost} requests of kept connections were passed on to a server, and their connections closed without an answer; allowed: {ALLOWED}"
    ));
    if passed_on.is_empty() {
        return Verdict::NotRun;
    }
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Plays the platform for some time: kills processes that exceed their memory and starts them again.
/// Returns how often.
fn watch(stage: &mut Stage, record: &Record, time: Duration) -> usize {
    let until = Instant::now() + time;
    let (mut kills, mut restarts) = (0, Vec::new());
    while Instant::now() < until || !restarts.is_empty() {
        for number in 1..=3 {
            if stage.memory_kib(number) > MEMORY_KIB {
                record.say(&format!("the process of host {number} exceeds 260 MiB and is killed"));
                stage.signal(number, "KILL");
                stage.wait_end(number);
                kills += 1;
                restarts.push((Instant::now() + RESTART_DELAY, number));
            }
        }
        let due: Vec<u8> =
            restarts.iter().filter(|(at, _)| Instant::now() >= *at).map(|(_, n)| *n).collect();
        restarts.retain(|(_, number)| !due.contains(number));
        for number in due {
            stage.start_host(number, ZONES[usize::from(number) - 1]);
        }
        thread::sleep(Duration::from_millis(10));
    }
    kills
}

/// Sends requests at a steady rate, each on a connection of its own that has served another one before.
fn send(
    host: u8,
    address: SocketAddr,
    record: &Record,
    is_sending: &AtomicBool,
    factor: &Mutex<f64>,
    unanswered: &Arc<Mutex<BTreeSet<String>>>,
) {
    let (mut number, mut next_at, mut threads) = (0, Instant::now(), Vec::new());
    while is_sending.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("h{host}-{number}");
        let (record, unanswered) = (record.clone(), Arc::clone(unanswered));
        threads.push(thread::spawn(move || {
            let Some(status) = upload(&id, address) else { return };
            record.line(&format!("host {host} answers {id} with {status}"));
            if status == 0 {
                unanswered.lock().unwrap().insert(id);
            }
        }));
        next_at += Duration::from_secs_f64(1.0 / (USUAL_PER_S * *factor.lock().unwrap()));
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        let _ended = thread.join();
    }
}

/// Sends a small request and, on the same connection, a large one. Returns the status of the second
/// answer, 0 if the connection closed without one; `None` if the first had no success.
fn upload(id: &str, address: SocketAddr) -> Option<u16> {
    let mut connection = Connection::new(TcpStream::connect(address).ok()?);
    let head = |id: &str, length: usize| {
        format!(
            "POST /loan/x HTTP/1.1\r\nHost: {SITE}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    connection.write((head(&format!("{id}-first"), 4) + "loan").as_bytes()).ok()?;
    let answer = connection.read_head().ok().flatten()?;
    connection.read_body(&answer, false).ok()?;
    if answer.word(1) != "200" {
        return None;
    }
    connection.write(head(id, BODY_BYTES).as_bytes()).ok()?;
    let (began_at, part, mut sent) = (Instant::now(), vec![b'l'; 20_000], 0);
    while sent < BODY_BYTES {
        if connection.write(&part).is_err() {
            return Some(0);
        }
        sent += part.len();
        let due = Duration::from_secs_f64(sent as f64 / LINK_BYTES_PER_S);
        thread::sleep(due.saturating_sub(began_at.elapsed()));
    }
    let answer = connection.read_head().ok().flatten();
    Some(answer.and_then(|head| head.word(1).parse().ok()).unwrap_or(0))
}
