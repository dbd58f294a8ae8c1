//! Passes the store's records on to other hosts, and takes them from one.

use crate::{node::SharedNode, registry};
use rail_member::{RecordKind, source::MAX_FEEDS_PER_HOST};
use rail_peer::{FeedItem, PeerReply, PeerRequest, ReplySender, ReplyStream};
use std::time::Duration;
use tokio::time::timeout;

/// Interval at which a feed without changes tells that it is alive.
const ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Silence after which a feed counts as lost.
const SILENT_AFTER: Duration = Duration::from_millis(1100);
/// Time in which a feed must start.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a host which was just started gets until its own records are fresh.
const FRESH_PATIENCE: Duration = Duration::from_millis(900);
/// Interval at which it looks whether they are.
const FRESH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Hosts that one host feeds at most, with those that can't use the one above them.
const MAX_FEEDS: usize = 2 * MAX_FEEDS_PER_HOST;

/// Why records are not taken from a host any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FeedEnd {
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
    if !node.store_health.is_fresh(node.now()) || node.registry.followers() >= MAX_FEEDS {
        // The peer is gone if it does not hear that.
        let _gone = replies.send(&PeerReply::Feed(FeedItem::Lost)).await;
        return;
    }
    let (items, mut changes) = node.registry.follow();
    for item in items {
        if replies.send(&PeerReply::Feed(item)).await.is_err() {
            return;
        }
    }
    loop {
        let item = match timeout(ALIVE_INTERVAL, changes.recv()).await {
            Ok(Some(item)) => item,
            // The peer was too slow and has to start anew.
            Ok(None) => FeedItem::Lost,
            Err(_elapsed) => alive(&node),
        };
        let is_last = item == FeedItem::Lost;
        if replies.send(&PeerReply::Feed(item)).await.is_err() || is_last {
            return;
        }
    }
}

async fn wait_for_fresh(node: &SharedNode) {
    let until = node.now() + FRESH_PATIENCE;
    while !node.store_health.is_fresh(node.now()) && node.now() < until {
        tokio::time::sleep(FRESH_CHECK_INTERVAL).await;
    }
}

fn alive(node: &SharedNode) -> FeedItem {
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
pub async fn fetch_config(node: &SharedNode, host: &str) -> Result<(), FeedEnd> {
    let mut replies = start(node, host, &PeerRequest::Config).await?;
    loop {
        match next_item(&mut replies).await {
            Ok(FeedItem::Put { kind, name, revision, text }) => {
                registry::put_fed(node, kind, &name, revision, text);
            }
            Ok(_) => return Err(FeedEnd::Unreadable),
            Err(FeedEnd::Ended) => return Ok(()),
            Err(end) => return Err(end),
        }
    }
}

/// Takes records from another host until it fails; gives why.
pub async fn follow_host(node: &SharedNode, host: &str) -> FeedEnd {
    let mut replies = match start(node, host, &PeerRequest::Feed).await {
        Ok(replies) => replies,
        Err(end) => return end,
    };
    let mut completed = Vec::new();
    loop {
        let item = match next_item(&mut replies).await {
            Ok(item) => item,
            Err(end) => {
                forget_link(node, host);
                return end;
            }
        };
        match item {
            FeedItem::Put { kind, name, revision, text } => {
                registry::put_fed(node, kind, &name, revision, text);
                // Changes come in order once every record was passed on.
                if completed.contains(&kind) {
                    node.registry.advance(kind, revision);
                }
            }
            FeedItem::Removed { kind, name } => registry::remove(node, kind, &name),
            FeedItem::Complete { kind, names, revision } => {
                registry::complete(node, kind, &names, revision);
                completed.push(kind);
            }
            FeedItem::Alive { revision, age_ms } => {
                node.registry.advance(RecordKind::Upstreams, revision);
                let age = Duration::from_millis(u64::from(age_ms));
                node.store_health.hear_through_host(node.now(), age);
            }
            FeedItem::Lost => return FeedEnd::SourceLost,
        }
    }
}

async fn start(
    node: &SharedNode,
    host: &str,
    request: &PeerRequest,
) -> Result<ReplyStream, FeedEnd> {
    let peer = node.hosts.borrow().find(host).map(|beat| beat.peer_address);
    let peer = peer.ok_or(FeedEnd::UnknownHost)?;
    let mesh = node.peers.mesh().ok_or(FeedEnd::NoLinks)?;
    if let Ok(Ok(replies)) = timeout(START_TIMEOUT, mesh.call(peer, request)).await {
        return Ok(replies);
    }
    mesh.forget(peer);
    Err(FeedEnd::NotReached)
}

/// Opens another link to a host for the next call.
fn forget_link(node: &SharedNode, host: &str) {
    let peer = node.hosts.borrow().find(host).map(|beat| beat.peer_address);
    if let (Some(peer), Some(mesh)) = (peer, node.peers.mesh()) {
        mesh.forget(peer);
    }
}

async fn next_item(replies: &mut ReplyStream) -> Result<FeedItem, FeedEnd> {
    match timeout(SILENT_AFTER, replies.next()).await {
        Err(_elapsed) => Err(FeedEnd::Silent),
        Ok(Ok(Some(PeerReply::Feed(item)))) => Ok(item),
        Ok(Ok(Some(_))) => Err(FeedEnd::Unreadable),
        Ok(Ok(None)) => Err(FeedEnd::Ended),
        Ok(Err(_)) => Err(FeedEnd::LinkLost),
    }
}
