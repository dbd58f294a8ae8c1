//! Passes the store's records on to other hosts, and takes them from one.

use crate::{node::SharedNode, registry};
use rail_member::{RecordKind, source::MAX_FEEDS_PER_HOST};
use rail_peer::{FeedItem, PeerReply, PeerRequest, ReplySender, ReplyStream};
use std::time::Duration;
use tokio::time::timeout;

/// Interval at which a feed without changes tells that it is alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Silence after which a feed counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);
/// Time in which a feed must start.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a host which was just started gets until its own records are fresh.
const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which it looks whether they are.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Hosts that one host feeds at most, with those that can't use the one above them.
const MAX_OUTGOING_FEEDS: usize = 2 * MAX_FEEDS_PER_HOST;

/// Why records are not taken from a host any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The host is not known any more.
    #[error("unknown_host")]
    UnknownHost,
    /// Links between hosts are not open yet.
    #[error("no_links")]
    NoLinks,
    /// It does not react.
    #[error("not_reached")]
    NotReached,
    /// It sent nothing for too long.
    #[error("silent")]
    Silent,
    /// The link ended.
    #[error("link_lost")]
    LinkLost,
    /// The feed ended before its end.
    #[error("ended")]
    Ended,
    /// It sent what is not part of a feed.
    #[error("unreadable")]
    Unreadable,
    /// It has lost the store, or feeds enough others.
    #[error("source_lost_store")]
    SourceLost,
}

/// Passes on every record and then changes, until this host loses the store or the peer leaves.
pub async fn serve(node: SharedNode, mut replies: ReplySender) {
    wait_for_fresh(&node).await;
    if !node.store_health.is_fresh(node.now())
        || node.registry.follower_count() >= MAX_OUTGOING_FEEDS
    {
        // The peer is gone if it does not hear that.
        let _gone = replies.send(&PeerReply::Feed(FeedItem::Lost)).await;
        return;
    }
    let (items, mut changes) = node.registry.subscribe();
    for item in items {
        if replies.send(&PeerReply::Feed(item)).await.is_err() {
            return;
        }
    }
    loop {
        let item = match timeout(KEEPALIVE_INTERVAL, changes.recv()).await {
            Ok(Some(item)) => item,
            // The peer was too slow and has to start anew.
            Ok(None) => FeedItem::Lost,
            Err(_elapsed) => keepalive(&node),
        };
        let is_last = item == FeedItem::Lost;
        if replies.send(&PeerReply::Feed(item)).await.is_err() || is_last {
            return;
        }
    }
}

async fn wait_for_fresh(node: &SharedNode) {
    let wait_deadline = node.now() + FRESHNESS_TIMEOUT;
    while !node.store_health.is_fresh(node.now()) && node.now() < wait_deadline {
        tokio::time::sleep(FRESHNESS_CHECK_INTERVAL).await;
    }
}

fn keepalive(node: &SharedNode) -> FeedItem {
    match node.store_health.age(node.now()) {
        Some(age) => FeedItem::Alive {
            revision: node.registry.revision(RecordKind::Upstreams),
            age_ms: age.as_millis() as u32,
        },
        None => FeedItem::Lost,
    }
}

/// Passes on the configuration record alone.
pub async fn serve_config(node: SharedNode, mut replies: ReplySender) {
    for item in node.registry.records(RecordKind::Config) {
        if replies.send(&PeerReply::Feed(item)).await.is_err() {
            return;
        }
    }
    replies.finish();
}

/// Takes the configuration from another host.
///
/// # Errors
/// Tells why it did not come whole.
pub async fn fetch_config(node: &SharedNode, host: &str) -> Result<(), FeedError> {
    let mut replies = open_call(node, host, &PeerRequest::Config).await?;
    loop {
        match next_item(&mut replies).await {
            Ok(FeedItem::Put { kind, name, revision, text }) => {
                registry::apply_fed_record(node, kind, &name, revision, text);
            }
            Ok(_) => return Err(FeedError::Unreadable),
            Err(FeedError::Ended) => return Ok(()),
            Err(end) => return Err(end),
        }
    }
}

/// Takes records from another host until it fails; gives why.
pub async fn follow_host(node: &SharedNode, host: &str) -> FeedError {
    let mut replies = match open_call(node, host, &PeerRequest::Feed).await {
        Ok(replies) => replies,
        Err(end) => return end,
    };
    let mut completed_kinds = Vec::new();
    loop {
        let item = match next_item(&mut replies).await {
            Ok(item) => item,
            Err(end) => {
                replace_link(node, host);
                return end;
            }
        };
        match item {
            FeedItem::Put { kind, name, revision, text } => {
                registry::apply_fed_record(node, kind, &name, revision, text);
                // Changes come in order once every record was passed on.
                if completed_kinds.contains(&kind) {
                    node.registry.advance(kind, revision);
                }
            }
            FeedItem::Removed { kind, name } => registry::remove_record(node, kind, &name),
            FeedItem::Complete { kind, names, revision } => {
                registry::apply_complete_listing(node, kind, &names, revision);
                completed_kinds.push(kind);
            }
            FeedItem::Alive { revision, age_ms } => {
                node.registry.advance(RecordKind::Upstreams, revision);
                let age = Duration::from_millis(u64::from(age_ms));
                node.store_health.record_source_age(node.now(), age);
            }
            FeedItem::Lost => return FeedError::SourceLost,
        }
    }
}

async fn open_call(
    node: &SharedNode,
    host: &str,
    request: &PeerRequest,
) -> Result<ReplyStream, FeedError> {
    let peer = node.hosts.borrow().find(host).map(|heartbeat| heartbeat.peer_address);
    let peer = peer.ok_or(FeedError::UnknownHost)?;
    let mesh = node.peers.mesh().ok_or(FeedError::NoLinks)?;
    if let Ok(Ok(replies)) = timeout(START_TIMEOUT, mesh.call(peer, request)).await {
        return Ok(replies);
    }
    mesh.forget(peer);
    Err(FeedError::NotReached)
}

/// Opens another link to a host for the next call.
fn replace_link(node: &SharedNode, host: &str) {
    let peer = node.hosts.borrow().find(host).map(|heartbeat| heartbeat.peer_address);
    if let (Some(peer), Some(mesh)) = (peer, node.peers.mesh()) {
        mesh.forget(peer);
    }
}

async fn next_item(replies: &mut ReplyStream) -> Result<FeedItem, FeedError> {
    match timeout(SILENCE_TIMEOUT, replies.next()).await {
        Err(_elapsed) => Err(FeedError::Silent),
        Ok(Ok(Some(PeerReply::Feed(item)))) => Ok(item),
        Ok(Ok(Some(_))) => Err(FeedError::Unreadable),
        Ok(Ok(None)) => Err(FeedError::Ended),
        Ok(Err(_)) => Err(FeedError::LinkLost),
    }
}
