//! Requests to engines: a place first, then the send.

use crate::{
    attempt::{self, Attempt, AttemptTerms},
    engines::{LocalPlace, PlaceAnswer},
    front::{CallerRequest, InFlight, give_up},
    node::SharedNode,
    peers::{NoPlace, RemotePlace},
    relay,
    reply::Failure,
};
use actix_http::{Response, body::BoxBody};
use rail_peer::PlaceCall;
use rail_place::{GrantOutcome, rank_engines};
use rail_route::{AttemptOutcome, Upstream};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Engines on which a place is looked for.
const MAX_HOMES: usize = 8;
/// Longest estimated wait at an engine while others could take the request.
const FIRST_WAIT: Duration = Duration::from_millis(450);
/// Part of the target latency that earlier prompts may take at an engine while others are free.
const BACKLOG_SHARE: f64 = 0.4;
/// Factor by which a backlog may be over the wait when all are busy: owners count prompts at half
/// of an engine's speed, so that answers keep their pace.
const LATE_BACKLOG_FACTOR: u32 = 2;
/// Engines that are asked again when all are busy.
const MAX_LATE_HOMES: usize = 3;
/// Part of the time left that a request may wait for a place.
const WAIT_SHARE: f64 = 0.5;
/// Times the target latency after which waiting longer serves nobody.
const WAIT_TARGETS: f64 = 3.0;
/// Sends of one request that ended without running.
const MAX_SENDS: u32 = 6;
/// Refusals of one engine after which a request looks elsewhere.
const MAX_REFUSALS_OF_ONE: u32 = 2;
/// When a caller should come back if no owner could be asked.
const NO_OWNER_RETRY: Duration = Duration::from_millis(300);
/// Shortest time to come back after a refusal.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// A place on an engine; dropping it gives it back.
#[derive(Debug)]
pub enum Place {
    /// Granted by this host.
    Local(LocalPlace),
    /// Granted by the owner on another host.
    Remote(RemotePlace),
    /// Not granted: the engine is believed to hold the adapter and its owner can't be asked.
    Assumed,
}

impl Place {
    /// Tells how the request ended, in place of an ordinary end.
    fn end(self, end: GrantOutcome) {
        match self {
            Self::Local(place) => place.end(end),
            Self::Remote(place) => place.end(end),
            Self::Assumed => {}
        }
    }
}

/// Why there is no place.
#[derive(Debug, Clone, Copy)]
enum NoHome {
    Refused(Duration),
    NoOwner,
    NoEngine,
}

/// Finds a place for a request, sends it and relays the answer.
pub async fn serve(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
) -> Response<BoxBody> {
    let deadline = tokio::time::Instant::from_std(request.deadline_at);
    let mut state = Tries::default();
    let result = tokio::time::timeout_at(deadline, run(&node, &request, &mut state)).await;
    let started = match result {
        Ok(Ok(started)) => started,
        Ok(Err(response)) => return response,
        Err(_) => {
            let failure = if state.is_sent { Failure::LateSent } else { Failure::LateUnsent };
            let again = (!state.is_sent).then_some(MIN_RETRY);
            if let (true, Some(upstream)) = (state.is_sent, &state.current) {
                attempt::judge(&node, &request, upstream, AttemptOutcome::Unreachable, "silent");
            }
            let upstream = state.current.as_ref().map_or("", |upstream| upstream.id.as_str());
            return give_up(&node, &request, failure, again, upstream);
        }
    };
    relay::respond(node, request, in_flight, started)
}

/// Lets another engine go on with a stream after an event; none when that can't be.
///
/// Only the adapter version that began the stream may go on with it.
pub async fn resume(
    node: &SharedNode,
    request: &CallerRequest,
    lost: &str,
    version: Option<u64>,
    resume_after: Option<&str>,
) -> Option<Started> {
    let mut avoided = vec![lost.to_owned()];
    while request.attempts.get() < request.route.max_attempts && node.try_repeat(&request.service) {
        let found = find_place(node, request, &avoided).await;
        let (upstream, place, found_version) = found.ok()?;
        if found_version != version {
            return None;
        }
        let terms = AttemptTerms { version, resume_after };
        match attempt::send(node, request, &upstream, terms).await {
            Attempt::Head(answer) if answer.head.status.is_success() => {
                note_adapter(node, request, &upstream, answer.head.status);
                return Some(Started { upstream, place, version, answer });
            }
            Attempt::Head(_failure) => return None,
            Attempt::NotRun(_) => place.end(GrantOutcome::NotReady),
            Attempt::NotSent | Attempt::Withdrawn | Attempt::Lost(_) => {}
        }
        avoided.push(upstream.id.clone());
    }
    None
}

#[derive(Debug, Default)]
struct Tries {
    avoided: Vec<String>,
    current: Option<Arc<Upstream>>,
    is_sent: bool,
    /// Refusals in a row by the engine that refused last.
    refusals: u32,
    refused_by: String,
}

impl Tries {
    /// Takes that an engine refused a request, which its owner may have let go a little early.
    fn note_refusal(&mut self, node: &SharedNode, upstream: &Upstream, place: &Place) {
        if self.refused_by != upstream.id {
            self.refused_by.clone_from(&upstream.id);
            self.refusals = 0;
        }
        self.refusals += 1;
        let is_guess = matches!(place, Place::Assumed);
        if is_guess {
            node.seen_adapters.borrow_mut().pause(&upstream.id, node.now());
        }
        if is_guess || self.refusals >= MAX_REFUSALS_OF_ONE {
            self.avoided.push(upstream.id.clone());
        }
    }
}

/// A request that an upstream has begun to answer.
pub struct Started {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Its place there.
    pub place: Place,
    /// Adapter version, where one was announced.
    pub version: Option<u64>,
    /// Head of the answer, with its body still to come.
    pub answer: Box<rail_upstream::Answer>,
}

async fn run(
    node: &SharedNode,
    request: &CallerRequest,
    state: &mut Tries,
) -> Result<Started, Response<BoxBody>> {
    for _ in 0..MAX_SENDS {
        let (upstream, place, version) = match find_place(node, request, &state.avoided).await {
            Ok(found) => found,
            Err(reason) => return Err(refuse(node, request, reason)),
        };
        state.current = Some(Arc::clone(&upstream));
        state.is_sent = true;
        let resume_after = request.marks.last_event_id.as_deref();
        let terms = AttemptTerms { version, resume_after };
        let reason = match attempt::send(node, request, &upstream, terms).await {
            Attempt::Head(answer) => {
                note_adapter(node, request, &upstream, answer.head.status);
                return Ok(Started { upstream, place, version, answer });
            }
            Attempt::NotSent | Attempt::Withdrawn => {
                state.avoided.push(upstream.id.clone());
                "not_sent"
            }
            Attempt::NotRun(status) => {
                let end = if status == http::StatusCode::MISDIRECTED_REQUEST {
                    node.seen_adapters.borrow_mut().remove(&upstream.id, request.model());
                    GrantOutcome::Absent
                } else {
                    GrantOutcome::NotReady
                };
                state.note_refusal(node, &upstream, &place);
                place.end(end);
                if !node.try_repeat(&request.service) {
                    let response =
                        give_up(node, request, Failure::Busy, Some(MIN_RETRY), &upstream.id);
                    return Err(response);
                }
                "not_run"
            }
            Attempt::Lost(reason) => {
                let is_allowed = request.route.kind.is_retryable()
                    && request.attempts.get() < request.route.max_attempts
                    && node.try_repeat(&request.service);
                if !is_allowed {
                    let response =
                        give_up(node, request, Failure::UpstreamLost, None, &upstream.id);
                    return Err(response);
                }
                state.avoided.push(upstream.id.clone());
                reason
            }
        };
        state.is_sent = false;
        node.metrics.retries.count(reason);
    }
    Err(give_up(node, request, Failure::Busy, Some(MIN_RETRY), ""))
}

fn refuse(node: &SharedNode, request: &CallerRequest, reason: NoHome) -> Response<BoxBody> {
    match reason {
        NoHome::Refused(again) => {
            give_up(node, request, Failure::Busy, Some(again.max(MIN_RETRY)), "")
        }
        NoHome::NoOwner => give_up(node, request, Failure::Busy, Some(NO_OWNER_RETRY), ""),
        NoHome::NoEngine => give_up(node, request, Failure::NoUpstream, Some(NO_OWNER_RETRY), ""),
    }
}

/// Asks the owners of the request's engines in order of preference.
async fn find_place(
    node: &SharedNode,
    request: &CallerRequest,
    avoided: &[String],
) -> Result<(Arc<Upstream>, Place, Option<u64>), NoHome> {
    let homes = homes(node, request, avoided);
    if homes.is_empty() {
        return Err(NoHome::NoEngine);
    }
    let target = request.route.target_latency;
    let useful = target.mul_f64(WAIT_TARGETS).saturating_sub(request.arrived_at.elapsed());
    let longest = request.time_left().mul_f64(WAIT_SHARE).min(useful);
    let until = Instant::now() + longest;
    let mut soonest = None::<Duration>;
    let (mut refused, mut unowned) = (Vec::new(), Vec::new());
    let model = request.model();
    let order = {
        let id = &request.marks.request_id;
        node.home_spread.borrow().order(model, id, homes.len(), node.now())
    };
    for rank in order {
        let home = &homes[rank];
        let patience = Patience {
            estimate: FIRST_WAIT,
            wait: until.saturating_duration_since(Instant::now()),
            backlog: target.mul_f64(BACKLOG_SHARE),
        };
        match ask_owner(node, request, home, patience).await {
            Ok((place, version)) => {
                let mut spread = node.home_spread.borrow_mut();
                spread.record_start(model, rank, refused.len(), node.now());
                return Ok((Arc::clone(home), place, version));
            }
            Err(NoPlace::Refused(again)) => refused.push((again, home)),
            Err(NoPlace::NoOwner) => unowned.push(home),
        }
    }
    if unowned.is_empty() {
        node.home_spread.borrow_mut().record_all_refused(model, homes.len(), node.now());
    }
    // All are busy: the least busy ones may take it late.
    refused.sort_by_key(|(again, _)| *again);
    for (_, home) in refused.into_iter().take(MAX_LATE_HOMES) {
        let wait = until.saturating_duration_since(Instant::now());
        let patience = Patience { estimate: wait, wait, backlog: wait * LATE_BACKLOG_FACTOR };
        match ask_owner(node, request, home, patience).await {
            Ok((place, version)) => return Ok((Arc::clone(home), place, version)),
            Err(NoPlace::Refused(again)) => {
                soonest = Some(soonest.map_or(again, |known| known.min(again)));
            }
            Err(NoPlace::NoOwner) => {}
        }
    }
    // An owner that refused knows better; only where none can be asked is the record believed.
    let mut unowned = unowned.into_iter();
    let may_guess = |home: &Upstream| {
        let seen = node.seen_adapters.borrow();
        seen.may_send_without_grant(&home.id, node.now())
    };
    if let Some(home) =
        unowned.find(|home| may_guess(home) && is_believed_resident(node, home, request.model()))
    {
        return Ok((Arc::clone(home), Place::Assumed, None));
    }
    Err(soonest.map_or(NoHome::NoOwner, NoHome::Refused))
}

/// How long a request is willing to wait at one engine.
#[derive(Debug, Clone, Copy)]
struct Patience {
    /// Longest estimate with which it stays.
    estimate: Duration,
    /// Longest wait once it was taken.
    wait: Duration,
    /// Longest backlog of prompts.
    backlog: Duration,
}

async fn ask_owner(
    node: &SharedNode,
    request: &CallerRequest,
    home: &Upstream,
    patience: Patience,
) -> Result<(Place, Option<u64>), NoPlace> {
    let (model, adapter) = split_model(request.model());
    let call = PlaceCall {
        request: request.marks.request_id.clone(),
        upstream: home.id.clone(),
        model,
        adapter,
        rank: request.route.rank,
        prompt_tokens: request.marks.prompt_tokens,
        max_estimate_ms: patience.estimate.as_millis() as u32,
        wait_ms: patience.wait.as_millis() as u32,
        max_backlog_ms: patience.backlog.as_millis() as u32,
    };
    if let Some(local) = node.engines.place(node, &call) {
        let mut place = local.map_err(NoPlace::Refused)?;
        return match place.answer().await {
            PlaceAnswer::Granted(version) => Ok((Place::Local(place), version)),
            PlaceAnswer::Refused(again) => Err(NoPlace::Refused(again)),
        };
    }
    let peer = {
        let (owners, hosts) = (node.owners.borrow(), node.hosts.borrow());
        let owner = owners.get(&home.id).ok_or(NoPlace::NoOwner)?;
        let host = &owner.record.host;
        match hosts.find(host) {
            Some(beat) if hosts.is_live(host, node.now()) => beat.peer_address,
            Some(_silent) => return Err(NoPlace::NoOwner),
            // Not heard of yet, as after a common restart.
            None => node.peers.registered_address(host).ok_or(NoPlace::NoOwner)?,
        }
    };
    let (place, version) = node.peers.place(peer, call).await?;
    Ok((Place::Remote(place), version))
}

/// Lists the engines that should run a request, the stable home of its adapter first.
fn homes(node: &SharedNode, request: &CallerRequest, avoided: &[String]) -> Vec<Arc<Upstream>> {
    let upstreams = node.upstreams.borrow();
    let trust = node.trust.borrow();
    let now = node.now();
    let is_usable = |upstream: &&Arc<Upstream>| {
        !trust.is_ejected(&upstream.id, now) && !avoided.contains(&upstream.id)
    };
    let mut usable: Vec<&Arc<Upstream>> =
        upstreams.ready(&request.service).filter(is_usable).collect();
    let model = request.model();
    let (base, _adapter) = split_model(model);
    let holds_base = |upstream: &&Arc<Upstream>| {
        upstream.resident_models.iter().any(|place| place.model == base)
    };
    // Engines that were just started hold nothing yet.
    if usable.iter().any(holds_base) {
        usable.retain(holds_base);
    }
    // A request for the base model alone can run anywhere; its identity spreads it.
    let key = if model.contains('/') { model } else { &request.marks.request_id };
    let ranked = rank_engines(key, usable.iter().map(|upstream| upstream.id.as_str()));
    let ranked = ranked.into_iter().take(MAX_HOMES);
    ranked.filter_map(|id| upstreams.find(id).cloned()).collect()
}

fn split_model(model: &str) -> (String, Option<String>) {
    match model.split_once('/') {
        Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
        None => (model.to_owned(), None),
    }
}

/// Remembers where an adapter answered.
fn note_adapter(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Upstream,
    status: http::StatusCode,
) {
    if status.is_success() {
        node.seen_adapters.borrow_mut().record(&upstream.id, request.model(), node.now());
    }
}

fn is_believed_resident(node: &SharedNode, upstream: &Upstream, model: &str) -> bool {
    node.seen_adapters.borrow().is_presumed_resident(&upstream.id, model, node.now())
        || is_registered_resident(upstream, model)
}

/// Reports whether the record of an engine, as this host read it in the store, names an adapter.
fn is_registered_resident(upstream: &Upstream, model: &str) -> bool {
    let (model, adapter) = split_model(model);
    upstream.resident_models.iter().any(|place| {
        place.model == model
            && adapter
                .as_ref()
                .is_none_or(|adapter| place.adapters.iter().any(|(name, _version)| name == adapter))
    })
}
