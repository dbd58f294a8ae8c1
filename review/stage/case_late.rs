//! LIMIT: orders that a server left unanswered are carried out after it has crashed and started again
//! under its id.

use crate::{
    Verdict,
    engine::{Engine, MODEL},
    http,
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Adapter slots of a server.
const ADAPTER_SLOTS: usize = 8;
/// Adapters that all hosts place at the first server, by its name. The first one is used least.
const ADAPTERS: [&str; ADAPTER_SLOTS] = ["a6", "a8", "a9", "a13", "a18", "a20", "a21", "a22"];
/// A further one.
const FURTHER_ADAPTER: &str = "a23";
/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_millis(2500);
const ZONES: [&str; 3] = ["surabaya", "semarang", "bandung"];

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"ask","Host":"site.example",
"PathPrefix":"/ask/","Kind":"unsafe","Service":"models","TimeoutMs":9000,
"TargetLatencyMs":1000,"Priority":0,"MaxAttempts":1}],
"Services":[{"Name":"models","HealthPath":"/health","MaxConns":360,"Engine":{"Slots":64,
"WeightsMb":75000,"AdapterSlots":8,"LoadsPerS":9.4,
"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":0.81,"Adapters":3000,"AdapterMb":66}]}}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let engines: Vec<Engine> = (1..=4)
        .map(|number| {
            let address = SocketAddr::new(stage.ip(1 + number), 9000);
            let zone = ZONES[usize::from(number) % 3];
            let (id, work) = (format!("model-{number}"), Duration::from_millis(60));
            let engine = Engine::start(&stage.store, record, &id, zone, address, work);
            engine.limit_slots(ADAPTER_SLOTS);
            engine
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
    thread::sleep(Duration::from_secs(5));
    let address = stage.caller_address(1);
    let server = &engines[0];
    ask(address, record, ADAPTERS[0], "x");
    for adapter in &ADAPTERS[1..] {
        ask(address, record, adapter, "x");
        ask(address, record, adapter, "x");
    }
    if !holds_all(server, record) {
        return Verdict::NotRun;
    }
    let begun_at = Instant::now();
    if has_trouble {
        record.say("model-1 leaves two orders unanswered, and carries them out 11.5 s later");
        server.carry_out_late(&[ADAPTERS[0], FURTHER_ADAPTER]);
    }
    ask(address, record, FURTHER_ADAPTER, "x");
    wait_until(begun_at, 1.2);
    if has_trouble {
        record.say("model-1 crashes and starts again under its id");
        server.crash(DOWN);
        wait_until(begun_at, 4.7);
        for adapter in ADAPTERS {
            ask(address, record, adapter, "x");
        }
        if !holds_all(server, record) {
            return Verdict::NotRun;
        }
    }
    wait_until(begun_at, 9.5);
    // A request that runs while the orders come.
    let adapter = if has_trouble { ADAPTERS[0] } else { ADAPTERS[1] };
    let status = ask(address, record, adapter, "long");
    wait_until(begun_at, 18.5);
    let overruns = server.overruns();
    record.say(&format!(
        "{overruns} loads beyond the {ADAPTER_SLOTS} places of model-1 were carried out; the request that ran there was answered {status}"
    ));
    if overruns > 0 { Verdict::Broken } else { Verdict::Held }
}

fn wait_until(begun_at: Instant, time_s: f64) {
    thread::sleep(Duration::from_secs_f64(time_s).saturating_sub(begun_at.elapsed()));
}

/// Returns whether a server holds all adapters, after one order for each.
fn holds_all(server: &Engine, record: &Record) -> bool {
    let (accepted, adapters) = server.holds();
    record.say(&format!("{} has accepted {accepted} orders and holds {adapters:?}", server.id));
    accepted == ADAPTER_SLOTS as u64 && adapters.len() == ADAPTER_SLOTS
}

/// Sends a request for an adapter, again after a promise that it has not run, and returns the status.
fn ask(address: SocketAddr, record: &Record, adapter: &str, path: &str) -> u16 {
    for attempt in 0..3 {
        let id = format!("{adapter}-{path}-{attempt}-{}", crate::stage::unix_ms());
        let headers = format!(
            "Host: {SITE}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 9000\r\n\
             X-Model: {MODEL}/{adapter}\r\nX-Token-Usage: 100,8\r\n"
        );
        let (target, wait) = (format!("/ask/{path}"), Duration::from_secs(10));
        let answer = http::call(address, "POST", &target, &headers, b"ask", wait);
        record.line(&format!("host 1 answers {id} with {}", answer.status));
        if answer.status != 503 {
            return answer.status;
        }
        thread::sleep(Duration::from_millis(300));
    }
    503
}
