//! LOST: an entry host gets SIGTERM while clients on slow links still receive answers.

use crate::{
    Verdict,
    http::Connection,
    server::{Plan, Server},
    socket,
    stage::{Record, SITE, Stage},
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Clients that receive an answer while the host stops.
const CLIENTS: usize = 3;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 3_500_000;
/// Bytes a second of a client's link.
const LINK_BYTES_PER_S: usize = 520_000;
/// Segment size on the clients' links, as on Ethernet.
const SEGMENT_BYTES: i32 = 1400;
/// Receive buffer of a client.
const RECEIVE_BUFFER_BYTES: i32 = 32 << 10;
/// Bytes that a client reads at once.
const READ_BYTES: usize = 16000;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"browse","Host":"site.example",
"PathPrefix":"/browse/","Kind":"safe","Service":"catalogue","TimeoutMs":10000,
"TargetLatencyMs":5000,"Priority":2,"MaxAttempts":1}],
"Services":[{"Name":"catalogue","HealthPath":"/health","MaxConns":100}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Ok(mut stage) = Stage::new(record) else { return Verdict::NotRun };
    stage.configure(CONFIG);
    let plan = Plan {
        id: "catalogue-1".to_owned(),
        service: "catalogue".to_owned(),
        zone: "surabaya".to_owned(),
        address: SocketAddr::new(stage.ip(2), 9000),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(30),
        body_bytes: ANSWER_BYTES,
    };
    let _server = Server::start(&stage.store, record, plan);
    thread::sleep(Duration::from_millis(500));
    for (number, zone) in [(1, "surabaya"), (2, "semarang"), (3, "bandung")] {
        stage.start_host(number, zone);
    }
    for number in 1..=3 {
        if !stage.wait_ready(number, Duration::from_secs(20)) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(4));
    let address = stage.caller_address(1);
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let record = record.clone();
            // The server's answer to one arrives before the next one sends its request.
            thread::sleep(Duration::from_millis(300));
            thread::spawn(move || receive(number, address, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        record.say("host 1 gets SIGTERM (planned work)");
        stage.signal(1, "TERM");
        let stopped_at = Instant::now();
        stage.wait_end(1);
        record.say(&format!(
            "host 1 ended {:.2} s after SIGTERM; GraceS is 8",
            stopped_at.elapsed().as_secs_f64()
        ));
    }
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    let sent = results.iter().flatten().count();
    let cut = results.iter().flatten().filter(|bytes| **bytes < ANSWER_BYTES).count();
    record.say(&format!("{cut} of {sent} answers that had begun were cut off"));
    if sent < CLIENTS {
        return Verdict::NotRun;
    }
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request and receives its answer at the speed of the link. Returns the bytes of the body
/// that arrived, `None` if no successful answer began.
fn receive(number: usize, address: SocketAddr, record: &Record) -> Option<usize> {
    let stream = socket::open(address, SEGMENT_BYTES, RECEIVE_BUFFER_BYTES).ok()?;
    let sent_at = Instant::now();
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /browse/x HTTP/1.1\r\nHost: {SITE}\r\nX-Request-Id: slow-{number}\r\n\
         X-Deadline-Ms: 10000\r\n\r\n"
    );
    connection.write(request.as_bytes()).ok()?;
    let head = connection.read_head().ok().flatten()?;
    let length: usize = head.get("content-length")?.parse().ok()?;
    record.line(&format!("client {number}: {}, {length} bytes stated", head.line));
    if head.word(1) != "200" || length != ANSWER_BYTES {
        return None;
    }
    let began_at = Instant::now();
    let mut received = 0;
    let mut how = "whole".to_owned();
    while received < length {
        match connection.read_some(READ_BYTES) {
            Ok(bytes) if bytes.is_empty() => {
                how = "the connection ended".to_owned();
                break;
            }
            Ok(bytes) => received += bytes.len(),
            Err(error) => {
                how = error.to_string();
                break;
            }
        }
        let due = Duration::from_secs_f64(received as f64 / LINK_BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(began_at.elapsed()));
    }
    record.line(&format!(
        "client {number}: {received} of {length} bytes after {:.2} s: {how}",
        sent_at.elapsed().as_secs_f64()
    ));
    Some(received)
}
