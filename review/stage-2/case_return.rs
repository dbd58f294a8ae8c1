//! A server leaves; then the store returns from a copy of itself that is older than that.

use crate::{
    feed::Feed,
    http,
    site::{CannotRun, Record, Site, Verdict},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, PoisonError, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Time without any disruption before the server leaves.
const CALM: Duration = Duration::from_millis(6_000);
/// Time from the removal of the server's entry to the return of the store.
const UNTIL_RETURN: Duration = Duration::from_millis(1_500);
/// Time for which the store is away, and by how much its copy is older.
const AWAY_MS: u64 = 500;
const COPY_AGE_MS: u64 = 3_000;
/// Time from the removal of the entry until the server's process ends.
const UNTIL_EXIT: Duration = Duration::from_millis(5_450);
/// Time for which machines must have been without disruption to be in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(300);
/// Three heartbeat intervals, after which the store removes the entry of a silent server.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Bound on requests to a server that has left.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Length of the traffic, and the pause of a caller between two requests.
const TRAFFIC: Duration = Duration::from_millis(9_000);
const PAUSE: Duration = Duration::from_millis(100);
/// Callers that use each host, each with one request at a time.
const SENDERS_PER_HOST: usize = 2;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"post","Host":"site.example",
"PathPrefix":"/post/","Kind":"unsafe","Service":"feed","TimeoutMs":2500,"TargetLatencyMs":150,
"Priority":2,"MaxAttempts":1}],"Services":[{"Name":"feed","HealthPath":"/health","MaxConns":110}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Runs the case.
pub fn run(repository: &Path, record: Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let mut site = Site::open(repository, record.clone())?;
    let leaving = Feed::start(&site, "feed1", 31, WORK, b"done".to_vec())?;
    let staying = Feed::start(&site, "feed2", 32, WORK, b"done".to_vec())?;
    site.create("servers", "feed1", &leaving.entry())?;
    site.create("servers", "feed2", &staying.entry())?;
    site.create("config", "main", CONFIG)?;
    site.start_hosts(3)?;
    thread::sleep(CALM);
    let fronts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.front).collect();
    let senders: Vec<_> = fronts
        .into_iter()
        .enumerate()
        .flat_map(|(host, front)| (0..SENDERS_PER_HOST).map(move |number| (host, number, front)))
        .map(|(host, number, front)| {
            let record = record.clone();
            thread::spawn(move || send(&record, front, &format!("post-{}-{number}", host + 1)))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    site.remove("servers", "feed1")?;
    let gone_at = Instant::now();
    record.line("feed1 leaves: its entry is removed, and it serves on for some seconds");
    let exit = {
        let (record, has_left) = (record.clone(), Arc::clone(&leaving.has_left));
        thread::spawn(move || {
            thread::sleep(UNTIL_EXIT);
            record.line("feed1 exits");
            has_left.store(true, Ordering::Relaxed);
        })
    };
    thread::sleep(UNTIL_RETURN);
    let gone = r#""upstream":"feed1","service":"feed","state":"gone""#;
    let knowing = site.hosts.iter().filter(|host| host.log_text().contains(gone)).count();
    record.line(&format!("{knowing} of 3 hosts have logged that feed1 is gone"));
    if knowing < 3 {
        return Err("the hosts have not noticed in time that feed1 is gone".to_owned());
    }
    let mut back_at = Instant::now();
    if has_trouble {
        let path = format!("/_return?AwayMs={AWAY_MS}&AgeMs={COPY_AGE_MS}");
        let answer = http::call(site.store, "POST", &path, &[], b"", CALL_TIMEOUT);
        answer.map_err(|error| format!("the store does not return: {error}"))?;
        record.line("the store is away for 500 ms and returns from a copy that is 3 s old");
        thread::sleep(Duration::from_millis(AWAY_MS));
        back_at = Instant::now();
        site.replace("servers", "feed2", &staying.entry())?;
        record.line("the store is back; feed2 writes its entry again");
        thread::sleep(LAPSE);
        site.remove("servers", "feed1")?;
        record.line("the entry of feed1, which is silent, lapses");
    }
    let unanswered: usize = senders.into_iter().filter_map(|sender| sender.join().ok()).sum();
    let _exited = exit.join();
    let arrivals = leaving.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > gone_at + DRAIN).collect();
    let is_in_touch = |at: Instant| at > back_at + CONTACT;
    for (at, id) in &late {
        let after_ms = at.duration_since(gone_at).as_millis();
        let touch = if is_in_touch(*at) { ", and all machines were in touch" } else { "" };
        record
            .line(&format!("{id} reached feed1 {after_ms} ms after its entry was removed{touch}"));
    }
    let in_touch = late.iter().filter(|(at, _)| is_in_touch(*at)).count();
    record.line(&format!(
        "{} requests reached feed1 later than DrainMs, {in_touch} of them from machines in touch; \
         {unanswered} requests of callers were not answered with success",
        late.len()
    ));
    Ok(if in_touch == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Sends one request after another; returns how many got no success.
fn send(record: &Record, front: SocketAddr, prefix: &str) -> usize {
    let (started_at, mut number, mut unanswered) = (Instant::now(), 0, 0);
    while started_at.elapsed() < TRAFFIC {
        let id = format!("{prefix}-{number}");
        let headers = [("host", "site.example"), ("x-request-id", &id), ("x-deadline-ms", "2500")];
        let answer = http::call(front, "POST", "/post/x", &headers, b"x", CALL_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("caller: {id} got {status}"));
        unanswered += usize::from(status != 200);
        number += 1;
        thread::sleep(PAUSE);
    }
    unanswered
}
