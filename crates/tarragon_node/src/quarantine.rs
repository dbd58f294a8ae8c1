//! Keeps requests that crash their upstreams from running again, together with the other hosts.
//!
//! A request whose upstream ended becomes a suspect on all hosts, and so do the parts of its prompt
//! that other requests may share. Calls of a suspect run one at a time; one host per service
//! coordinates these trials. The decisions are made by [`QuarantineTable`].

use crate::{
    events::Event,
    node::{Node, SharedNode},
    quarantine_news::{self, NewsQueue, now_ms},
    request::CallerRequest,
};
use rail_peer::{PeerReply, PeerRequest, ReplySender, ReplyStream, TrialReply, TrialRequest};
use rail_place::rank_engines;
use rail_request::{
    Fingerprint, KeysDecision, QuarantineKey, QuarantineTable, TrialDecision, TrialId, TrialRun,
    quarantine::TRIAL_RETRY_AFTER,
};
use rail_route::{Upstream, UpstreamId};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Longest time that a call waits for the trial of the same request by another call.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(2);
/// Share of the time left until the deadline that a call may wait for a trial.
const TRIAL_WAIT_SHARE: f64 = 0.4;
/// Time in which the coordinator must reply; after it this host decides alone.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Time added to the wait of a call when waiting for the coordinator's decision.
const DECISION_SLACK: Duration = Duration::from_millis(100);
/// Interval at which a waiting call checks whether the running trial has timed out.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Calls that wait for a trial on this host; further ones are refused at once.
const MAX_WAITING_CALLS: u32 = 128;

/// State of the quarantine on this host.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Records of suspects and of refused requests.
    pub table: RefCell<QuarantineTable>,
    /// Records that other hosts and the store must learn.
    pub news: NewsQueue,
    /// Notified when a record changes or a trial ends.
    changed: Notify,
    waiting_calls: Cell<u32>,
}

/// Permission to run a request; dropping it ends its trial.
#[derive(Debug, Default)]
pub struct Admission {
    /// The only upstream that may run the request; any if `None`.
    pub upstream: Option<UpstreamId>,
    /// Upstreams that should not run it.
    pub avoided: Vec<UpstreamId>,
    trial: Option<Trial>,
}

impl Admission {
    /// Returns the trial as which the request runs.
    pub fn trial_run(&self) -> Option<KeyTrial> {
        self.trial.as_ref().map(|trial| KeyTrial { blamed: trial.blamed, run: trial.run })
    }

    /// Returns the upstreams that may run the request, the avoided ones only if there are no
    /// others.
    pub fn filter<'a>(&self, upstreams: Vec<&'a Arc<Upstream>>) -> Vec<&'a Arc<Upstream>> {
        let mut allowed = upstreams;
        if let Some(chosen) = &self.upstream {
            allowed.retain(|upstream| upstream.id == *chosen);
        }
        let is_avoided = |upstream: &&Arc<Upstream>| self.avoided.contains(&upstream.id);
        if !allowed.iter().all(is_avoided) {
            allowed.retain(|upstream| !is_avoided(upstream));
        }
        allowed
    }
}

/// The run of a request as a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTrial {
    /// Key to blame if the upstream ends.
    pub blamed: QuarantineKey,
    /// The trial.
    pub run: TrialRun,
}

/// A refusal to run a request.
#[derive(Debug, Clone, Copy)]
pub enum Refusal {
    /// The request is quarantined, or held back on suspicion, for this time.
    Quarantined(Duration),
    /// Another trial of the request runs; the caller may retry after this time.
    TrialRunning(Duration),
}

/// The right to run the trial of a suspect.
#[derive(Debug)]
struct Trial {
    node: SharedNode,
    key: QuarantineKey,
    /// Key to blame if the upstream ends.
    blamed: QuarantineKey,
    run: TrialRun,
    /// Call to the coordinator on another host, which keeps the trial there.
    coordinator: Option<(SocketAddr, ReplyStream)>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.quarantine.end_trial(self.key.fingerprint, self.run.id);
    }
}

impl Quarantine {
    fn end_trial(&self, fingerprint: Fingerprint, id: TrialId) {
        self.table.borrow_mut().end_trial(fingerprint, id);
        self.changed.notify_waiters();
    }

    /// Wakes calls that wait for a change of the records.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }
}

/// Decides whether a request may run now, and waits for the trial of a suspect.
///
/// `candidates` returns the upstreams that may run it, the preferred one first.
///
/// # Errors
/// Returns why the request must not run.
pub async fn admit(
    node: &SharedNode,
    request: &CallerRequest,
    candidates: impl Fn() -> Vec<UpstreamId>,
) -> Result<Admission, Refusal> {
    // A request has few keys, and each is cleared or its trial starts.
    for _ in 0..request.quarantine_keys.len() {
        let keys = &request.quarantine_keys;
        let decision = node.quarantine.table.borrow().decide_all(keys, now_ms(node));
        let (key, blamed) = match decision {
            KeysDecision::Run => return Ok(Admission::default()),
            KeysDecision::Refuse { key, retry_after } => {
                return Err(refuse(node, request, key, Refusal::Quarantined(retry_after)));
            }
            KeysDecision::Suspect { key, blamed } => (key, blamed),
        };
        if let Some(admission) = admit_trial(node, request, (key, blamed), &candidates()).await? {
            return Ok(admission);
        }
    }
    Ok(Admission::default())
}

/// Waits for the trial of a suspect. Returns `None` if the suspect is cleared meanwhile.
async fn admit_trial(
    node: &SharedNode,
    request: &CallerRequest,
    (key, blamed): (QuarantineKey, QuarantineKey),
    candidates: &[UpstreamId],
) -> Result<Option<Admission>, Refusal> {
    let fingerprint = key.fingerprint;
    let id = rand::random();
    let wait = request.time_left().mul_f64(TRIAL_WAIT_SHARE).min(MAX_TRIAL_WAIT);
    let (reply, coordinator) = match coordinator(node, &request.service) {
        Some(peer) => match request_trial(node, peer, fingerprint, id, candidates, wait).await {
            Some((reply, call)) => (reply, Some((peer, call))),
            None => (wait_for_trial(node, fingerprint, id, candidates, wait).await, None),
        },
        None => (wait_for_trial(node, fingerprint, id, candidates, wait).await, None),
    };
    let refusal = match reply {
        TrialReply::Start { upstream, avoided, record } => {
            node.metrics.quarantine.count("trial");
            quarantine_news::merge_news(node, record.into_iter().collect());
            let now_ms = now_ms(node);
            node.quarantine.table.borrow_mut().start_trial(fingerprint, id, now_ms);
            log_trial(node, request, key, upstream.as_deref());
            let known_crashes = possible_crashes(node, blamed.fingerprint);
            let run = TrialRun { id, known_crashes };
            let trial = Trial { node: Rc::clone(node), key, blamed, run, coordinator };
            return Ok(Some(Admission { upstream, avoided, trial: Some(trial) }));
        }
        TrialReply::Run => return Ok(None),
        TrialReply::Quarantined(time_ms) => Refusal::Quarantined(Duration::from_millis(time_ms)),
        TrialReply::Busy(time_ms) => Refusal::TrialRunning(Duration::from_millis(time_ms)),
        TrialReply::Queued => Refusal::TrialRunning(TRIAL_RETRY_AFTER),
    };
    Err(refuse(node, request, key, refusal))
}

/// Returns the proven crashes of a request.
pub fn known_crashes(node: &Node, fingerprint: Fingerprint) -> u32 {
    node.quarantine.table.borrow().find(fingerprint).map_or(0, |record| record.crashes)
}

/// Returns the crashes of a request, those included that are only suspected.
fn possible_crashes(node: &Node, fingerprint: Fingerprint) -> u32 {
    node.quarantine.table.borrow().possible_crashes(fingerprint, now_ms(node))
}

fn log_trial(node: &Node, request: &CallerRequest, key: QuarantineKey, upstream: Option<&str>) {
    node.events.important(&Event::Trial {
        request: &request.parsed_headers.request_id,
        key: key.kind.name(),
        fingerprint: key.fingerprint,
        crashes: possible_crashes(node, key.fingerprint),
        upstream: upstream.unwrap_or_default(),
    });
}

/// Logs a refusal with the key that holds the request back and the crashes behind it.
fn refuse(node: &Node, request: &CallerRequest, key: QuarantineKey, refusal: Refusal) -> Refusal {
    let is_proven = node.quarantine.table.borrow().is_quarantined(key.fingerprint);
    let outcome = match refusal {
        Refusal::Quarantined(_) if is_proven => "refused",
        Refusal::Quarantined(_) => "held_back",
        Refusal::TrialRunning(_) => "trial_running",
    };
    node.metrics.quarantine.count(outcome);
    let table = node.quarantine.table.borrow();
    let ends = table.find(key.fingerprint).map(|record| record.ends.as_slice());
    node.events.important(&Event::QuarantineRefusal {
        request: &request.parsed_headers.request_id,
        key: key.kind.name(),
        fingerprint: key.fingerprint,
        outcome,
        ends: ends.unwrap_or_default(),
    });
    refusal
}

/// Returns the peer address of the host that coordinates the trials of a service, or `None` if it
/// is this host.
fn coordinator(node: &Node, service: &str) -> Option<SocketAddr> {
    let hosts = node.hosts.borrow();
    let live = hosts.live(node.now()).map(|heartbeat| heartbeat.host.as_str());
    let first = rank_engines(service, live).first().copied()?;
    let is_other = first != node.settings.host;
    is_other.then(|| hosts.find(first).map(|heartbeat| heartbeat.peer_address)).flatten()
}

/// Requests a trial from its coordinator; returns `None` if the coordinator does not reply.
async fn request_trial(
    node: &SharedNode,
    peer: SocketAddr,
    fingerprint: Fingerprint,
    trial_id: TrialId,
    candidates: &[UpstreamId],
    wait: Duration,
) -> Option<(TrialReply, ReplyStream)> {
    let mesh = node.peers.mesh()?;
    let record = node.quarantine.table.borrow().news([fingerprint], now_ms(node)).pop()?;
    let wait_ms = wait.as_millis() as u32;
    let request = TrialRequest { trial_id, record, candidates: candidates.to_vec(), wait_ms };
    let first_reply = async {
        let mut replies = mesh.call(peer, &PeerRequest::Trial(request)).await.ok()?;
        let reply = replies.next().await.ok()??;
        Some((replies, reply))
    };
    let (mut replies, mut reply) = timeout(FIRST_REPLY_TIMEOUT, first_reply).await.ok()??;
    if reply == PeerReply::Trial(TrialReply::Queued) {
        reply = timeout(wait + DECISION_SLACK, replies.next()).await.ok()?.ok()??;
    }
    match reply {
        PeerReply::Trial(reply) => Some((reply, replies)),
        _ => None,
    }
}

/// Waits on this host until the trial of a suspect may start or the request is decided otherwise.
async fn wait_for_trial(
    node: &SharedNode,
    fingerprint: Fingerprint,
    trial_id: TrialId,
    candidates: &[UpstreamId],
    wait: Duration,
) -> TrialReply {
    let quarantine = &node.quarantine;
    let deadline = tokio::time::Instant::now() + wait;
    let busy = TrialReply::Busy(TRIAL_RETRY_AFTER.as_millis() as u64);
    loop {
        let mut changed = std::pin::pin!(quarantine.changed.notified());
        changed.as_mut().enable();
        let now_ms = now_ms(node);
        let decision = quarantine.table.borrow_mut().try_start_trial(
            fingerprint,
            trial_id,
            candidates,
            now_ms,
        );
        match decision {
            TrialDecision::Run => return TrialReply::Run,
            TrialDecision::Start { upstream, avoided } => {
                let record = quarantine.table.borrow().news([fingerprint], now_ms).pop();
                return TrialReply::Start { upstream, avoided, record };
            }
            TrialDecision::Refuse { retry_after } => {
                return TrialReply::Quarantined(retry_after.as_millis() as u64);
            }
            TrialDecision::Wait => {}
        }
        if quarantine.waiting_calls.get() >= MAX_WAITING_CALLS {
            return busy;
        }
        let _waiting = WaitingCall::start(node);
        if tokio::time::Instant::now() >= deadline {
            return busy;
        }
        // A trial may also time out, which notifies nobody.
        let _elapsed = timeout(TRIAL_POLL_INTERVAL, changed).await;
    }
}

/// Counts a waiting call until it is dropped.
struct WaitingCall(SharedNode);

impl WaitingCall {
    fn start(node: &SharedNode) -> Self {
        let count = &node.quarantine.waiting_calls;
        count.set(count.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let count = &self.0.quarantine.waiting_calls;
        count.set(count.get() - 1);
    }
}

/// Coordinates a trial for another host, until that host ends the call.
pub async fn serve_trial(node: SharedNode, call: TrialRequest, mut replies: ReplySender) {
    let TrialRequest { trial_id, record, candidates, wait_ms } = call;
    let fingerprint = Fingerprint::from(record.fingerprint);
    let key = QuarantineKey { kind: record.kind, fingerprint };
    quarantine_news::merge_news(&node, vec![record]);
    let wait = Duration::from_millis(u64::from(wait_ms)).min(MAX_TRIAL_WAIT);
    let reply = {
        let decision = wait_for_trial(&node, fingerprint, trial_id, &candidates, wait);
        let mut decision = std::pin::pin!(decision);
        let immediate = timeout(Duration::from_millis(5), &mut decision).await;
        if let Ok(reply) = immediate {
            reply
        } else {
            if replies.send(&PeerReply::Trial(TrialReply::Queued)).await.is_err() {
                return;
            }
            tokio::select! {
                reply = &mut decision => reply,
                _code = replies.stop_code() => return,
            }
        }
    };
    let is_started = matches!(reply, TrialReply::Start { .. });
    let trial = is_started.then(|| Trial {
        node: Rc::clone(&node),
        key,
        blamed: key,
        run: TrialRun { id: trial_id, known_crashes: possible_crashes(&node, fingerprint) },
        coordinator: None,
    });
    let is_sent = replies.send(&PeerReply::Trial(reply)).await.is_ok();
    if is_sent && trial.is_some() {
        // Also ends when the link to the other host is lost.
        let _code = replies.stop_code().await;
    } else if is_sent {
        replies.finish();
    }
}

/// Records that an upstream ran a request to its end, which clears its keys.
pub fn record_completion(node: &SharedNode, request: &CallerRequest, admission: Admission) {
    let mut is_any_cleared = false;
    for key in &request.quarantine_keys {
        is_any_cleared |= clear(node, request, *key);
    }
    if is_any_cleared {
        node.quarantine.wake();
        actix_rt::spawn(release(Rc::clone(node), admission));
    }
}

/// Clears a key, and informs the other hosts. Returns whether it was a suspect.
fn clear(node: &SharedNode, request: &CallerRequest, key: QuarantineKey) -> bool {
    let fingerprint = key.fingerprint;
    let was_stored = known_crashes(node, fingerprint) > 1;
    let now_ms = now_ms(node);
    if !node.quarantine.table.borrow_mut().record_completion(key, now_ms) {
        return false;
    }
    node.metrics.quarantine.count("cleared");
    let request = &request.parsed_headers.request_id;
    let key = key.kind.name();
    node.events.important(&Event::SuspectCleared { request, key, fingerprint });
    if was_stored {
        node.quarantine.news.store(fingerprint);
    }
    node.quarantine.news.spread(fingerprint);
    true
}

/// Ends a trial after its coordinator has learned the outcome.
pub async fn release(node: SharedNode, admission: Admission) {
    if let Some(Trial { coordinator: Some((peer, _)), key, .. }) = &admission.trial {
        quarantine_news::send_record(&node, *peer, key.fingerprint).await;
    }
}
