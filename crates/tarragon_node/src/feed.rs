//! Feeds of records between hosts: serves them to followers and follows that of another host.

use crate::{
    node::{Node, SharedNode},
    registry,
};
use rail_member::{
    RecordKind, confirmation::millis_since, refresh::QUESTION_TIMEOUT, source::MAX_FEEDS_PER_HOST,
};
use rail_peer::{ChangesRequest, FeedItem, PeerReply, PeerRequest, ReplySender, ReplyStream};
use rail_revision::Era;
use rail_runtime::time_since_boot;
use std::time::Duration;
use tokio::time::timeout;

/// Interval of keepalive items on a feed without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without an item after which a feed counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);
/// Timeout for opening a feed.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a serving host, which may have just started, has until its own records are recent.
const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(900);
/// A feed ends when the store's last confirmation is this old.
const MAX_FED_AGE: Duration = Duration::from_secs(3);
/// Most hosts that one host feeds. Twice the planned number, since hosts whose planned source fails
/// use others.
const MAX_OUTGOING_FEEDS: usize = 2 * MAX_FEEDS_PER_HOST;

/// Why a feed from another host ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The host is not known; no heartbeat of it was received lately.
    #[error("unknown_host")]
    UnknownHost,
    /// The endpoint for links between hosts is not open yet.
    #[error("no_links")]
    NoLinks,
    /// The host did not accept the call in time.
    #[error("not_reached")]
    NotReached,
    /// The host sent nothing within the silence timeout.
    #[error("silent")]
    Silent,
    /// The link to the host broke.
    #[error("link_lost")]
    LinkLost,
    /// The host closed the feed.
    #[error("ended")]
    Ended,
    /// The host sent a message that is not part of a feed.
    #[error("unreadable")]
    Unreadable,
    /// The host has records of an era of the store that has ended.
    #[error("earlier_era")]
    EarlierEra,
    /// The host lost the store, or feeds as many hosts as it may.
    #[error("source_lost_store")]
    SourceLost,
}

/// Sends every record and then changes, until this host loses the store or the peer closes the
/// feed.
pub async fn serve(node: SharedNode, mut replies: ReplySender) {
    let called_at = time_since_boot();
    let is_recent = wait_until(&node, FRESHNESS_TIMEOUT, Node::has_recent_records).await;
    if !is_recent || node.registry.follower_count() >= MAX_OUTGOING_FEEDS {
        // A failed send means that the peer has left.
        let _gone = replies.send(&PeerReply::Feed(FeedItem::Lost)).await;
        return;
    }
    let (items, mut changes) = node.registry.subscribe(node.now());
    for item in items {
        if replies.send(&PeerReply::Feed(item)).await.is_err() {
            return;
        }
    }
    loop {
        let item = match timeout(KEEPALIVE_INTERVAL, changes.recv()).await {
            Ok(Some(item)) => item,
            // The peer was too slow; it must open a new feed.
            Ok(None) => FeedItem::Lost,
            Err(_elapsed) => keepalive(&node),
        };
        let is_last = item == FeedItem::Lost;
        let item = since_call(item, called_at);
        if replies.send(&PeerReply::Feed(item)).await.is_err() || is_last {
            return;
        }
    }
}

/// Replaces the boot time of ages by the time since the request for the feed was received, which the
/// receiver can relate to its own clock.
fn since_call(item: FeedItem, called_at: Duration) -> FeedItem {
    match item {
        FeedItem::Alive { revisions, record_ages, at_ms } => {
            let at_ms = millis_since(called_at, at_ms);
            FeedItem::Alive { revisions, record_ages, at_ms }
        }
        other => other,
    }
}

/// Waits until a condition on the ages of records holds, and returns whether it does.
async fn wait_until(node: &Node, max_wait: Duration, condition: impl Fn(&Node) -> bool) -> bool {
    let is_met = async {
        while !condition(node) {
            node.records_confirmed.notified().await;
        }
    };
    timeout(max_wait, is_met).await.is_ok()
}

/// Returns an item with the ages of the records, or one that ends the feed if they are too old.
fn keepalive(node: &Node) -> FeedItem {
    let ages = node.record_ages();
    let is_usable = ages.of(RecordKind::Upstreams).is_some_and(|age| age < MAX_FED_AGE);
    if is_usable { node.ages_item() } else { FeedItem::Lost }
}

/// Sends the records that another host lacks, once those of this host are more recent.
pub async fn serve_changes(node: SharedNode, request: ChangesRequest, mut replies: ReplySender) {
    let asked_at = time_since_boot();
    let has_news = |node: &Node| {
        let waited = time_since_boot().saturating_sub(asked_at);
        node.record_bounds().has_news(&node.record_ages(), &request.record_ages, waited)
    };
    if !wait_until(&node, QUESTION_TIMEOUT, has_news).await {
        let _gone = replies.send(&PeerReply::Feed(FeedItem::Lost)).await;
        return;
    }
    let mut items = node.registry.changes_since(&request.revisions, node.now());
    items.push(since_call(node.ages_item(), asked_at));
    for item in items {
        if replies.send(&PeerReply::Feed(item)).await.is_err() {
            return;
        }
    }
    replies.finish();
}

/// Asks another host for the records that this one lacks, and applies them.
///
/// # Errors
/// Returns why the records were not received completely.
pub async fn fetch_changes(node: &SharedNode, host: &str) -> Result<(), FeedError> {
    let request = ChangesRequest {
        revisions: RecordKind::ALL.map(|kind| node.registry.revision(kind)),
        record_ages: node.record_ages(),
    };
    let called_at = time_since_boot();
    let mut replies = open_call(node, host, &PeerRequest::Changes(request)).await?;
    let first = timeout(QUESTION_TIMEOUT + SILENCE_TIMEOUT, replies.next()).await;
    let mut item = feed_item(first.map_err(|_elapsed| FeedError::Silent)?);
    loop {
        match item {
            Ok(FeedItem::Lost) => return Err(FeedError::SourceLost),
            Ok(next) => apply_item(node, next, called_at)?,
            Err(FeedError::Ended) => return Ok(()),
            Err(error) => return Err(error),
        }
        item = next_item(&mut replies).await;
    }
}

/// Sends the configuration record only.
pub async fn serve_config(node: SharedNode, mut replies: ReplySender) {
    if let Some(item) = node.registry.applied_config()
        && replies.send(&PeerReply::Feed(item)).await.is_err()
    {
        return;
    }
    replies.finish();
}

/// Fetches the configuration from another host.
///
/// # Errors
/// Returns why the record was not received completely.
pub async fn fetch_config(node: &SharedNode, host: &str) -> Result<(), FeedError> {
    let mut replies = open_call(node, host, &PeerRequest::Config).await?;
    loop {
        match next_item(&mut replies).await {
            Ok(FeedItem::Put { kind, name, revision, text }) => {
                if kind == RecordKind::Config {
                    registry::apply_fetched_config(node, &name, revision, text);
                }
            }
            Ok(_) => return Err(FeedError::Unreadable),
            Err(FeedError::Ended) => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Follows the feed of another host until it ends, and returns the reason.
pub async fn follow_host(node: &SharedNode, host: &str) -> FeedError {
    let called_at = time_since_boot();
    let mut replies = match open_call(node, host, &PeerRequest::Feed).await {
        Ok(replies) => replies,
        Err(error) => return error,
    };
    loop {
        let item = match next_item(&mut replies).await {
            Ok(item) => item,
            Err(error) => {
                discard_link(node, host);
                return error;
            }
        };
        // A source that gets no news itself is left, although it still answers.
        if let FeedItem::Alive { record_ages, .. } = &item
            && !node.are_recent(record_ages)
        {
            return FeedError::SourceLost;
        }
        if let Err(error) = apply_item(node, item, called_at) {
            return error;
        }
    }
}

/// Applies one item of a feed that was requested at `called_at` on the boot clock.
fn apply_item(node: &SharedNode, item: FeedItem, called_at: Duration) -> Result<(), FeedError> {
    if item_era(&item).is_some_and(|era| era < node.return_guard.borrow().era()) {
        return Err(FeedError::EarlierEra);
    }
    match item {
        FeedItem::Put { kind, name, revision, text } => {
            registry::apply_fed_record(node, kind, &name, revision, text);
        }
        FeedItem::Removed { kind, name, revision } => {
            registry::remove_record(node, kind, &name, revision);
        }
        FeedItem::Complete { kind, names, revision } => {
            registry::apply_complete_listing(node, kind, &names, revision);
        }
        FeedItem::Alive { revisions, record_ages, at_ms } => {
            for kind in RecordKind::ALL {
                node.registry.advance(kind, revisions[kind as usize]);
            }
            // The sender received the request no earlier than it was sent.
            let told_at = called_at + Duration::from_millis(at_ms);
            let is_news = node.confirmations.borrow_mut().record_ages(&record_ages, told_at);
            if is_news {
                registry::publish_ages(node);
            }
        }
        FeedItem::StoreRecovered { ago_ms } => {
            registry::record_told_recovery(node, Duration::from_millis(u64::from(ago_ms)));
        }
        FeedItem::Lost => return Err(FeedError::SourceLost),
    }
    Ok(())
}

/// Returns the era of the store that an item names.
fn item_era(item: &FeedItem) -> Option<Era> {
    match item {
        FeedItem::Put { revision, .. }
        | FeedItem::Removed { revision, .. }
        | FeedItem::Complete { revision, .. } => Some(revision.era),
        FeedItem::Alive { revisions, .. } => revisions.iter().map(|revision| revision.era).max(),
        FeedItem::StoreRecovered { .. } | FeedItem::Lost => None,
    }
}

/// Calls a host and returns the stream of its replies.
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
    mesh.remove_link(peer);
    Err(FeedError::NotReached)
}

/// Discards the link to a host, so that the next call opens another one.
fn discard_link(node: &SharedNode, host: &str) {
    let peer = node.hosts.borrow().find(host).map(|heartbeat| heartbeat.peer_address);
    if let (Some(peer), Some(mesh)) = (peer, node.peers.mesh()) {
        mesh.remove_link(peer);
    }
}

async fn next_item(replies: &mut ReplyStream) -> Result<FeedItem, FeedError> {
    let reply = timeout(SILENCE_TIMEOUT, replies.next()).await;
    feed_item(reply.map_err(|_elapsed| FeedError::Silent)?)
}

/// Returns the item of a reply, `Ended` if there is no further reply.
fn feed_item(reply: rail_peer::Result<Option<PeerReply>>) -> Result<FeedItem, FeedError> {
    match reply {
        Ok(Some(PeerReply::Feed(item))) => Ok(item),
        Ok(Some(_)) => Err(FeedError::Unreadable),
        Ok(None) => Err(FeedError::Ended),
        Err(_) => Err(FeedError::LinkLost),
    }
}
