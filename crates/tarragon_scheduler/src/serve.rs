//! Answers the calls of peers.

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

/// Events of one request that wait for the link.
const EVENT_QUEUE: usize = 64;
/// When a caller should come back after another process took the engine.
const TRANSFER_RETRY: Duration = Duration::from_millis(100);

/// Starts answering calls on the current actix thread.
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
                    actix_rt::spawn(forward(events, replies));
                }
                PeerRequest::Configuration { above, known_segments } => {
                    let config = config.clone();
                    actix_rt::spawn(async move {
                        // A peer that is gone asks again.
                        let _gone =
                            send_configuration(&config, above, &known_segments, replies).await;
                    });
                }
                // Calls of the single-process host; the dropped sender tells that nobody serves them.
                PeerRequest::HeartbeatUpdates(..)
                | PeerRequest::Feed
                | PeerRequest::Config
                | PeerRequest::Grant(_) => {}
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

/// Gives an order to its engine, or refuses it as not run.
fn submit(
    order: WorkOrder,
    session: &Session,
    config: &ConfigFollower,
    gossip: &Gossip,
    metrics: &SchedulerMetrics,
) -> mpsc::Receiver<WorkEvent> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE);
    let known =
        order.model.parse::<ModelName>().is_ok_and(|m| config.applied().resolve(&m).is_ok());
    let is_engine_leaving =
        config.applied().upstreams.get(&order.engine).is_some_and(|engine| engine.leaving);
    let refusal = if !known || !gossip.freshness_state().allows_work() {
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
    let refusal = WorkEvent::NotRun(RequestRefusal { reason, retry_after: TRANSFER_RETRY });
    // The receiver is at hand and its queue is empty.
    let _queued = events.try_send(refusal);
    receiver
}

/// Sends the events of a request to its gateway until either side ends.
///
/// A gateway that says that nobody waits has its request cancelled. One that is lost may read the
/// stream on from the engine, so the request runs to its end.
async fn forward(mut events: mpsc::Receiver<WorkEvent>, mut replies: ReplySender) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            is_left = replies.closed_by_peer() => return end(events, is_left).await,
        };
        let Some(event) = event else {
            replies.finish();
            return;
        };
        if replies.send(&PeerReply::Work(event)).await.is_err() {
            let is_left = replies.closed_by_peer().await;
            return end(events, is_left).await;
        }
    }
}

/// Cancels a request that nobody waits for, or reads its events to the end.
async fn end(mut events: mpsc::Receiver<WorkEvent>, is_left: bool) {
    if !is_left {
        while events.recv().await.is_some() {}
    }
}
