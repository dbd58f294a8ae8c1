//! Links to other hosts: exchange of heartbeats, and grants for engines that they own.

use crate::{
    node::{Node, SharedNode},
    quarantine_news,
};
use rail_member::{HeartbeatUpdate, HostHeartbeat, HostView, RecordKind};
use rail_peer::{
    GrantRelease, GrantReply, GrantRequest, IncomingCall, PeerMesh, PeerReply, PeerRequest,
    ReplyStream, WorkspaceGrantRequest,
};
use rail_revision::Era;
use rail_runtime::Keys;
use rail_site::{Freshness, MetadataStore};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// Kind of the store's records by which hosts discover each other.
const HOST_KIND: &str = "rail-hosts";
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between heartbeats during [`JOIN_PERIOD`].
const JOIN_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the start in which a host joins the others.
const JOIN_PERIOD: Duration = Duration::from_millis(1500);
/// Registered hosts that are contacted at once after a listing.
const MAX_JOIN_CONTACTS: usize = 4;
/// Timeout of a heartbeat exchange.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
/// Heartbeat intervals between two listings of the host records while other hosts are known.
const HEARTBEATS_PER_HOST_LISTING: u32 = 100;
/// Time in which an owner must grant, refuse or queue a request.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Time without a reply after which the link to a host counts as dead.
const DEAD_LINK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time added to the longest wait of a request when waiting for the owner's decision.
const DECISION_SLACK: Duration = Duration::from_millis(100);
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Record in the store by which other hosts find a host before its first heartbeat.
#[derive(Debug, Serialize, Deserialize)]
struct HostRecord {
    peer_address: SocketAddr,
    process: u64,
}

/// Links to other hosts and their registered addresses.
#[derive(Debug, Default)]
pub struct Peers {
    mesh: RefCell<Option<PeerMesh>>,
    heartbeat_count: Cell<u64>,
    /// Peer addresses from the store, for hosts without a heartbeat yet.
    registered: RefCell<HashMap<String, SocketAddr>>,
    /// Hosts that were seen in heartbeats or as owners. The store may lose their records.
    seen: RefCell<BTreeSet<String>>,
    /// Time of the first call without a reply, for hosts that did not reply to their last call.
    silent_since: RefCell<HashMap<SocketAddr, Instant>>,
}

/// A grant by the owner on another host; dropping it releases the grant.
#[derive(Debug)]
pub struct RemoteGrant {
    call: Option<ReplyStream>,
}

impl RemoteGrant {
    /// Releases the grant and reports to the owner how the request ended.
    pub fn release(mut self, release: GrantRelease) {
        if let Some(call) = self.call.take() {
            call.stop(release.code().into());
        }
    }
}

/// Why an engine's owner gave no grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantRefusal {
    /// The request can't start in time; the caller may retry after this time.
    Refused(Duration),
    /// The host does not own the engine or does not reply.
    NoOwner,
}

impl Peers {
    /// Opens the endpoint for links, once the keys are known.
    ///
    /// # Errors
    /// Fails if the address can't be bound or the keys are invalid.
    pub fn open(
        &self,
        ip: IpAddr,
        port: u16,
        keys: &Keys,
    ) -> rail_peer::Result<mpsc::Receiver<IncomingCall>> {
        let (mesh, incoming) = PeerMesh::bind(SocketAddr::new(ip, port), keys)?;
        *self.mesh.borrow_mut() = Some(mesh);
        Ok(incoming)
    }

    /// Returns the mesh of links, once the endpoint is open.
    pub fn mesh(&self) -> Option<PeerMesh> {
        self.mesh.borrow().clone()
    }

    /// Returns the registered peer address of a host.
    pub fn registered_address(&self, host: &str) -> Option<SocketAddr> {
        self.registered.borrow().get(host).copied()
    }

    /// Returns the number of hosts that the store registers.
    pub fn registered_count(&self) -> usize {
        self.registered.borrow().len()
    }

    /// Returns whether the store registers this host and no other one.
    pub fn is_only_host(&self, own: &str) -> bool {
        let registered = self.registered.borrow();
        registered.len() == 1 && registered.contains_key(own)
    }

    /// Remembers a host that a heartbeat or an ownership record names.
    pub fn record_seen(&self, host: &str) {
        let mut seen = self.seen.borrow_mut();
        if !seen.contains(host) {
            seen.insert(host.to_owned());
        }
    }

    /// Returns whether every host that this one has heard of has read the owners of engines from an
    /// era of the store.
    pub fn have_all_read_owners(&self, hosts: &HostView, era: Era) -> bool {
        let (registered, seen) = (self.registered.borrow(), self.seen.borrow());
        let named = registered.keys().chain(seen.iter());
        !registered.is_empty() && hosts.have_all_read_owners(era, named)
    }

    /// Returns the address for callers of each registered host; the port is the same on all hosts.
    pub fn registered_caller_addresses(&self, port: u16) -> BTreeMap<String, SocketAddr> {
        let registered = self.registered.borrow();
        let caller = |peer: &SocketAddr| SocketAddr::new(peer.ip(), port);
        registered.iter().map(|(host, peer)| (host.clone(), caller(peer))).collect()
    }

    /// Requests a grant from the owner of an engine on another host.
    ///
    /// # Errors
    /// Returns why there is no grant.
    pub async fn request_grant(
        &self,
        peer: SocketAddr,
        call: GrantRequest,
        workspace: Option<&str>,
    ) -> Result<(RemoteGrant, Option<u64>), GrantRefusal> {
        let mesh = self.mesh().ok_or(GrantRefusal::NoOwner)?;
        let decision_timeout = Duration::from_millis(u64::from(call.wait_ms)) + DECISION_SLACK;
        let first_reply = async {
            let mut replies = call_owner(&mesh, peer, call, workspace).await.ok()?;
            let reply = replies.next().await.ok()??;
            Some((replies, reply))
        };
        let Some((mut replies, mut reply)) =
            timeout(FIRST_REPLY_TIMEOUT, first_reply).await.ok().flatten()
        else {
            self.record_silence(&mesh, peer);
            return Err(GrantRefusal::NoOwner);
        };
        self.silent_since.borrow_mut().remove(&peer);
        if reply == PeerReply::Grant(GrantReply::Queued) {
            let decision = timeout(decision_timeout, replies.next()).await;
            reply = decision.ok().and_then(Result::ok).flatten().ok_or(GrantRefusal::NoOwner)?;
        }
        match reply {
            PeerReply::Grant(GrantReply::Granted(version)) => {
                Ok((RemoteGrant { call: Some(replies) }, version))
            }
            PeerReply::Grant(GrantReply::Refused(retry_after_ms)) => {
                Err(GrantRefusal::Refused(Duration::from_millis(u64::from(retry_after_ms))))
            }
            _ => Err(GrantRefusal::NoOwner),
        }
    }

    /// Records that a host did not reply to a call, and discards the link to it after
    /// [`DEAD_LINK_TIMEOUT`] without a reply. The link isn't discarded earlier, since opening new links
    /// would add load to a host that is merely busy.
    fn record_silence(&self, mesh: &PeerMesh, peer: SocketAddr) {
        let mut silent_since = self.silent_since.borrow_mut();
        let since = *silent_since.entry(peer).or_insert_with(Instant::now);
        if since.elapsed() >= DEAD_LINK_TIMEOUT {
            silent_since.remove(&peer);
            mesh.remove_link(peer);
        }
    }

    async fn exchange_heartbeats(
        &self,
        peer: SocketAddr,
        updates: Vec<HeartbeatUpdate>,
        heartbeats: Vec<HostHeartbeat>,
    ) -> Option<(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>)> {
        let mesh = self.mesh()?;
        let exchange = async {
            let mut replies =
                mesh.call(peer, &PeerRequest::HeartbeatUpdates(updates, heartbeats)).await.ok()?;
            match replies.next().await {
                Ok(Some(PeerReply::HeartbeatUpdates(updates, heartbeats))) => {
                    Some((updates, heartbeats))
                }
                _ => None,
            }
        };
        let exchanged = timeout(HEARTBEAT_TIMEOUT, exchange).await.ok().flatten();
        if exchanged.is_none() {
            mesh.remove_link(peer);
        }
        exchanged
    }
}

/// Sends a grant request with the workspace, or without it to a host of an earlier build.
async fn call_owner(
    mesh: &PeerMesh,
    peer: SocketAddr,
    grant: GrantRequest,
    workspace: Option<&str>,
) -> rail_peer::Result<ReplyStream> {
    let Some(workspace) = workspace.map(str::to_owned) else {
        return mesh.call(peer, &PeerRequest::Grant(grant)).await;
    };
    let request = WorkspaceGrantRequest { grant: grant.clone(), workspace };
    match mesh.call(peer, &PeerRequest::WorkspaceGrant(request)).await {
        Err(rail_peer::Error::OldFormat) => mesh.call(peer, &PeerRequest::Grant(grant)).await,
        result => result,
    }
}

/// Spawns the tasks that send heartbeats and keep the host record.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(send_heartbeats(Rc::clone(node)));
    actix_rt::spawn(maintain_registration(Rc::clone(node)));
}

/// Records a new heartbeat of this host in its own view of the hosts.
pub fn renew_own_heartbeat(node: &Node) {
    let count = node.peers.heartbeat_count.get() + 1;
    node.peers.heartbeat_count.set(count);
    let settings = &node.settings;
    let config_version = node.config_version();
    let heartbeat = HostHeartbeat {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_address,
        peer_address: SocketAddr::new(settings.ip, settings.peer_port),
        started_unix_ms: node.started_unix_ms,
        count,
        is_ready: node.is_ready(),
        in_flight: node.in_flight.get(),
        capacity_milli: (node.reloadable_settings.get().cores * 1000.0) as u32,
        config_version,
        is_fresh: node.has_recent_records(),
        owners_era: node.registry.revision(RecordKind::Owners).era,
    };
    node.hosts.borrow_mut().record(heartbeat, node.now());
}

/// Sends the current state of this host to every live host at once.
pub async fn announce_own_state(node: &SharedNode) {
    renew_own_heartbeat(node);
    let now = node.now();
    let (updates, peers) = {
        let hosts = node.hosts.borrow();
        let peers = hosts.live(now).filter(|heartbeat| heartbeat.host != node.settings.host);
        let peers: Vec<SocketAddr> = peers.map(|heartbeat| heartbeat.peer_address).collect();
        (hosts.updates(now), peers)
    };
    let sends = peers
        .into_iter()
        .map(|peer| node.peers.exchange_heartbeats(peer, updates.clone(), Vec::new()));
    futures_util::future::join_all(sends).await;
}

async fn send_heartbeats(node: SharedNode) {
    loop {
        renew_own_heartbeat(&node);
        let now = node.now();
        let peers = {
            let (hosts, settings) = (node.hosts.borrow(), &node.settings);
            hosts.choose_partners(&settings.host, &settings.zone, now, &mut rand::rng())
        };
        for (index, peer) in peers.into_iter().enumerate() {
            let node = Rc::clone(&node);
            actix_rt::spawn(async move {
                gossip_with(&node, peer).await;
                // One comparison of records per heartbeat suffices.
                if index == 0 {
                    quarantine_news::exchange_with(&node, peer).await;
                }
            });
        }
        node.hosts.borrow_mut().prune(now);
        let is_joining = node.now() < JOIN_PERIOD;
        tokio::time::sleep(if is_joining { JOIN_INTERVAL } else { HEARTBEAT_INTERVAL }).await;
    }
}

/// Exchanges heartbeats with a host, then sends it those of hosts that it does not know.
async fn gossip_with(node: &SharedNode, peer: SocketAddr) {
    let now = node.now();
    let (updates, own) = {
        let hosts = node.hosts.borrow();
        let own = hosts.find(&node.settings.host).cloned();
        (hosts.updates(now), own.into_iter().collect())
    };
    let Some((updates, heartbeats)) = node.peers.exchange_heartbeats(peer, updates, own).await
    else {
        return;
    };
    merge_heartbeats(node, &updates, heartbeats);
    let missing = node.hosts.borrow().missing_from(&updates, node.now());
    if !missing.is_empty() {
        node.peers.exchange_heartbeats(peer, Vec::new(), missing).await;
    }
}

/// Merges the heartbeats that another host sent.
pub fn merge_heartbeats(node: &Node, updates: &[HeartbeatUpdate], heartbeats: Vec<HostHeartbeat>) {
    let now = node.now();
    let mut hosts = node.hosts.borrow_mut();
    for heartbeat in heartbeats {
        node.peers.record_seen(&heartbeat.host);
        hosts.record(heartbeat, now);
    }
    for update in updates {
        hosts.apply_update(update, now);
    }
}

/// Writes this host's record to the store and lists the records there to discover other hosts.
async fn maintain_registration(node: SharedNode) {
    // Most hosts restart: their records exist, and a stale listing suffices.
    list_registered_hosts(&node, Freshness::MayBeStale).await;
    // A store that has returned from an older copy may have lost the record.
    let mut written_in = is_registered(&node).then(|| node.store.era());
    let mut iteration = 1_u32;
    loop {
        let era = node.store.era();
        if written_in != Some(era) && write_host_record(&node.store, &node).await {
            let is_first = written_in.replace(era).is_none();
            if !is_first {
                list_registered_hosts(&node, Freshness::Latest).await;
            }
        }
        let knows_no_live_host = node.hosts.borrow().len() < 2;
        if knows_no_live_host && !knows_other_hosts(&node) {
            list_registered_hosts(&node, Freshness::Latest).await;
        } else if iteration.is_multiple_of(HEARTBEATS_PER_HOST_LISTING) {
            list_registered_hosts(&node, Freshness::MayBeStale).await;
        } else if knows_no_live_host {
            contact_registered_hosts(&node);
        }
        iteration = iteration.wrapping_add(1);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn write_host_record(store: &MetadataStore, node: &Node) -> bool {
    let host = &node.settings.host;
    let record = HostRecord {
        peer_address: SocketAddr::new(node.settings.ip, node.settings.peer_port),
        process: node.started_unix_ms,
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    match store.create(HOST_KIND, host, value.clone(), STORE_CALL_TIMEOUT).await {
        Ok(_) => true,
        Err(rail_site::StoreError::Conflict(Some(mut object))) => {
            // A host keeps its address, so its record from an earlier start remains usable.
            let has_same_address = serde_json::from_value::<HostRecord>(object.value.clone())
                .is_ok_and(|known| known.peer_address == record.peer_address);
            object.value = value;
            has_same_address || store.replace(HOST_KIND, *object, STORE_CALL_TIMEOUT).await.is_ok()
        }
        Err(_) => false,
    }
}

/// Returns whether a listing contained this host with its current address.
fn is_registered(node: &Node) -> bool {
    let own = SocketAddr::new(node.settings.ip, node.settings.peer_port);
    node.peers.registered_address(&node.settings.host) == Some(own)
}

/// Returns whether a listing contained another host.
fn knows_other_hosts(node: &Node) -> bool {
    let registered = node.peers.registered.borrow();
    registered.keys().any(|host| *host != node.settings.host)
}

/// Lists the host records, then contacts registered hosts.
async fn list_registered_hosts(node: &SharedNode, freshness: Freshness) {
    let Ok(listing) = node.store.list(HOST_KIND, freshness, STORE_CALL_TIMEOUT).await else {
        return;
    };
    for object in listing.objects {
        let Ok(record) = serde_json::from_value::<HostRecord>(object.value) else { continue };
        node.peers.registered.borrow_mut().insert(object.name, record.peer_address);
    }
    if listing.is_complete {
        node.return_guard.borrow_mut().record_hosts_listed();
    }
    contact_registered_hosts(node);
}

/// Exchanges heartbeats with some registered hosts without a recent heartbeat.
pub fn contact_registered_hosts(node: &SharedNode) {
    let now = node.now();
    let unreached = {
        let (registered, hosts) = (node.peers.registered.borrow(), node.hosts.borrow());
        let is_unreached = |host: &str| !hosts.is_live(host, now) && host != node.settings.host;
        let unreached = registered.iter().filter(|(host, _)| is_unreached(host));
        unreached.map(|(_, peer)| *peer).choose_multiple(&mut rand::rng(), MAX_JOIN_CONTACTS)
    };
    for peer in unreached {
        let node = Rc::clone(node);
        actix_rt::spawn(async move { gossip_with(&node, peer).await });
    }
}
