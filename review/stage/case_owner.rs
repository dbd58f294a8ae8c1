//! ONE: the store returns from an older copy just after the system's first start and turns one entry
//! host away, and the other entry hosts are killed.

use crate::{
    Verdict,
    engine::{Engine, MODEL, Order},
    http,
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];
/// `LeaseMs`.
const LEASE: Duration = Duration::from_secs(3);
/// Time for which the store is away before it returns.
const AWAY: Duration = Duration::from_secs(1);
/// Time for which the store answers host 1 nothing; the site file names 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(8900);
const ADAPTERS: u32 = 60;
/// Time that a request takes at a server.
const WORK: Duration = Duration::from_millis(60);
/// Time after a link has healed in which orders don't count (`ThawSlackMs`).
const HEAL_SLACK: Duration = Duration::from_millis(300);
/// Requests a second that clients send to each host.
const SENT_PER_S: f64 = 12.0;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"ask","Host":"site.example",
"PathPrefix":"/ask/","Kind":"unsafe","Service":"models","TimeoutMs":4000,
"TargetLatencyMs":1000,"Priority":0,"MaxAttempts":1}],
"Services":[{"Name":"models","HealthPath":"/health","MaxConns":360,"Engine":{"Slots":64,
"WeightsMb":75000,"AdapterSlots":8,"LoadsPerS":9.4,
"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":0.81,"Adapters":3000,"AdapterMb":66}]}}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let engines: Vec<Engine> = (1..=2)
        .map(|number| {
            let address = SocketAddr::new(stage.ip(1 + number), 9000);
            Engine::start(&stage.store, record, &format!("model-{number}"), ZONES[0], address, WORK)
        })
        .collect();
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
    let is_sending = Arc::new(AtomicBool::new(true));
    let senders: Vec<_> = (1..=3)
        .map(|number| {
            let (address, record) = (stage.caller_address(number), record.clone());
            let is_sending = Arc::clone(&is_sending);
            thread::spawn(move || send(number, address, &record, &is_sending))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if engines.iter().all(|engine| engine.orders().is_empty()) {
        return Verdict::NotRun;
    }
    let mut healed_at = None;
    if has_trouble {
        let age = before_start.elapsed().as_secs_f64();
        record
            .say(&format!("the store answers host 1 nothing for {} s", TURNED_AWAY.as_secs_f64()));
        stage.gates[1].store(true, Ordering::Relaxed);
        let silent_at = Instant::now();
        record.say(&format!(
            "the store is away for {} s and returns from a copy that is {age:.1} s old",
            AWAY.as_secs_f64()
        ));
        stage.store.return_to(before_start, AWAY);
        thread::sleep(Duration::from_millis(500));
        record.say("hosts 2 and 3 are killed and started again");
        for number in [2, 3] {
            stage.signal(number, "KILL");
            stage.wait_end(number);
        }
        thread::sleep(Duration::from_millis(600));
        stage.configure(CONFIG);
        for number in [2, 3] {
            stage.start_host(number, ZONES[usize::from(number) - 1]);
        }
        thread::sleep(TURNED_AWAY.saturating_sub(silent_at.elapsed()));
        stage.gates[1].store(false, Ordering::Relaxed);
        healed_at = Some(Instant::now());
        record.line("the store answers host 1 again");
        thread::sleep(Duration::from_secs(8));
    } else {
        thread::sleep(Duration::from_secs(18));
    }
    is_sending.store(false, Ordering::Relaxed);
    for sender in senders {
        let _ended = sender.join();
    }
    let mut is_broken = false;
    for engine in &engines {
        let is_excused = |order: &Order| {
            healed_at.is_some_and(|at| order.at >= at && order.at < at + HEAL_SLACK)
        };
        let orders: Vec<Order> =
            engine.orders().into_iter().filter(|order| !is_excused(order)).collect();
        let (turns, lower) = faults(&orders);
        record.say(&format!(
            "{}: {} orders; {turns} from another holder within LeaseMs, {lower} with a lower fence than one before",
            engine.id, orders.len()
        ));
        is_broken |= turns + lower > 0;
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// Counts orders that follow one of another holder within `LeaseMs`, and orders with a lower fencing
/// token than one before.
fn faults(orders: &[Order]) -> (usize, usize) {
    let (mut turns, mut lower, mut highest) = (0, 0, 0);
    for pair in orders.windows(2) {
        let [before, after] = pair else { continue };
        turns += usize::from(before.holder != after.holder && after.at - before.at < LEASE);
    }
    for order in orders {
        lower += usize::from(order.fence < highest);
        highest = highest.max(order.fence);
    }
    (turns, lower)
}

/// Sends requests for adapters in turn, each on a thread of its own.
fn send(host: u8, address: SocketAddr, record: &Record, is_sending: &AtomicBool) {
    let mut number = u32::from(host) * 17;
    let mut next_at = Instant::now();
    let mut threads = Vec::new();
    while is_sending.load(Ordering::Relaxed) {
        number += 1;
        let (id, adapter) = (format!("h{host}-{number}"), number * 7 % ADAPTERS + 1);
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let headers = format!(
                "Host: {SITE}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                 X-Model: {MODEL}/a{adapter}\r\nX-Token-Usage: 100,8\r\n"
            );
            let wait = Duration::from_secs(5);
            let answer = http::call(address, "POST", "/ask/x", &headers, b"ask", wait);
            record.line(&format!("host {host} answers {id} with {}", answer.status));
        }));
        next_at += Duration::from_secs_f64(1.0 / SENT_PER_S);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        let _ended = thread.join();
    }
}
