//! Serves calls of other hosts.

use crate::{
    dispatch_calls,
    engines::GrantDecision,
    feed,
    node::{Node, SharedNode},
    peers::merge_heartbeats,
    quarantine, quarantine_news, quotas, send_permits, stream_origins,
};
use rail_peer::{
    GrantRelease, GrantReply, GrantRequest, IncomingCall, PeerReply, PeerRequest, ReplySender,
};
use rail_place::owner::WorkShare;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// Interval at which an owner checks whether the holder of a grant is still alive.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves calls until the endpoint closes.
pub async fn serve(node: SharedNode, mut incoming: mpsc::Receiver<IncomingCall>) {
    while let Some(IncomingCall { peer, request, mut replies }) = incoming.recv().await {
        match request {
            PeerRequest::HeartbeatUpdates(updates, heartbeats) => {
                merge_heartbeats(&node, &updates, heartbeats);
                let now = node.now();
                let hosts = node.hosts.borrow();
                let missing = hosts.missing_from(&updates, now);
                // A message without updates delivers missing heartbeats; its reply is empty.
                let known = if updates.is_empty() { Vec::new() } else { hosts.updates(now) };
                let missing = if updates.is_empty() { Vec::new() } else { missing };
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::HeartbeatUpdates(known, missing)).await.is_ok() {
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
            PeerRequest::Changes(request) => {
                actix_rt::spawn(feed::serve_changes(Rc::clone(&node), request, replies));
            }
            PeerRequest::Grant(call) => {
                actix_rt::spawn(serve_grant(Rc::clone(&node), peer, call, None, replies));
            }
            PeerRequest::WorkspaceGrant(call) => {
                let share = Some(node.quotas.work_share(&call.workspace));
                actix_rt::spawn(serve_grant(Rc::clone(&node), peer, call.grant, share, replies));
            }
            PeerRequest::Dispatch(call) => {
                actix_rt::spawn(dispatch_calls::serve(Rc::clone(&node), peer, call, replies));
            }
            PeerRequest::Quarantine(exchange) => {
                let records = quarantine_news::serve(&node, exchange);
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::Quarantine(records)).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::SendPermit(question) => {
                let reply = send_permits::decide(&node, &question);
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::SendPermit(reply)).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::Quota(request) => {
                let reply = quotas::serve(&node, &request);
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::Quota(reply)).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::StreamStarts(starts) => {
                stream_origins::record_told(&node, starts);
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::StreamStarts).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::StreamOrigin(question) => {
                let knowledge = stream_origins::answer(&node, &question);
                actix_rt::spawn(async move {
                    if replies.send(&PeerReply::StreamOrigin(knowledge)).await.is_ok() {
                        replies.finish();
                    }
                });
            }
            PeerRequest::Trial(call) => {
                actix_rt::spawn(quarantine::serve_trial(Rc::clone(&node), call, replies));
            }
            // Calls between other daemons; dropping `replies` rejects them.
            PeerRequest::Heartbeats(_)
            | PeerRequest::Work(_)
            | PeerRequest::OwnHeartbeat(_)
            | PeerRequest::Configuration { .. }
            | PeerRequest::LoadPermit(_)
            | PeerRequest::Witness(_) => {}
        }
    }
}

/// Decides a grant request of another host, and keeps the grant until that host releases it.
async fn serve_grant(
    node: SharedNode,
    peer: SocketAddr,
    call: GrantRequest,
    share: Option<WorkShare>,
    mut replies: ReplySender,
) {
    // Without a path to the engine this host can't order what the request needs.
    let decision =
        if node.is_cut_off() { None } else { node.engines.request_grant(&node, &call, share) };
    let mut grant = match decision {
        None => return send_final_reply(replies, GrantReply::NotOwner).await,
        Some(Err(retry_after)) => {
            let retry_after_ms = retry_after.as_millis() as u32;
            return send_final_reply(replies, GrantReply::Refused(retry_after_ms)).await;
        }
        Some(Ok(grant)) => grant,
    };
    let decision = {
        // A free slot is granted at once; `Queued` is sent only for longer waits.
        let mut decision = std::pin::pin!(grant.decision());
        let immediate = timeout(Duration::from_millis(5), &mut decision).await;
        if let Ok(decision) = immediate {
            decision
        } else {
            if replies.send(&PeerReply::Grant(GrantReply::Queued)).await.is_err() {
                return;
            }
            tokio::select! {
                decision = &mut decision => decision,
                _code = replies.stop_code() => return,
            }
        }
    };
    match decision {
        GrantDecision::Refused(retry_after) => {
            let retry_after_ms = retry_after.as_millis() as u32;
            send_final_reply(replies, GrantReply::Refused(retry_after_ms)).await;
        }
        GrantDecision::Granted(version) => {
            let reply = PeerReply::Grant(GrantReply::Granted(version));
            if replies.send(&reply).await.is_err() {
                return;
            }
            let code = tokio::select! {
                code = replies.stop_code() => code,
                () = wait_for_holder_loss(&node, peer) => None,
            };
            if let Some(code) = code {
                grant.release(GrantRelease::from_code(code));
            }
        }
    }
}

/// Waits until the process at a peer address has no recent heartbeat any more or has restarted.
pub async fn wait_for_holder_loss(node: &Node, peer: SocketAddr) {
    let started_unix_ms = |node: &Node| {
        let hosts = node.hosts.borrow();
        let mut live = hosts.live(node.now());
        live.find(|heartbeat| heartbeat.peer_address == peer)
            .map(|heartbeat| heartbeat.started_unix_ms)
    };
    let first = started_unix_ms(node);
    loop {
        tokio::time::sleep(HOLDER_CHECK_INTERVAL).await;
        if started_unix_ms(node) != first {
            return;
        }
    }
}

async fn send_final_reply(mut replies: ReplySender, reply: GrantReply) {
    if replies.send(&PeerReply::Grant(reply)).await.is_ok() {
        replies.finish();
    }
}
