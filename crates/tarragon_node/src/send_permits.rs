//! Permits for requests to upstreams that name a limit.
//!
//! A host that knows of a limit requests a permit for each request from the host that issues those
//! of the upstream, chosen by rendezvous among the live hosts. Each question and each reply says
//! what is known of the limit, so the newest answer of the upstream decides.

use crate::{
    events::Event,
    node::{Node, SharedNode},
    request::CallerRequest,
};
use rail_limit::{
    IssuerRank, IssuingShare, KnownLimits, Limit, LimitKey, LimitStatement, Permit, PermitIssuer,
    Refusal, RequestRate, UpstreamPauses, rank_issuers,
};
use rail_peer::{LimitNews, PeerReply, PeerRequest, SendPermitReply, SendPermitRequest};
use rail_route::{ChosenBy, Upstream};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Time in which an issuer must reply; after it the next one is asked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause after a question to which no issuer replied.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);
/// Priority of urgent requests, for which the last permit is kept.
const URGENT_PRIORITY: u8 = 0;

/// Limits that this host knows, and the permits that it issues.
#[derive(Debug, Default)]
pub struct SendPermits {
    known: RefCell<KnownLimits>,
    issuer: RefCell<PermitIssuer>,
    /// Time before which no permit of an upstream is requested, after one was refused.
    paused_until: RefCell<HashMap<LimitKey, Duration>>,
    /// Upstreams that have turned a request away and get none for some time.
    refused: RefCell<UpstreamPauses>,
}

/// A host that issues permits.
enum Issuer {
    ThisHost,
    Other(SocketAddr),
}

impl SendPermits {
    /// Returns the rate that an upstream names, with the time since the answer that said so.
    fn limit(&self, start: &LimitKey, now: Duration) -> Option<(RequestRate, Duration)> {
        let limit = self.known.borrow().find(start)?;
        Some((limit.rate?, now.saturating_sub(limit.answered_at)))
    }

    /// Returns the time until a request may be sent to an upstream or a permit for it requested;
    /// `None` if that is now.
    pub fn pause(&self, upstream: &Upstream, now: Duration) -> Option<Duration> {
        let start = key_of(upstream);
        let refused = self.refused.borrow().remaining(&start, now);
        refused.max(self.permit_pause(&start, now))
    }

    fn permit_pause(&self, start: &LimitKey, now: Duration) -> Option<Duration> {
        self.known.borrow().rate(start)?;
        let until = self.paused_until.borrow().get(start).copied()?;
        Some(until.saturating_sub(now)).filter(|pause| !pause.is_zero())
    }

    fn news(&self, start: &LimitKey, now: Duration) -> LimitNews {
        let limit = self.known.borrow().find(start);
        let age = limit.map(|limit| now.saturating_sub(limit.answered_at));
        LimitNews {
            rate: limit.and_then(|limit| limit.rate),
            age_ms: age.map_or(u32::MAX, |age| age.as_millis() as u32),
        }
    }
}

/// Returns the shortest pause of the ready upstreams of a service that have no permit left.
pub fn shortest_pause(node: &Node, service: &str) -> Option<Duration> {
    let (upstreams, now) = (node.upstreams.borrow(), node.now());
    let ready = upstreams.ready(service);
    ready.filter_map(|upstream| node.send_permits.pause(upstream, now)).min()
}

/// Waits for a permit to send a request to an upstream, if the upstream names a limit.
///
/// # Errors
/// Returns the time after which a permit may be available.
pub async fn acquire(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
) -> Result<(), Duration> {
    let (start, now) = (key_of(upstream), node.now());
    let permits = &node.send_permits;
    request.limit.set(permits.limit(&start, now));
    if let Some(pause) = permits.pause(upstream, now) {
        node.metrics.send_permits.count("paused");
        return Err(pause);
    }
    if request.limit.get().is_none() {
        return Ok(());
    }
    let is_urgent = request.priority() == URGENT_PRIORITY;
    let question = SendPermitRequest {
        upstream: start.upstream.clone(),
        started_unix_ms: start.started_unix_ms,
        limit: permits.news(&start, now),
        wants_permit: true,
        is_urgent,
    };
    let (outcome, pause) = match ask_issuers(node, question).await {
        Some(Permit::Granted) => ("granted", None),
        Some(Permit::Refused(wait)) => ("refused", Some(wait)),
        None => ("no_reply", Some(SILENCE_PAUSE)),
    };
    node.metrics.send_permits.count(outcome);
    let Some(pause) = pause else { return Ok(()) };
    permits.paused_until.borrow_mut().insert(start, node.now() + pause);
    Err(pause)
}

/// Records that an upstream has turned a request away for want of room.
pub fn record_refusal(node: &Node, upstream: &Upstream, mut refusal: Refusal, chosen_by: ChosenBy) {
    if chosen_by == ChosenBy::Dispatcher {
        // It lets the upstream pause for all hosts.
        refusal.max_refusals_per_s = None;
    }
    let (now, live_hosts) = (node.now(), node.hosts.borrow().live(node.now()).count());
    if let Some(pause) = refusal.pause(live_hosts) {
        node.metrics.send_permits.count("upstream_refused");
        node.send_permits.refused.borrow_mut().pause_until(key_of(upstream), now + pause);
    }
}

/// Asks the issuers of an upstream's permits, one after the other. Returns `None` if none replied.
async fn ask_issuers(node: &SharedNode, question: SendPermitRequest) -> Option<Permit> {
    for issuer in issuers(node, &question.upstream) {
        let reply = match issuer {
            Issuer::ThisHost => Some(decide(node, &question)),
            Issuer::Other(peer) => call(node, peer, question.clone()).await,
        };
        if let Some(reply) = reply {
            merge(node, &question, reply.limit);
            return Some(match reply.refused_ms {
                None => Permit::Granted,
                Some(time_ms) => Permit::Refused(Duration::from_millis(time_ms.into())),
            });
        }
    }
    None
}

async fn call(
    node: &SharedNode,
    peer: SocketAddr,
    question: SendPermitRequest,
) -> Option<SendPermitReply> {
    let mesh = node.peers.mesh()?;
    let request = PeerRequest::SendPermit(question);
    let reply = async {
        let mut replies = mesh.call(peer, &request).await.ok()?;
        match replies.next().await {
            Ok(Some(PeerReply::SendPermit(reply))) => Some(reply),
            _ => None,
        }
    };
    timeout(REPLY_TIMEOUT, reply).await.ok().flatten()
}

/// Decides on the request of any host as the issuer of the upstream's permits.
pub fn decide(node: &Node, question: &SendPermitRequest) -> SendPermitReply {
    merge(node, question, question.limit);
    let (start, now) = (key_in(question), node.now());
    let limit = node.send_permits.news(&start, now);
    let refused = match limit.rate {
        Some(rate) if question.wants_permit => {
            let share = issuing_share(node, &question.upstream);
            let mut issuer = node.send_permits.issuer.borrow_mut();
            match issuer.request(&start, rate, share, question.is_urgent, now) {
                Permit::Granted => None,
                Permit::Refused(wait) => Some(wait),
            }
        }
        Some(_) | None => None,
    };
    SendPermitReply { limit, refused_ms: refused.map(|wait| wait.as_millis() as u32) }
}

fn issuing_share(node: &Node, upstream: &str) -> IssuingShare {
    let hosts = node.hosts.borrow();
    let names = hosts.live(node.now()).map(|heartbeat| heartbeat.host.as_str());
    let is_first = rank_issuers(upstream, names).next() == Some(node.settings.host.as_str());
    IssuingShare {
        rank: if is_first { IssuerRank::Issuer } else { IssuerRank::StandIn },
        live_hosts: hosts.live(node.now()).count(),
        known_hosts: hosts.len(),
    }
}

/// Returns the hosts that issue the permits of an upstream: the issuer, and the one that stands in
/// for it.
fn issuers(node: &Node, upstream: &str) -> Vec<Issuer> {
    let hosts = node.hosts.borrow();
    let names = hosts.live(node.now()).map(|heartbeat| heartbeat.host.as_str());
    let issuer = |host: &str| {
        if host == node.settings.host {
            return Some(Issuer::ThisHost);
        }
        hosts.find(host).map(|heartbeat| Issuer::Other(heartbeat.peer_address))
    };
    rank_issuers(upstream, names).filter_map(issuer).collect()
}

/// Records what an answer of an upstream says about its limit, and tells the issuer of a change.
pub fn record_answer(node: &SharedNode, upstream: &Upstream, statement: LimitStatement) {
    let (start, now) = (key_of(upstream), node.now());
    let is_changed = node.send_permits.known.borrow_mut().record_answer(&start, statement, now);
    if !is_changed {
        return;
    }
    log_limit(node, &start);
    let news = SendPermitRequest {
        limit: node.send_permits.news(&start, now),
        upstream: start.upstream,
        started_unix_ms: start.started_unix_ms,
        wants_permit: false,
        is_urgent: false,
    };
    let node = Rc::clone(node);
    actix_rt::spawn(async move { ask_issuers(&node, news).await });
}

/// Records what another host knows of a limit.
fn merge(node: &Node, question: &SendPermitRequest, news: LimitNews) {
    if news.age_ms == u32::MAX {
        return;
    }
    let start = key_in(question);
    let answered_at = node.now().saturating_sub(Duration::from_millis(news.age_ms.into()));
    let limit = Limit { rate: news.rate, answered_at };
    let is_changed = node.send_permits.known.borrow_mut().merge(&start, limit);
    if is_changed {
        log_limit(node, &start);
    }
}

fn log_limit(node: &Node, start: &LimitKey) {
    let rate = node.send_permits.known.borrow().rate(start);
    node.events.important(&Event::UpstreamLimit {
        upstream: &start.upstream,
        limit_per_s: rate.map(RequestRate::requests_per_s),
    });
}

/// Removes limits of upstreams that are gone, and pauses and buckets that have ended.
pub fn prune(node: &Node) {
    let now = node.now();
    let upstreams = node.upstreams.borrow();
    let is_known = |start: &LimitKey| {
        let known = upstreams.find(&start.upstream);
        known.is_some_and(|known| known.started_unix_ms == start.started_unix_ms)
    };
    node.send_permits.known.borrow_mut().prune(is_known, now);
    node.send_permits.refused.borrow_mut().prune(now);
    node.send_permits.issuer.borrow_mut().prune(now);
    node.send_permits.paused_until.borrow_mut().retain(|_, until| now < *until);
}

fn key_of(upstream: &Upstream) -> LimitKey {
    LimitKey { upstream: upstream.id.clone(), started_unix_ms: upstream.started_unix_ms }
}

fn key_in(question: &SendPermitRequest) -> LimitKey {
    let SendPermitRequest { upstream, started_unix_ms, .. } = question;
    LimitKey { upstream: upstream.clone(), started_unix_ms: *started_unix_ms }
}
