//! Links to other hosts: beats and requests for places on their engines.

use crate::{
    engines::PlaceAnswer,
    feed,
    node::{Node, SharedNode},
};
use rail_member::{HeartbeatUpdate, HostHeartbeat};
use rail_peer::{
    Incoming, PeerMesh, PeerReply, PeerRequest, PlaceCall, PlaceReply, ReplySender, ReplyStream,
    place_end,
};
use rail_place::GrantOutcome;
use rail_runtime::Keys;
use rail_site::{Freshness, MetadataStore};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// Kind of the records by which hosts find each other.
const HOST_KIND: &str = "rail-hosts";
/// Interval between beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between beats while a host meets the others after its start.
const MEETING_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the start for which it meets the others.
const MEETING_TIME: Duration = Duration::from_millis(1500);
/// Hosts that are met at once after a look at the store.
const MAX_MEETINGS: usize = 4;
/// Hosts that each beat goes to.
const BEAT_FANOUT: usize = 2;
/// Time in which a host must answer a beat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(700);
/// Beats between looks at the records of hosts, while others are known.
const BEATS_PER_LISTING: u32 = 100;
/// Time in which an owner must react to a request for a place.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Silence after which the link to a host counts as dead.
const DEAD_LINK_TIME: Duration = Duration::from_millis(500);
/// Time beyond the stated wait in which an owner must decide.
const DECISION_SLACK: Duration = Duration::from_millis(100);
/// Interval at which a granted place looks whether its holder is still there.
const LOSS_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which the store must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How a host is found before its first beat.
#[derive(Debug, Serialize, Deserialize)]
struct HostRecord {
    peer_address: SocketAddr,
    process: u64,
}

/// Links to other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    mesh: RefCell<Option<PeerMesh>>,
    count: Cell<u64>,
    /// Addresses of hosts as registered in the store, for hosts that were not heard of yet.
    registered: RefCell<HashMap<String, SocketAddr>>,
    /// Since when hosts have not answered.
    silent_since: RefCell<HashMap<SocketAddr, Instant>>,
}

/// A place granted by the owner on another host; dropping it ends the grant.
#[derive(Debug)]
pub struct RemotePlace {
    call: Option<ReplyStream>,
}

impl RemotePlace {
    /// Tells how the request ended, in place of an ordinary end.
    pub fn end(mut self, end: GrantOutcome) {
        let code = match end {
            GrantOutcome::Ended => place_end::ENDED,
            GrantOutcome::NotReady => place_end::NOT_READY,
            GrantOutcome::Absent => place_end::ABSENT,
        };
        if let Some(call) = self.call.take() {
            call.stop(code);
        }
    }
}

/// Why an owner on another host gave no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// It can't start in time; it may come back after this time.
    Refused(Duration),
    /// The host does not own the engine, or does not react.
    NoOwner,
}

impl Peers {
    /// Opens the endpoint once keys are known.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the keys are refused.
    pub fn open(
        &self,
        ip: IpAddr,
        port: u16,
        keys: &Keys,
    ) -> rail_peer::Result<mpsc::Receiver<Incoming>> {
        let (mesh, incoming) = PeerMesh::bind(SocketAddr::new(ip, port), keys)?;
        *self.mesh.borrow_mut() = Some(mesh);
        Ok(incoming)
    }

    /// Gives the links, once they are open.
    pub fn mesh(&self) -> Option<PeerMesh> {
        self.mesh.borrow().clone()
    }

    /// Gives the registered address of a host.
    pub fn registered_address(&self, host: &str) -> Option<SocketAddr> {
        self.registered.borrow().get(host).copied()
    }

    /// Gives where callers find each registered host; ports are the same on all of them.
    pub fn registered_callers(&self, port: u16) -> BTreeMap<String, SocketAddr> {
        let registered = self.registered.borrow();
        let caller = |peer: &SocketAddr| SocketAddr::new(peer.ip(), port);
        registered.iter().map(|(host, peer)| (host.clone(), caller(peer))).collect()
    }

    /// Asks the owner of an engine on another host whether a request may start.
    ///
    /// # Errors
    /// Tells why there is no place.
    pub async fn place(
        &self,
        peer: SocketAddr,
        call: PlaceCall,
    ) -> Result<(RemotePlace, Option<u64>), NoPlace> {
        let mesh = self.mesh().ok_or(NoPlace::NoOwner)?;
        let wait = Duration::from_millis(u64::from(call.wait_ms)) + DECISION_SLACK;
        let request = PeerRequest::Place(call);
        let first = async {
            let mut replies = mesh.call(peer, &request).await.ok()?;
            let reply = replies.next().await.ok()??;
            Some((replies, reply))
        };
        let Some((mut replies, mut reply)) =
            timeout(FIRST_REPLY_TIMEOUT, first).await.ok().flatten()
        else {
            self.note_silence(&mesh, peer);
            return Err(NoPlace::NoOwner);
        };
        self.silent_since.borrow_mut().remove(&peer);
        if reply == PeerReply::Place(PlaceReply::Queued) {
            let decision = timeout(wait, replies.next()).await;
            reply = decision.ok().and_then(Result::ok).flatten().ok_or(NoPlace::NoOwner)?;
        }
        match reply {
            PeerReply::Place(PlaceReply::Granted(version)) => {
                Ok((RemotePlace { call: Some(replies) }, version))
            }
            PeerReply::Place(PlaceReply::Refused(again_ms)) => {
                Err(NoPlace::Refused(Duration::from_millis(u64::from(again_ms))))
            }
            _ => Err(NoPlace::NoOwner),
        }
    }

    /// Opens another link to a host that has been silent for some time; one that is merely busy
    /// would have even more to do with new links.
    fn note_silence(&self, mesh: &PeerMesh, peer: SocketAddr) {
        let mut silent_since = self.silent_since.borrow_mut();
        let since = *silent_since.entry(peer).or_insert_with(Instant::now);
        if since.elapsed() >= DEAD_LINK_TIME {
            silent_since.remove(&peer);
            mesh.forget(peer);
        }
    }

    async fn exchange_beats(
        &self,
        peer: SocketAddr,
        pulses: Vec<HeartbeatUpdate>,
        beats: Vec<HostHeartbeat>,
    ) -> Option<(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>)> {
        let mesh = self.mesh()?;
        let exchange = async {
            let mut replies = mesh.call(peer, &PeerRequest::Beats(pulses, beats)).await.ok()?;
            match replies.next().await {
                Ok(Some(PeerReply::Beats(pulses, beats))) => Some((pulses, beats)),
                _ => None,
            }
        };
        let exchanged = timeout(BEAT_TIMEOUT, exchange).await.ok().flatten();
        if exchanged.is_none() {
            mesh.forget(peer);
        }
        exchanged
    }
}

/// Starts beats and answers on this thread.
pub fn spawn(node: &SharedNode, incoming: mpsc::Receiver<Incoming>) {
    actix_rt::spawn(serve(Rc::clone(node), incoming));
    actix_rt::spawn(beat(Rc::clone(node)));
    actix_rt::spawn(register(Rc::clone(node)));
}

/// Makes the newest beat of this host and takes it into the view.
pub fn renew_own_beat(node: &Node) {
    let count = node.peers.count.get() + 1;
    node.peers.count.set(count);
    let settings = &node.settings;
    let config_version = node.routes.borrow().as_ref().map_or(0, |routes| routes.version);
    let beat = HostHeartbeat {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_address,
        peer_address: SocketAddr::new(settings.ip, settings.peer_port),
        started_unix_ms: node.started_unix_ms,
        count,
        is_ready: node.is_ready(),
        in_flight: node.in_flight.get(),
        capacity_milli: (node.limits.get().cores * 1000.0) as u32,
        config_version,
        is_fresh: node.store_health.is_fresh(node.now()),
    };
    node.hosts.borrow_mut().record(beat, node.now());
}

/// Tells every live host at once that this one changed its state.
pub async fn announce_own_state(node: &SharedNode) {
    renew_own_beat(node);
    let now = node.now();
    let (pulses, peers) = {
        let hosts = node.hosts.borrow();
        let peers = hosts.live(now).filter(|beat| beat.host != node.settings.host);
        let peers: Vec<SocketAddr> = peers.map(|beat| beat.peer_address).collect();
        (hosts.updates(now), peers)
    };
    let sends =
        peers.into_iter().map(|peer| node.peers.exchange_beats(peer, pulses.clone(), Vec::new()));
    futures_util::future::join_all(sends).await;
}

async fn beat(node: SharedNode) {
    loop {
        renew_own_beat(&node);
        let now = node.now();
        let peers = {
            let hosts = node.hosts.borrow();
            let others = hosts.live(now).filter(|beat| beat.host != node.settings.host);
            let peers = others.map(|beat| beat.peer_address);
            peers.choose_multiple(&mut rand::rng(), BEAT_FANOUT)
        };
        for peer in peers {
            let node = Rc::clone(&node);
            actix_rt::spawn(async move { meet(&node, peer).await });
        }
        node.hosts.borrow_mut().prune(now);
        let is_new = node.now() < MEETING_TIME;
        tokio::time::sleep(if is_new { MEETING_INTERVAL } else { BEAT_INTERVAL }).await;
    }
}

/// Exchanges what both hosts know; beats of hosts that the peer does not know follow.
async fn meet(node: &SharedNode, peer: SocketAddr) {
    let now = node.now();
    let (pulses, own) = {
        let hosts = node.hosts.borrow();
        let own = hosts.find(&node.settings.host).cloned();
        (hosts.updates(now), own.into_iter().collect())
    };
    let Some((pulses, beats)) = node.peers.exchange_beats(peer, pulses, own).await else { return };
    take_beats(node, &pulses, beats);
    let missing = node.hosts.borrow().missing_from(&pulses, node.now());
    if !missing.is_empty() {
        node.peers.exchange_beats(peer, Vec::new(), missing).await;
    }
}

fn take_beats(node: &Node, pulses: &[HeartbeatUpdate], beats: Vec<HostHeartbeat>) {
    let now = node.now();
    let mut hosts = node.hosts.borrow_mut();
    for beat in beats {
        hosts.record(beat, now);
    }
    for pulse in pulses {
        hosts.apply_update(pulse, now);
    }
}

/// Keeps this host's record in the store and looks there for hosts that are not known yet.
async fn register(node: SharedNode) {
    // Most hosts restart: their records are there, and old ones are good.
    find_hosts(&node, Freshness::MayBeStale).await;
    let mut is_written = is_registered(&node);
    let mut round = 1_u32;
    loop {
        if !is_written {
            is_written = write_record(&node.store, &node).await;
        }
        let is_alone = node.hosts.borrow().len() < 2;
        if is_alone && !knows_others(&node) {
            find_hosts(&node, Freshness::Latest).await;
        } else if round.is_multiple_of(BEATS_PER_LISTING) {
            find_hosts(&node, Freshness::MayBeStale).await;
        } else if is_alone {
            meet_registered(&node);
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(BEAT_INTERVAL).await;
    }
}

async fn write_record(store: &MetadataStore, node: &Node) -> bool {
    let host = &node.settings.host;
    let record = HostRecord {
        peer_address: SocketAddr::new(node.settings.ip, node.settings.peer_port),
        process: node.started_unix_ms,
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match store.create(HOST_KIND, host, value.clone(), CALL_TIMEOUT).await {
        Ok(_) => true,
        Err(rail_site::StoreError::Conflict(Some(mut object))) => {
            // The address of a host does not change; its record from an earlier start is good.
            let is_same = serde_json::from_value::<HostRecord>(object.value.clone())
                .is_ok_and(|known| known.peer_address == record.peer_address);
            object.value = value;
            is_same || store.replace(HOST_KIND, *object, CALL_TIMEOUT).await.is_ok()
        }
        Err(_) => false,
    }
}

/// Reports whether the store was seen to hold this host's address.
fn is_registered(node: &Node) -> bool {
    let own = SocketAddr::new(node.settings.ip, node.settings.peer_port);
    node.peers.registered_address(&node.settings.host) == Some(own)
}

/// Reports whether the store was seen to hold the address of another host.
fn knows_others(node: &Node) -> bool {
    let registered = node.peers.registered.borrow();
    registered.keys().any(|host| *host != node.settings.host)
}

async fn find_hosts(node: &SharedNode, freshness: Freshness) {
    let Ok(listing) = node.store.list(HOST_KIND, freshness, CALL_TIMEOUT).await else { return };
    for object in listing.objects {
        let Ok(record) = serde_json::from_value::<HostRecord>(object.value) else { continue };
        node.peers.registered.borrow_mut().insert(object.name, record.peer_address);
    }
    meet_registered(node);
}

/// Meets some of the registered hosts that were not heard of lately.
fn meet_registered(node: &SharedNode) {
    let now = node.now();
    let unknown = {
        let (registered, hosts) = (node.peers.registered.borrow(), node.hosts.borrow());
        let is_unknown = |host: &str| !hosts.is_live(host, now) && host != node.settings.host;
        let unknown = registered.iter().filter(|(host, _)| is_unknown(host));
        unknown.map(|(_, peer)| *peer).choose_multiple(&mut rand::rng(), MAX_MEETINGS)
    };
    for peer in unknown {
        let node = Rc::clone(node);
        actix_rt::spawn(async move { meet(&node, peer).await });
    }
}

async fn serve(node: SharedNode, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { peer, request, mut replies }) = incoming.recv().await {
        match request {
            PeerRequest::Beats(pulses, beats) => {
                take_beats(&node, &pulses, beats);
                let now = node.now();
                let hosts = node.hosts.borrow();
                let missing = hosts.missing_from(&pulses, now);
                // A message of beats alone brings what this host lacked; it wants no answer.
                let known = if pulses.is_empty() { Vec::new() } else { hosts.updates(now) };
                let missing = if pulses.is_empty() { Vec::new() } else { missing };
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::Beats(known, missing)).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::Config => {
                actix_rt::spawn(feed::serve_config(Rc::clone(&node), replies));
            }
            PeerRequest::Feed => {
                actix_rt::spawn(feed::serve(Rc::clone(&node), replies));
            }
            PeerRequest::Place(call) => {
                actix_rt::spawn(serve_place(Rc::clone(&node), peer, call, replies));
            }
            // Calls between the daemons; the dropped sender tells that nobody serves them here.
            PeerRequest::Heartbeats(_)
            | PeerRequest::Work(_)
            | PeerRequest::OwnHeartbeat(_)
            | PeerRequest::Configuration { .. }
            | PeerRequest::LoadPermit(_)
            | PeerRequest::Witness(_) => {}
        }
    }
}

async fn serve_place(
    node: SharedNode,
    peer: SocketAddr,
    call: PlaceCall,
    mut replies: ReplySender,
) {
    let mut place = match node.engines.place(&node, &call) {
        None => return reply_last(replies, PlaceReply::NotOwner).await,
        Some(Err(again)) => {
            let again_ms = again.as_millis() as u32;
            return reply_last(replies, PlaceReply::Refused(again_ms)).await;
        }
        Some(Ok(place)) => place,
    };
    let answer = {
        // A place that is free is granted within one turn of the loop; only longer waits are told.
        let mut answer = std::pin::pin!(place.answer());
        let quick = timeout(Duration::from_millis(5), &mut answer).await;
        if let Ok(answer) = quick {
            answer
        } else {
            if replies.send(&PeerReply::Place(PlaceReply::Queued)).await.is_err() {
                return;
            }
            tokio::select! {
                answer = &mut answer => answer,
                _code = replies.stop_code() => return,
            }
        }
    };
    match answer {
        PlaceAnswer::Refused(again) => {
            let again_ms = again.as_millis() as u32;
            reply_last(replies, PlaceReply::Refused(again_ms)).await;
        }
        PlaceAnswer::Granted(version) => {
            let reply = PeerReply::Place(PlaceReply::Granted(version));
            if replies.send(&reply).await.is_err() {
                return;
            }
            let code = tokio::select! {
                code = replies.stop_code() => code,
                () = wait_for_loss(&node, peer) => None,
            };
            let end = match code {
                Some(code) if code == u64::from(place_end::NOT_READY) => GrantOutcome::NotReady,
                Some(code) if code == u64::from(place_end::ABSENT) => GrantOutcome::Absent,
                Some(_) | None => GrantOutcome::Ended,
            };
            place.end(end);
        }
    }
}

/// Waits until the process behind a peer address is gone or has started anew.
async fn wait_for_loss(node: &Node, peer: SocketAddr) {
    let started_unix_ms = |node: &Node| {
        let hosts = node.hosts.borrow();
        let mut live = hosts.live(node.now());
        live.find(|beat| beat.peer_address == peer).map(|beat| beat.started_unix_ms)
    };
    let first = started_unix_ms(node);
    loop {
        tokio::time::sleep(LOSS_INTERVAL).await;
        if started_unix_ms(node) != first {
            return;
        }
    }
}

async fn reply_last(mut replies: ReplySender, reply: PlaceReply) {
    if replies.send(&PeerReply::Place(reply)).await.is_ok() {
        replies.finish();
    }
}
