//! Handles the calls of peers.

use crate::{
    engine::{Submit, permit::PermitBroker},
    metrics::SchedulerMetrics,
    session::Session,
};
use rail_config::ModelName;
use rail_peer::{Gossip, IncomingCall, PeerReply, PeerRequest, ReplySender, send_configuration};
use rail_platform::ConfigFollower;
use rail_request::{RequestRefusal, RequestRefusalReason, WorkEvent, WorkOrder};
use std::time::Duration;
use tokio::sync::mpsc;

/// Events of one request that may wait to be sent to its gateway.
const EVENT_QUEUE_LENGTH: usize = 64;
/// Time after which a caller may retry when another process owns the engine.
const TRANSFER_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Starts handling calls on the current actix thread.
pub fn spawn(
    mut incoming: mpsc::Receiver<IncomingCall>,
    session: Session,
    gossip: Gossip,
    config: ConfigFollower,
    metrics: SchedulerMetrics,
) {
    actix_rt::spawn(async move {
        while let Some(IncomingCall { request, replies, .. }) = incoming.recv().await {
            match request {
                PeerRequest::Heartbeats(heartbeats) => {
                    let known = PeerReply::Heartbeats(gossip.merge_heartbeats(heartbeats));
                    actix_rt::spawn(reply_once(known, replies));
                }
                PeerRequest::OwnHeartbeat(heartbeat) => {
                    let known = PeerReply::Heartbeats(gossip.merge_heartbeat(heartbeat));
                    actix_rt::spawn(reply_once(known, replies));
                }
                PeerRequest::LoadPermit(request) => {
                    if let Some(broker) = PermitBroker::current() {
                        actix_rt::spawn(broker.serve(request, replies));
                    }
                }
                PeerRequest::Work(order) => {
                    let events = submit(order, &session, &config, &gossip, &metrics);
                    actix_rt::spawn(forward_events(events, replies));
                }
                PeerRequest::Configuration { above, known_segments } => {
                    let config = config.clone();
                    actix_rt::spawn(async move {
                        // A peer that was lost requests the configuration again.
                        let _lost =
                            send_configuration(&config, above, &known_segments, replies).await;
                    });
                }
                // Requests that only the single-process host serves. Dropping `replies` ends the
                // call without a reply.
                PeerRequest::HeartbeatUpdates(..)
                | PeerRequest::Feed
                | PeerRequest::Config
                | PeerRequest::Grant(_)
                | PeerRequest::Quarantine(_)
                | PeerRequest::Trial(_)
                | PeerRequest::Changes(_)
                | PeerRequest::SendPermit(_)
                | PeerRequest::StreamStarts(_)
                | PeerRequest::StreamOrigin(_)
                | PeerRequest::WorkspaceGrant(_)
                | PeerRequest::Dispatch(_)
                | PeerRequest::Quota(_) => {}
                PeerRequest::Witness(request) => {
                    let answer = session.answer_as_witness(request);
                    actix_rt::spawn(reply_once(PeerReply::Witness(answer), replies));
                }
            }
        }
    });
}

/// Ends a call by its only reply.
async fn reply_once(reply: PeerReply, mut replies: ReplySender) {
    if replies.send(&reply).await.is_ok() {
        replies.finish();
    }
}

/// Submits an order to its engine, or refuses it before it runs. Returns the events of the request.
fn submit(
    order: WorkOrder,
    session: &Session,
    config: &ConfigFollower,
    gossip: &Gossip,
    metrics: &SchedulerMetrics,
) -> mpsc::Receiver<WorkEvent> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let is_known =
        order.model.parse::<ModelName>().is_ok_and(|m| config.applied().resolve(&m).is_ok());
    let is_engine_leaving =
        config.applied().upstreams.get(&order.engine).is_some_and(|engine| engine.leaving);
    let refusal = if !is_known || !gossip.freshness_state().allows_work() {
        Some(RequestRefusalReason::StaleConfiguration)
    } else if session.is_leaving() || is_engine_leaving {
        Some(RequestRefusalReason::Leaving)
    } else {
        None
    };
    let reason = match (refusal, session.engine(&order.engine)) {
        (None, Some(engine)) => {
            engine.do_send(Submit::new(order, events));
            return receiver;
        }
        (Some(reason), _) => reason,
        (None, None) => RequestRefusalReason::NotOwner,
    };
    metrics.refusals.count(&reason.to_string());
    let refusal = WorkEvent::NotRun(RequestRefusal { reason, retry_after: TRANSFER_RETRY_AFTER });
    // Can't fail: the receiver is open and its queue is empty.
    let _queued = events.try_send(refusal);
    receiver
}

/// Sends the events of a request to its gateway until either side ends.
///
/// If the gateway cancels the call, the request is cancelled. If the gateway is lost, the request
/// runs to its end, as another one may resume its stream from the engine.
async fn forward_events(mut events: mpsc::Receiver<WorkEvent>, mut replies: ReplySender) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            cancelled = replies.closed_by_peer() => return finish_request(events, cancelled).await,
        };
        let Some(event) = event else {
            replies.finish();
            return;
        };
        if replies.send(&PeerReply::Work(event)).await.is_err() {
            let cancelled = replies.closed_by_peer().await;
            return finish_request(events, cancelled).await;
        }
    }
}

/// Cancels a request by dropping its events if its call was cancelled; otherwise receives them to
/// the end.
async fn finish_request(mut events: mpsc::Receiver<WorkEvent>, cancelled: bool) {
    if !cancelled {
        while events.recv().await.is_some() {}
    }
}
