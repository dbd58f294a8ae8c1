//! Finds out whether an upstream's process ended when it lost a request.
//!
//! A broken connection alone proves nothing: links fail, and a working upstream may reset
//! connections. The process has ended if its port refuses connections, or if another start of an
//! upstream is registered at its id or address. An upstream that accepts connections and answers
//! nothing is silent: it may have ended behind a port that outlives it.

use crate::{
    attribution,
    events::Event,
    node::{Node, SharedNode},
};
use http::Request;
use http_body_util::Full;
use rail_route::{Upstream, UpstreamId, UpstreamState};
use rail_site::{
    engine::{decode_report, report_request},
    health_upstream_id,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::{Notify, watch},
    time::{Instant, timeout, timeout_at},
};

/// Pause before each attempt to connect to an upstream that lost a request.
const PROBE_PAUSES: [Duration; 3] =
    [Duration::from_millis(5), Duration::from_millis(60), Duration::from_millis(250)];
/// Timeout of an attempt to connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest time between two rounds of probes, since each probe is billed.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Largest answer to a probe in bytes.
const MAX_PROBE_BYTES: usize = 64 << 10;
/// Time in which a restarted upstream registers.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the registered upstreams are checked for a restart.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Checks that run at once; losses at further upstreams are not attributed.
const MAX_CHECKS: usize = 64;

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamStart {
    /// Id with which the upstream registered.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Time of the start in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

impl UpstreamStart {
    /// Returns the start that a registered upstream belongs to.
    pub fn of(upstream: &Upstream) -> Self {
        let Upstream { id, address, started_unix_ms, .. } = upstream;
        Self { upstream: id.clone(), address: *address, started_unix_ms: *started_unix_ms }
    }
}

/// What is known about an upstream that lost a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet.
    Unknown,
    /// It answers; a restart may still show that it ended.
    Answering,
    /// It answers nothing.
    Silent,
    /// The process ended.
    Ended,
    /// No sign that the process ended.
    NotEnded,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    Refused,
    Restarted,
    Answered,
    Silent,
}

/// A check of one start of an upstream.
#[derive(Debug, Clone)]
struct Check {
    verdict: Rc<watch::Sender<Verdict>>,
    /// Notified when the upstream loses another request.
    is_probe_due: Rc<Notify>,
}

/// Checks of upstreams that lost requests.
#[derive(Debug, Default)]
pub struct UpstreamEnds {
    checks: RefCell<HashMap<UpstreamStart, Check>>,
    /// Notified when another start of an upstream registers.
    restarted: Notify,
    last_restart_at: Cell<Option<Instant>>,
}

impl UpstreamEnds {
    /// Returns whether an upstream lost a request and answers nothing since.
    pub fn is_silent(&self, upstream: &Upstream) -> bool {
        let checks = self.checks.borrow();
        let check = checks.get(&UpstreamStart::of(upstream));
        check.is_some_and(|check| *check.verdict.borrow() == Verdict::Silent)
    }

    /// Wakes requests that wait for an upstream of which another start has registered.
    pub fn record_restart(&self) {
        self.last_restart_at.set(Some(Instant::now()));
        self.restarted.notify_waiters();
    }
}

/// Waits until another start is registered at the id or the address of an upstream to which a request
/// was sent, so that it can't answer any more.
pub async fn wait_for_restart(node: &Node, upstream: &Upstream, sent_at: std::time::Instant) {
    let ends = &node.upstream_ends;
    loop {
        let restarted = ends.restarted.notified();
        // Each part of each answer comes by here, and restarts are rare.
        let is_any_later = ends.last_restart_at.get().is_some_and(|at| at.into_std() >= sent_at);
        if is_any_later && has_restarted(node, &UpstreamStart::of(upstream)) {
            return;
        }
        restarted.await;
    }
}

/// Returns a channel with the verdict about an upstream that has just lost a request, and starts
/// the check unless one runs. Returns `None` if the end of the upstream was planned, so that it
/// says nothing about the request.
pub fn check(node: &SharedNode, upstream: &Arc<Upstream>) -> Option<watch::Receiver<Verdict>> {
    let start = UpstreamStart::of(upstream);
    let mut checks = node.upstream_ends.checks.borrow_mut();
    if let Some(check) = checks.get(&start) {
        // An answer before this loss says nothing about it.
        if *check.verdict.borrow() == Verdict::Answering {
            check.verdict.send_replace(Verdict::Unknown);
        }
        check.is_probe_due.notify_one();
        return Some(check.verdict.subscribe());
    }
    if is_leaving(node, upstream) || checks.len() >= MAX_CHECKS {
        return None;
    }
    let (sender, verdict) = watch::channel(Verdict::Unknown);
    let check = Check { verdict: Rc::new(sender), is_probe_due: Rc::default() };
    checks.insert(start.clone(), check.clone());
    actix_rt::spawn(run_check(Rc::clone(node), Arc::clone(upstream), start, check));
    Some(verdict)
}

async fn run_check(node: SharedNode, upstream: Arc<Upstream>, start: UpstreamStart, check: Check) {
    let upstream_id = &start.upstream;
    let verdict = match find_evidence(&node, &upstream, &start, &check).await {
        Finding::Ended(evidence) => {
            node.metrics.upstream_ends.count(evidence);
            node.events.important(&Event::UpstreamEnded { upstream: upstream_id, evidence });
            Verdict::Ended
        }
        Finding::Unproven(sign) => {
            node.events.important(&Event::UpstreamEndUnproven { upstream: upstream_id, sign });
            Verdict::NotEnded
        }
    };
    check.verdict.send_replace(verdict);
    node.upstream_ends.checks.borrow_mut().remove(&start);
}

/// Returns whether an upstream announced its end, or was removed before it lost the request.
fn is_leaving(node: &Node, upstream: &Upstream) -> bool {
    let upstreams = node.upstreams.borrow();
    upstreams.find(&upstream.id).is_none_or(|current| current.state == UpstreamState::Draining)
}

/// Result of a check, with the evidence or the last sign.
enum Finding {
    Ended(&'static str),
    Unproven(&'static str),
}

/// Probes an upstream after its losses and watches for its restart.
async fn find_evidence(
    node: &Node,
    upstream: &Upstream,
    start: &UpstreamStart,
    check: &Check,
) -> Finding {
    loop {
        let is_silent = match probe_repeatedly(node, upstream, &check.verdict).await {
            Probe::Refused => return Finding::Ended("refused"),
            Probe::Restarted => return Finding::Ended("restarted"),
            Probe::Silent => true,
            Probe::Answered => false,
        };
        let deadline = Instant::now() + REGISTRATION_TIMEOUT;
        let next_probe_at = Instant::now() + MIN_PROBE_INTERVAL;
        loop {
            if has_restarted(node, start) {
                return Finding::Ended("restarted");
            }
            let is_registered = node.upstreams.borrow().find(&start.upstream).is_some();
            if is_silent && !is_registered {
                return Finding::Ended("silent_and_lapsed");
            }
            if Instant::now() >= deadline {
                return Finding::Unproven(if is_silent { "silent" } else { "answers" });
            }
            tokio::time::sleep(REGISTRATION_CHECK_INTERVAL).await;
            if Instant::now() < next_probe_at {
                continue;
            }
            if timeout(Duration::ZERO, check.is_probe_due.notified()).await.is_ok() {
                break;
            }
        }
    }
}

/// Probes an upstream until it answers or has certainly ended, and reports what is known meanwhile.
async fn probe_repeatedly(
    node: &Node,
    upstream: &Upstream,
    verdict: &watch::Sender<Verdict>,
) -> Probe {
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        match probe(node, upstream).await {
            Probe::Silent => verdict.send_replace(Verdict::Silent),
            Probe::Answered => {
                verdict.send_replace(Verdict::Answering);
                return Probe::Answered;
            }
            certain @ (Probe::Refused | Probe::Restarted) => return certain,
        };
    }
    Probe::Silent
}

/// Returns whether a later start is registered at the id or the address of an upstream.
fn has_restarted(node: &Node, start: &UpstreamStart) -> bool {
    let UpstreamStart { upstream, address, started_unix_ms } = start;
    node.upstreams.borrow().has_later_start(upstream, *address, *started_unix_ms)
}

/// Connects to an upstream and requests its state.
async fn probe(node: &Node, upstream: &Upstream) -> Probe {
    if has_restarted(node, &UpstreamStart::of(upstream)) {
        return Probe::Restarted;
    }
    let deadline = Instant::now() + PROBE_TIMEOUT;
    match timeout_at(deadline, TcpStream::connect(upstream.address)).await {
        // A host that reaches no upstream learns nothing about any of them.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused && !node.is_cut_off() => {
            return Probe::Refused;
        }
        Ok(Err(_)) | Err(_) => return Probe::Silent,
        Ok(Ok(_connected)) => {}
    }
    timeout_at(deadline, request_state(node, upstream)).await.unwrap_or(Probe::Silent)
}

/// Requests the report of an engine, which needs no slot, or the health of another upstream.
async fn request_state(node: &Node, upstream: &Upstream) -> Probe {
    let host = upstream.address.to_string();
    let (is_engine, health_path) = {
        let routes = node.routes.borrow();
        let service = routes.as_ref().and_then(|routes| routes.services.get(&upstream.service));
        (
            service.is_some_and(|service| service.engine.is_some()),
            service.map(|service| service.health_path.clone()).unwrap_or_default(),
        )
    };
    let request = if is_engine {
        report_request(&host)
    } else {
        let request = Request::get(health_path).header("host", host).body(Full::default());
        request.unwrap_or_default()
    };
    // Only a new connection shows that the port still leads to the upstream.
    let Ok(mut response) = node.links.send(upstream.address, request, Duration::ZERO).await else {
        return Probe::Silent;
    };
    if !attribution::is_own(&mut response) {
        return Probe::Silent;
    }
    let Ok(body) = response.read(MAX_PROBE_BYTES).await else { return Probe::Silent };
    if is_engine {
        let Ok(report) = decode_report(&body) else { return Probe::Silent };
        let starts = report.started_unix_ms.zip(upstream.started_unix_ms);
        let is_other = starts.is_some_and(|(reported, known)| reported != known);
        return if is_other { Probe::Restarted } else { Probe::Answered };
    }
    let is_other = health_upstream_id(&response.head).is_some_and(|id| id != upstream.id);
    if is_other { Probe::Restarted } else { Probe::Answered }
}
