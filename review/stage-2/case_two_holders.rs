//! The holder of a server's lease stands still until the lease lapses and another host has taken the
//! server over. Then the store returns from an older copy, and the first holder goes on.

use crate::{
    engine::{Engine, EngineShape, Order},
    http,
    site::{CannotRun, Record, Site, Verdict},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time without any disruption, after which each host owns a server.
const CALM: Duration = Duration::from_millis(9_000);
/// Time of traffic before the freeze and after it.
const TRAFFIC: Duration = Duration::from_millis(3_000);
const TRAFFIC_AFTER: Duration = Duration::from_millis(6_000);
/// Longest time until another host takes the server over, and orders it.
const MAX_TAKEOVER: Duration = Duration::from_millis(45_000);
/// Time for which the store is away, and by how much its copy is older.
const AWAY_MS: u64 = 300;
const COPY_AGE_MS: u64 = 5_000;
/// Longest time from the order of the new holder to the return of the store.
const UNTIL_RETURN: Duration = Duration::from_millis(300);
/// Bounds of the rule.
const LEASE: Duration = Duration::from_millis(3_000);
const THAW_SLACK: Duration = Duration::from_millis(300);
/// Callers, each with one request at a time.
const CALLERS: usize = 10;
const ADAPTERS: usize = 40;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"ask","Host":"site.example",
"PathPrefix":"/ask/","Kind":"streaming","Service":"lm","TimeoutMs":6000,"TargetLatencyMs":600,
"GapAimMs":400,"Priority":0,"MaxAttempts":1}],
"Services":[{"Name":"lm","HealthPath":"/health","MaxConns":370,"Engine":{"Slots":64,"WeightsMb":75000,
"AdapterSlots":6,"LoadsPerS":2,"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":4.3,"AdapterMb":66,
"Adapters":100}]}}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

/// Runs the case.
pub fn run(repository: &Path, record: Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let mut site = Site::open(repository, record.clone())?;
    let engines: Vec<_> = (21..=23).map(|last| join(&site, last)).collect::<Result<_, _>>()?;
    site.create("config", "main", CONFIG)?;
    site.start_hosts(3)?;
    thread::sleep(CALM);
    let is_over = Arc::new(AtomicBool::new(false));
    for caller in 0..CALLERS {
        let front = site.hosts[1 + caller % 2].front;
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || send(caller, front, &is_over));
    }
    thread::sleep(TRAFFIC);
    let mut thawed_at = Instant::now();
    if has_trouble {
        let first = engines[0].orders().last().map(|order| order.holder.clone());
        if first.as_deref() != Some("host1") {
            return Err(format!("host1 does not order lm21, but {first:?}"));
        }
        record.line("host1 stands still (SIGSTOP)");
        site.hosts[0].signal("STOP");
        wait_for_other_holder(&engines[0])?;
        thread::sleep(UNTIL_RETURN);
        let path = format!("/_return?AwayMs={AWAY_MS}&AgeMs={COPY_AGE_MS}");
        let answer = http::call(site.store, "POST", &path, &[], b"", CALL_TIMEOUT);
        answer.map_err(|error| format!("the store does not return: {error}"))?;
        record.line("the store is away for 300 ms and returns from a copy that is 5 s old");
        thread::sleep(Duration::from_millis(AWAY_MS));
        for (last, engine) in (21..).zip(&engines) {
            site.replace("servers", &format!("lm{last}"), &engine.entry("ready"))?;
        }
        site.hosts[0].signal("CONT");
        thawed_at = Instant::now();
        record.line("the store is back, the servers have written their entries, host1 goes on");
    }
    thread::sleep(TRAFFIC_AFTER);
    is_over.store(true, Ordering::Relaxed);
    let is_counted = |order: &Order| {
        order.holder != "host1" || !(thawed_at..thawed_at + THAW_SLACK).contains(&order.at)
    };
    let mut turns = 0;
    for (last, engine) in (21..).zip(&engines) {
        let orders: Vec<Order> = engine.orders().into_iter().filter(is_counted).collect();
        for pair in orders.windows(2) {
            let pause = pair[1].at.duration_since(pair[0].at);
            if pair[0].holder != pair[1].holder && pause < LEASE {
                turns += 1;
                record.line(&format!(
                    "lm{last} got an order of {} with fence {}, {} ms after one of {} with fence {}",
                    pair[1].holder,
                    pair[1].fence,
                    pause.as_millis(),
                    pair[0].holder,
                    pair[0].fence
                ));
            }
        }
    }
    record.line(&format!("{turns} times holders took turns within LeaseMs"));
    Ok(if turns == 0 { Verdict::Held } else { Verdict::Broken })
}

fn join(site: &Site, last: u8) -> Result<Arc<Engine>, CannotRun> {
    let shape = EngineShape {
        id: format!("lm{last}"),
        zone: format!("here-{}", (b'a' + (last - 21) % 3) as char),
        software: "v1".to_owned(),
        last,
        model: "m0".to_owned(),
        adapters: vec!["a1".to_owned()],
        adapter_slots: 6,
        events: 5,
        event_gap: Duration::from_millis(5),
    };
    let engine = Engine::start(site, shape)?;
    site.create("servers", &format!("lm{last}"), &engine.entry("ready"))?;
    Ok(engine)
}

/// Waits until another host than host1 has ordered a server.
fn wait_for_other_holder(engine: &Engine) -> Result<(), CannotRun> {
    let started_at = Instant::now();
    while started_at.elapsed() < MAX_TAKEOVER {
        if engine.orders().last().is_some_and(|order| order.holder != "host1") {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err("no host took the server over".to_owned())
}

/// Sends one request after another, for one adapter after another.
fn send(caller: usize, front: SocketAddr, is_over: &AtomicBool) {
    let mut number = caller;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("ask-{caller}-{number}");
        let model = format!("m0/a{}", 1 + (number * 7 + caller * 3) % ADAPTERS);
        let headers = [
            ("host", "site.example"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "4000"),
            ("x-model", model.as_str()),
            ("x-token-usage", "100,20"),
        ];
        let _answer = http::call(front, "POST", "/ask/x", &headers, b"{}", CALL_TIMEOUT);
        thread::sleep(Duration::from_millis(25));
    }
}
