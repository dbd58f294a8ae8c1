//! One host stands still while a server of a new software version joins. Callers take the streams
//! that they had at this host up at the other ones.

use crate::{
    engine::{Engine, EngineShape},
    http,
    site::{self, CannotRun, Record, Site, Verdict},
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Time without any disruption before the streams.
const CALM: Duration = Duration::from_millis(6_000);
/// Streams at the host that stands still.
const STREAMS: usize = 20;
/// New streams at the other hosts meanwhile.
const NEW_STREAMS: usize = 20;
const EVENTS: u64 = 25;
const EVENT_GAP: Duration = Duration::from_millis(300);
/// Time from the start of the streams to the freeze, and from that to the new version.
const UNTIL_FREEZE: Duration = Duration::from_millis(1_200);
const UNTIL_NEW_VERSION: Duration = Duration::from_millis(500);
/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Pause after which a caller abandons a stream: the longest of two seconds, four times the
/// objective and eight times the longest pause that is in time.
const ABANDON_AFTER: Duration = Duration::from_millis(3_200);
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"ask","Host":"site.example",
"PathPrefix":"/ask/","Kind":"streaming","Resumable":true,"Service":"lm","TimeoutMs":20000,
"TargetLatencyMs":600,"GapAimMs":400,"Priority":0,"MaxAttempts":2}],
"Services":[{"Name":"lm","HealthPath":"/health","MaxConns":370,"Engine":{"Slots":64,"WeightsMb":75000,
"AdapterSlots":17,"LoadsPerS":2,"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":4.3,"AdapterMb":66,
"Adapters":100}]}}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

/// Runs the case.
pub fn run(repository: &Path, record: Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let mut site = Site::open(repository, record.clone())?;
    let _old: Vec<_> =
        [21, 22].into_iter().map(|last| join(&site, last, "v1")).collect::<Result<_, _>>()?;
    site.create("config", "main", CONFIG)?;
    site.start_hosts(3)?;
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.front).collect();
    site::wait_for("streams", || {
        fronts.iter().all(|front| begin(&record, *front, "warm", ABANDON_AFTER).is_some())
    })?;
    thread::sleep(CALM);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            let other = fronts[1 + number % 2];
            thread::spawn(move || call(&record, fronts[0], other, &format!("stream-{number}")))
        })
        .collect();
    thread::sleep(UNTIL_FREEZE);
    let frozen_at = Instant::now();
    if has_trouble {
        record.line("host1 stands still (SIGSTOP)");
        site.hosts[0].signal("STOP");
    }
    thread::sleep(UNTIL_NEW_VERSION);
    let _new = join(&site, 23, "v2")?;
    record.line("server lm23 with software v2 is ready");
    let new_callers: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, front) = (record.clone(), fronts[1 + number % 2]);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(200 * number as u64));
                begin(&record, front, &format!("new-{number}"), ABANDON_AFTER).is_some()
            })
        })
        .collect();
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    site.hosts[0].signal("CONT");
    record.line("host1 goes on (SIGCONT)");
    let begun = new_callers.into_iter().filter_map(|caller| caller.join().ok());
    let begun = begun.filter(|has_begun| *has_begun).count();
    let ends: Vec<End> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let taken_up = ends.iter().filter(|end| end.is_taken_up).count();
    let went_on = ends.iter().filter(|end| end.is_taken_up && end.goes_on).count();
    let joined = ends.iter().filter(|end| end.is_joined).count();
    record.line(&format!(
        "{taken_up} streams were taken up, {went_on} went on; {begun} of {NEW_STREAMS} new streams \
         began; {joined} streams hold events of two versions"
    ));
    let is_lost = taken_up >= 12
        && (went_on as f64 / taken_up as f64) < 0.5 * begun as f64 / NEW_STREAMS as f64;
    Ok(if is_lost || joined > 2 { Verdict::Broken } else { Verdict::Held })
}

/// Starts and registers a server.
fn join(site: &Site, last: u8, software: &str) -> Result<std::sync::Arc<Engine>, CannotRun> {
    let shape = EngineShape {
        id: format!("lm{last}"),
        zone: format!("here-{}", (b'a' + (last - 21) % 3) as char),
        software: software.to_owned(),
        last,
        model: "m0".to_owned(),
        adapters: vec!["a1".to_owned()],
        adapter_slots: 17,
        events: EVENTS,
        event_gap: EVENT_GAP,
    };
    let engine = Engine::start(site, shape)?;
    site.create("servers", &format!("lm{last}"), &engine.entry("ready"))?;
    Ok(engine)
}

/// How a caller's stream ended.
#[derive(Default)]
struct End {
    is_taken_up: bool,
    goes_on: bool,
    /// Whether it holds events of two versions.
    is_joined: bool,
}

/// Reads a stream; if it stops, takes it up once at another host, as the pages allow.
fn call(record: &Record, front: SocketAddr, other: SocketAddr, id: &str) -> End {
    let mut end = End::default();
    let started_at = Instant::now();
    let mut first = Stream::default();
    first.read(record, front, id, &[]);
    if first.is_whole || first.last_event == 0 {
        record.line(&format!(
            "caller: {id} ended with {} events, whole: {}",
            first.last_event, first.is_whole
        ));
        return end;
    }
    end.is_taken_up = true;
    let last_event = first.last_event.to_string();
    record.line(&format!("caller takes {id} up after event {last_event}"));
    for attempt in 1..=2 {
        let (next_id, mut next) = (format!("{id}-again{attempt}"), Stream::default());
        let headers = [("last-event-id", last_event.as_str()), ("resumes", id)];
        next.read(record, other, &next_id, &headers);
        record.line(&format!(
            "caller: {next_id} got {}, events up to {}, of {:?}",
            next.status, next.last_event, next.versions
        ));
        end.goes_on = next.last_event > first.last_event;
        end.is_joined = next.versions.iter().any(|version| !first.versions.contains(version));
        let time_left = Duration::from_secs(20).saturating_sub(started_at.elapsed());
        if end.goes_on || next.retry_after > time_left / 3 {
            break;
        }
        thread::sleep(next.retry_after);
    }
    end
}

/// Begins a stream; returns it if its first event came.
fn begin(record: &Record, front: SocketAddr, id: &str, timeout: Duration) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&front, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(&request(&format!("{id}-{}", site::unix_ms()), &[])).ok()?;
    let mut rest = Vec::new();
    let head = http::read_head(&mut stream, &mut rest).ok()??;
    let mut part = [0; 4096];
    while head.status() == 200 {
        if !events(&rest).is_empty() {
            return Some(());
        }
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&part[..count]);
    }
    record.line(&format!("caller: {id} got {}", head.status()));
    None
}

/// What came of one client attempt.
#[derive(Default)]
struct Stream {
    status: u16,
    retry_after: Duration,
    last_event: u64,
    versions: Vec<String>,
    is_whole: bool,
}

impl Stream {
    fn read(&mut self, record: &Record, front: SocketAddr, id: &str, headers: &[(&str, &str)]) {
        let _broken_off = self.try_read(record, front, id, headers);
    }

    fn try_read(
        &mut self,
        record: &Record,
        front: SocketAddr,
        id: &str,
        headers: &[(&str, &str)],
    ) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(ABANDON_AFTER))?;
        stream.write_all(&request(id, headers))?;
        record.line(&format!("caller sent {id}"));
        let mut rest = Vec::new();
        let Some(head) = http::read_head(&mut stream, &mut rest)? else { return Ok(()) };
        self.status = head.status();
        let retry_after = head.header("retry-after").parse::<f64>().unwrap_or(0.0);
        self.retry_after = Duration::from_secs_f64(retry_after);
        let mut part = [0; 4096];
        while self.status == 200 {
            for (event, version) in events(&rest) {
                self.last_event = self.last_event.max(event);
                if !self.versions.contains(&version) {
                    self.versions.push(version);
                }
            }
            if rest.ends_with(b"0\r\n\r\n") {
                self.is_whole = true;
                break;
            }
            let count = stream.read(&mut part)?;
            if count == 0 {
                break;
            }
            rest.extend_from_slice(&part[..count]);
        }
        Ok(())
    }
}

fn request(id: &str, more: &[(&str, &str)]) -> Vec<u8> {
    let mut headers = vec![
        ("host", "site.example"),
        ("x-request-id", id),
        ("x-deadline-ms", "20000"),
        ("x-model", "m0/a1"),
        ("x-token-usage", "646,60"),
        ("x-prompt-prefix", "5c1e07a2:155,91bd3f06:491"),
    ];
    headers.extend_from_slice(more);
    http::request_bytes("POST", "/ask/x", &headers, b"{}")
}

/// Returns the whole events in a stream, with the software version that wrote each.
fn events(bytes: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let mut found = Vec::new();
    let mut last = None;
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            last = id.trim().parse::<u64>().ok();
        } else if let (Some(data), Some(event)) = (line.strip_prefix("data: "), last.take()) {
            let version = data.split(' ').next().unwrap_or("").to_owned();
            found.push((event, version));
        }
    }
    found
}
