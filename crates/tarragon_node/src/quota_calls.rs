//! Calls to the host that issues the quotas.

use crate::{
    events::Event,
    node::{Node, SharedNode},
    quotas,
};
use rail_peer::{PeerReply, PeerRequest};
use rail_runtime::time_since_boot;
use rail_workspace::{IssuerCall, IssuerCandidate, QuotaReply, WaitingCharge, rank_issuers};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Time in which an issuer must reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Heartbeats that a process must have sent to be an issuer, so that it knows the others.
const MIN_HEARTBEATS: u64 = 8;
/// Time after its start in which a host that has not read the registered hosts knows too few of
/// them to issue quotas.
const JOIN_TIME: Duration = Duration::from_secs(4);
/// Time after the start in which hosts that are only registered count as known.
const REGISTERED_TIME: Duration = Duration::from_secs(30);

/// How a call to an issuer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The issuer replied.
    Replied(QuotaReply),
    /// The issuer did not reply.
    Silent,
    /// The host is of a build that issues no quotas.
    OldBuild,
}

impl CallOutcome {
    /// Returns the name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Replied(_) => "replied",
            Self::Silent => "silent",
            Self::OldBuild => "old_build",
        }
    }
}

/// Returns the number of hosts that may use the quotas; `None` while this host can't tell.
pub fn known_hosts(node: &Node) -> Option<usize> {
    let (uptime, registered) = (node.now(), node.peers.registered_count());
    if uptime < JOIN_TIME && registered == 0 {
        return None;
    }
    let registered = if uptime < REGISTERED_TIME { registered } else { 0 };
    Some(node.hosts.borrow().len().max(registered).max(1))
}

/// Returns the next message to an issuer.
///
/// # Errors
/// Returns the time until an issuer can be called.
pub fn next_call(node: &Node, waiting: &[WaitingCharge]) -> Result<IssuerCall, Duration> {
    let (hosts, now) = (node.hosts.borrow(), time_since_boot());
    let may_issue = hosts
        .live(node.now())
        .filter(|heartbeat| heartbeat.is_ready && heartbeat.count >= MIN_HEARTBEATS);
    let ranked = rank_issuers(may_issue.map(|heartbeat| IssuerCandidate {
        host: &heartbeat.host,
        capacity_milli: heartbeat.capacity_milli,
        started_unix_ms: heartbeat.started_unix_ms,
    }));
    let mut accounts = node.quotas.accounts.borrow_mut();
    let before = accounts.issuer(now).map(|(issuer, _)| issuer.to_owned());
    let call = accounts.next_call(&ranked, waiting, now)?;
    if before.as_ref() != Some(&call.issuer) {
        node.events.important(&Event::QuotaIssuer { issuer: &call.issuer });
    }
    Ok(call)
}

/// Sends a message to an issuer, which may be this host.
pub async fn call_issuer(node: &SharedNode, call: &IssuerCall) -> CallOutcome {
    if call.issuer == node.settings.host {
        // Lets other tasks run between two calls.
        tokio::task::yield_now().await;
        return CallOutcome::Replied(quotas::serve(node, &call.request));
    }
    let peer = node.hosts.borrow().find(&call.issuer).map(|heartbeat| heartbeat.peer_address);
    let Some(peer) = peer else { return CallOutcome::Silent };
    timeout(REPLY_TIMEOUT, call_peer(node, peer, call)).await.unwrap_or(CallOutcome::Silent)
}

async fn call_peer(node: &Node, peer: SocketAddr, call: &IssuerCall) -> CallOutcome {
    let Some(mesh) = node.peers.mesh() else { return CallOutcome::Silent };
    let request = PeerRequest::Quota(call.request.clone());
    let mut replies = match mesh.call(peer, &request).await {
        Ok(replies) => replies,
        Err(rail_peer::Error::OldFormat) => return CallOutcome::OldBuild,
        Err(_) => return CallOutcome::Silent,
    };
    match replies.next().await {
        Ok(Some(PeerReply::Quota(reply))) => CallOutcome::Replied(reply),
        _ => CallOutcome::Silent,
    }
}
