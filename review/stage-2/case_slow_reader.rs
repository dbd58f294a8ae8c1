//! A caller reads a long answer of a plain service slowly, while its host is stopped as planned.

use crate::{
    feed::Feed,
    http,
    site::{CannotRun, Record, Site, Verdict},
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Length of an answer.
const ANSWER_BYTES: usize = 1_200_000;
/// Bytes that a caller reads at a time, and the pause after that: the answer takes 6 s.
const READ_BYTES: usize = 40_000;
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Time without any disruption before the requests.
const CALM: Duration = Duration::from_millis(4_000);
/// Time from the requests to SIGTERM.
const UNTIL_STOP: Duration = Duration::from_millis(500);
/// Requests, each on a connection of its own.
const REQUESTS: usize = 3;
const DEADLINE_MS: &str = "15000";

/// Runs the case.
pub fn run(repository: &Path, record: Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let mut site = Site::open(repository, record.clone())?;
    let feed = Feed::start(&site, "feed1", 31, Duration::ZERO, vec![b'a'; ANSWER_BYTES])?;
    site.create("servers", "feed1", &feed.entry())?;
    site.create("config", "main", CONFIG)?;
    site.start_hosts(3)?;
    thread::sleep(CALM);
    let front = site.hosts[0].front;
    let calls: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read_slowly(&record, front, &format!("slow-{number}")))
        })
        .collect();
    if has_trouble {
        thread::sleep(UNTIL_STOP);
        record.line("SIGTERM to host1");
        site.hosts[0].signal("TERM");
        let record = record.clone();
        let stopped_at = Instant::now();
        if let Some(process) = &mut site.hosts[0].process {
            while !process.has_ended() && stopped_at.elapsed() < Duration::from_secs(8) {
                thread::sleep(Duration::from_millis(10));
            }
            let after_ms = stopped_at.elapsed().as_millis();
            record.line(&format!("the process of host1 ended {after_ms} ms after SIGTERM"));
        }
    }
    let whole = calls.into_iter().map(|call| call.join().unwrap_or(false));
    let whole = whole.filter(|is_whole| *is_whole).count();
    record.line(&format!("{whole} of {REQUESTS} answers were complete"));
    Ok(if whole == REQUESTS { Verdict::Held } else { Verdict::Broken })
}

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"post","Host":"site.example",
"PathPrefix":"/post/","Kind":"unsafe","Service":"feed","TimeoutMs":15000,"TargetLatencyMs":1000,
"Priority":0,"MaxAttempts":1}],"Services":[{"Name":"feed","HealthPath":"/health","MaxConns":100}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Sends a request and reads its answer a part at a time; returns whether it was complete.
fn read_slowly(record: &Record, front: SocketAddr, id: &str) -> bool {
    let headers = [("host", "site.example"), ("x-request-id", id), ("x-deadline-ms", DEADLINE_MS)];
    let Ok(mut stream) = TcpStream::connect(front) else { return false };
    let _timeout = stream.set_read_timeout(Some(Duration::from_secs(15)));
    if stream.write_all(&http::request_bytes("POST", "/post/x", &headers, b"order")).is_err() {
        return false;
    }
    record.line(&format!("caller sent {id}"));
    let sent_at = Instant::now();
    let mut rest = Vec::new();
    let Ok(Some(head)) = http::read_head(&mut stream, &mut rest) else {
        record.line(&format!("caller got no answer to {id}"));
        return false;
    };
    record.line(&format!("caller reads {id}: {}", head.first_line));
    let mut part = vec![0; READ_BYTES];
    let mut count = rest.len();
    let end = loop {
        if count >= ANSWER_BYTES {
            break "complete".to_owned();
        }
        match stream.read(&mut part) {
            Ok(0) => break "connection closed".to_owned(),
            Ok(read) => count += read,
            Err(error) => break format!("{error}"),
        }
        thread::sleep(READ_PAUSE);
    };
    let after_ms = sent_at.elapsed().as_millis();
    record.line(&format!(
        "caller read {count} of {ANSWER_BYTES} bytes of {id} in {after_ms} ms: {end}"
    ));
    head.status() == 200 && count == ANSWER_BYTES
}
