//! Software versions at which streams began, so that a caller can resume one at any host.
//!
//! Each host remembers the streams that it began and tells two others of them. While a service has
//! one version, these are backups of its own. Once a second one serves, every host tells all that
//! it knows to the two hosts that keep the origins of the service's streams, and a host that does
//! not know a stream asks them, then the store.

use crate::{
    node::{Node, SharedNode},
    request::CallerRequest,
    stored_origins::{self, StreamStore},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use rail_origin::{
    AskedHosts, LiveHost, OriginKnowledge, OriginSource, OriginTable, OriginUnknown, SeenVersions,
    SoftwarePin, StreamKey, StreamsByVersion, rank_backups, rank_keepers,
};
use rail_peer::{PeerReply, PeerRequest, StreamOriginRequest, StreamStarts};
use rail_route::{ServiceId, SoftwareVersion, Upstream};
use rail_runtime::time_since_boot;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Other hosts that are told of each stream.
const TOLD_HOSTS: usize = 2;
/// Hosts that are tried until so many have replied.
const MAX_TRIED_HOSTS: usize = 4;
/// Hosts that are asked; a host that joins may keep a place in the order without knowing earlier
/// streams.
const ASKED_HOSTS: usize = 3;
/// Shortest time between two messages of new streams while a service has several versions.
const MIXED_TELL_INTERVAL: Duration = Duration::from_millis(10);
/// The same while each service has one version.
const CALM_TELL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a host must reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a stream may be found, if a keeper or the store did not answer.
const SILENT_SOURCE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What this host knows of the origins of streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    tables: RefCell<BTreeMap<ServiceId, OriginTable>>,
    seen: RefCell<SeenVersions>,
    /// Streams that other hosts have yet to learn.
    to_tell: RefCell<BTreeMap<ServiceId, StreamsByVersion>>,
    is_telling_due: Notify,
    /// Streams in the store.
    pub store: StreamStore,
}

impl StreamOrigins {
    /// Returns what this host alone knows of a stream.
    fn knowledge(&self, service: &str, stream: Option<StreamKey>, node: &Node) -> OriginKnowledge {
        let tables = self.tables.borrow();
        if let Some(version) = stream.and_then(|stream| tables.get(service)?.find(stream)) {
            return OriginKnowledge::Began(version);
        }
        self.seen.borrow().knowledge(service, node.now(), node.are_upstreams_recent())
    }

    fn record(&self, service: &str, software: &str, stream: StreamKey, now: Duration) {
        let mut tables = self.tables.borrow_mut();
        tables.entry(service.to_owned()).or_default().record(stream, software, now);
    }

    fn queue(&self, service: &str, software: &str, streams: impl IntoIterator<Item = StreamKey>) {
        let mut to_tell = self.to_tell.borrow_mut();
        let versions = to_tell.entry(service.to_owned()).or_default();
        versions.entry(software.to_owned()).or_default().extend(streams);
        self.is_telling_due.notify_one();
    }

    /// Returns whether streams of a service may have begun at several versions lately.
    fn is_mixed(&self, service: &str) -> bool {
        self.seen.borrow().is_mixed(service)
    }

    /// Records that a version of a service serves. From the second one on, the keepers have to know
    /// streams that began before it too.
    fn observe(&self, service: &str, software: &str, now: Duration) {
        let mut seen = self.seen.borrow_mut();
        let was_mixed = seen.is_mixed(service);
        seen.observe(service, software, now);
        if was_mixed || !seen.is_mixed(service) {
            return;
        }
        if let Some(table) = self.tables.borrow().get(service) {
            for (stream, version) in table.iter() {
                self.queue(service, version, [stream]);
            }
        }
    }
}

/// Why a stream can't be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoOrigin {
    /// Nobody knows at which version the stream began.
    Unknown(Duration),
    /// No upstream of the version serves any more.
    VersionGone,
}

/// Spawns the tasks that tell other hosts of new streams and store them.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(stored_origins::write_changed(Rc::clone(node)));
    actix_rt::spawn(tell_hosts(Rc::clone(node)));
}

/// Records the software version of a registered upstream.
pub fn observe_upstream(node: &Node, upstream: &Upstream) {
    node.stream_origins.observe(&upstream.service, &upstream.software, node.now());
}

/// Records the versions that serve, and forgets streams that no caller resumes any more.
pub fn prune(node: &Node) {
    let (origins, now) = (&node.stream_origins, node.now());
    for upstream in node.upstreams.borrow().iter() {
        observe_upstream(node, upstream);
    }
    origins.seen.borrow_mut().prune(now);
    origins.tables.borrow_mut().retain(|_, table| {
        table.prune(now);
        !table.is_empty()
    });
}

/// Records that an upstream has sent the first event of a stream that its caller may resume.
pub fn record_start(node: &Node, request: &CallerRequest, upstream: &Upstream) {
    let is_new = request.parsed_headers.last_event_id.is_none();
    if !is_new || !request.is_resumable() {
        return;
    }
    let (origins, service) = (&node.stream_origins, &request.service);
    let stream = StreamKey::of(&request.parsed_headers.request_id);
    origins.record(service, &upstream.software, stream, node.now());
    origins.queue(service, &upstream.software, [stream]);
}

/// Finds the software version at which a stream began that the caller resumes, and restricts the
/// request to it. Other requests are left as they are.
///
/// # Errors
/// Returns why the stream can't go on.
pub async fn pin_resumed(node: &SharedNode, request: &CallerRequest) -> Result<(), NoOrigin> {
    if request.parsed_headers.last_event_id.is_none() || !request.is_resumable() {
        return Ok(());
    }
    let stream = request.parsed_headers.resumes.as_deref().map(StreamKey::of);
    let found = find_origin(node, &request.service, stream).await;
    let source = found.as_ref().map_or_else(|reason| reason.name(), |(_, source)| source);
    node.metrics.stream_origins.count(source);
    request.origin_source.set(Some(source));
    let (version, _) = found.map_err(|reason| match reason {
        OriginUnknown::SourceSilent => NoOrigin::Unknown(SILENT_SOURCE_RETRY_AFTER),
        OriginUnknown::NotRecorded => NoOrigin::Unknown(request.time_left()),
    })?;
    let is_served = {
        let upstreams = node.upstreams.borrow();
        upstreams.ready(&request.service).any(|upstream| upstream.software == version)
    };
    if !is_served {
        return Err(NoOrigin::VersionGone);
    }
    *request.pin.borrow_mut() = SoftwarePin::Only(version);
    Ok(())
}

/// Returns the version at which a stream began and the source that knew it.
async fn find_origin(
    node: &SharedNode,
    service: &str,
    stream: Option<StreamKey>,
) -> Result<(SoftwareVersion, OriginSource), OriginUnknown> {
    let own = node.stream_origins.knowledge(service, stream, node);
    if let OriginKnowledge::Began(version) = own {
        return Ok((version, "this_host"));
    }
    let Answers { knowledge, asked } = match stream {
        Some(stream) => ask_keepers(node, service, stream).await,
        None => Answers::default(),
    };
    let told = own.combine(knowledge);
    let stored = if rail_origin::needs_store(&told, asked) {
        stored_origins::read(node, service, stream).await
    } else {
        None
    };
    rail_origin::decide(told, asked, stored, registered_version(node, service))
}

/// Returns the version of all registered upstreams of a service, if they have the same by recent
/// records.
fn registered_version(node: &Node, service: &str) -> Option<SoftwareVersion> {
    if !node.are_upstreams_recent() {
        return None;
    }
    let upstreams = node.upstreams.borrow();
    let of_service = upstreams.iter().filter(|upstream| upstream.service == service);
    let versions: BTreeSet<&SoftwareVersion> =
        of_service.map(|upstream| &upstream.software).collect();
    match versions.len() {
        1 => versions.first().map(ToString::to_string),
        _ => None,
    }
}

/// What other hosts know of a stream.
struct Answers {
    knowledge: OriginKnowledge,
    asked: AskedHosts,
}

impl Default for Answers {
    fn default() -> Self {
        Self { knowledge: OriginKnowledge::Unaware, asked: AskedHosts::default() }
    }
}

/// Asks the keepers of a service's streams at once, until one knows the stream.
async fn ask_keepers(node: &SharedNode, service: &str, stream: StreamKey) -> Answers {
    let others = keepers(node, service).into_iter().filter_map(Keeper::other);
    let question = StreamOriginRequest { service: service.to_owned(), stream };
    let mut questions: FuturesUnordered<_> =
        others.take(ASKED_HOSTS).map(|peer| ask(node, peer, question.clone())).collect();
    let mut answers = Answers::default();
    let knows_hosts = node.return_guard.borrow().knows_hosts(time_since_boot());
    answers.asked.is_alone = knows_hosts && node.peers.is_only_host(&node.settings.host);
    while let Some(answer) = questions.next().await {
        match answer {
            Some(knowledge) => {
                answers.asked.replied += 1;
                answers.asked.unaware += usize::from(knowledge == OriginKnowledge::Unaware);
                answers.knowledge = answers.knowledge.combine(knowledge);
            }
            None => answers.asked.silent += 1,
        }
        if matches!(answers.knowledge, OriginKnowledge::Began(_)) {
            break;
        }
    }
    answers
}

async fn ask(
    node: &SharedNode,
    peer: SocketAddr,
    question: StreamOriginRequest,
) -> Option<OriginKnowledge> {
    match call(node, peer, PeerRequest::StreamOrigin(question)).await? {
        PeerReply::StreamOrigin(knowledge) => Some(knowledge),
        _ => None,
    }
}

async fn call(node: &SharedNode, peer: SocketAddr, request: PeerRequest) -> Option<PeerReply> {
    let mesh = node.peers.mesh()?;
    let reply = async { mesh.call(peer, &request).await.ok()?.next().await.ok()? };
    timeout(REPLY_TIMEOUT, reply).await.ok().flatten()
}

/// A host that keeps the origins of a service's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Keeper {
    ThisHost,
    Other(SocketAddr),
}

impl Keeper {
    /// Returns the address of a host other than this one.
    fn other(self) -> Option<SocketAddr> {
        match self {
            Self::ThisHost => None,
            Self::Other(peer) => Some(peer),
        }
    }
}

/// Returns the live hosts in the order in which they keep the origins of a service's streams.
fn keepers(node: &Node, service: &str) -> Vec<Keeper> {
    let hosts = node.hosts.borrow();
    let names = hosts.live(node.now()).map(|heartbeat| heartbeat.host.as_str());
    let keeper = |host: &str| {
        if host == node.settings.host {
            return Some(Keeper::ThisHost);
        }
        hosts.find(host).map(|heartbeat| Keeper::Other(heartbeat.peer_address))
    };
    rank_keepers(service, names).filter_map(keeper).collect()
}

/// Returns what this host knows of a stream to a host that asks.
pub fn answer(node: &Node, question: &StreamOriginRequest) -> OriginKnowledge {
    node.stream_origins.knowledge(&question.service, Some(question.stream), node)
}

/// Returns the other hosts that back up what this host knows of streams, most preferred first.
fn backups(node: &Node) -> Vec<SocketAddr> {
    let hosts = node.hosts.borrow();
    let live = hosts.live(node.now());
    let live = live.map(|heartbeat| LiveHost { name: &heartbeat.host, zone: &heartbeat.zone });
    let ranked = rank_backups(&node.settings.host, &node.settings.zone, live);
    ranked.filter_map(|host| Some(hosts.find(host)?.peer_address)).collect()
}

/// Records streams that another host began. If their service has several versions and this host is
/// its first keeper, stores them too.
pub fn record_told(node: &Node, starts: StreamStarts) {
    let (origins, now) = (&node.stream_origins, node.now());
    let StreamStarts { service, streams } = starts;
    for (version, began) in &streams {
        origins.observe(&service, version, now);
        for stream in began {
            origins.record(&service, version, *stream, now);
        }
    }
    if origins.is_mixed(&service) && keepers(node, &service).first() == Some(&Keeper::ThisHost) {
        origins.store.add(&service, streams);
    }
}

/// Tells other hosts of new streams, at once after a pause and at a bounded rate.
async fn tell_hosts(node: SharedNode) {
    let origins = &node.stream_origins;
    loop {
        origins.is_telling_due.notified().await;
        let batches = std::mem::take(&mut *origins.to_tell.borrow_mut());
        let has_mixed = batches.keys().any(|service| origins.is_mixed(service));
        for (service, streams) in batches {
            tell(&node, &service, &streams);
        }
        let pause = if has_mixed { MIXED_TELL_INTERVAL } else { CALM_TELL_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Tells the keepers of streams of a service that has several versions, else the backups.
fn tell(node: &SharedNode, service: &str, streams: &StreamsByVersion) {
    let told: Vec<SocketAddr> = if node.stream_origins.is_mixed(service) {
        let keepers = keepers(node, service);
        if keepers.first() == Some(&Keeper::ThisHost) {
            node.stream_origins.store.add(service, streams.clone());
        }
        keepers.into_iter().filter_map(Keeper::other).collect()
    } else {
        backups(node)
    };
    let untried = Rc::new(RefCell::new(told.into_iter().take(MAX_TRIED_HOSTS)));
    for _ in 0..TOLD_HOSTS {
        let starts = StreamStarts { service: service.to_owned(), streams: streams.clone() };
        actix_rt::spawn(tell_one(Rc::clone(node), Rc::clone(&untried), starts));
    }
}

/// Tells the first host that replies of those that have not been tried.
async fn tell_one(
    node: SharedNode,
    untried: Rc<RefCell<impl Iterator<Item = SocketAddr>>>,
    starts: StreamStarts,
) {
    let request = PeerRequest::StreamStarts(starts);
    loop {
        let Some(peer) = untried.borrow_mut().next() else { return };
        if call(&node, peer, request.clone()).await.is_some() {
            return;
        }
    }
}
