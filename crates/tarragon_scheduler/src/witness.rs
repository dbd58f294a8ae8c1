//! Requests confirmations and promises from witnesses, and answers requests of peers as a witness.

use crate::session::{PendingWitnessRequest, Session};
use rail_lease::{ConfirmRequest, PromiseRequest, WitnessQuestion, WitnessRefusal, WitnessRequest};
use rail_peer::{PeerReply, PeerRequest};
use std::{net::SocketAddr, time::Duration};

/// Interval between checks of the session's state and its confirmations.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a witness must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The platform counts as unreachable after the time to live divided by this without a response.
const REACHABLE_TTL_DIVISOR: u32 = 3;

type WitnessAnswer = std::result::Result<(), WitnessRefusal>;

/// Starts checking the session at each interval on the current actix thread.
pub(crate) fn spawn(session: Session) {
    actix_rt::spawn(async move {
        loop {
            session.tick_holder();
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    });
}

impl Session {
    /// Answers a session's holder that requests a confirmation, or a process that wants to revoke a
    /// session and requests a promise.
    pub fn answer_as_witness(&self, request: WitnessRequest) -> WitnessAnswer {
        let state = self.state();
        let now = state.clock.now();
        let own_id = state.holder.borrow().record().session_id;
        let is_reachable = self.is_platform_reachable();
        let answer = state.witness.borrow_mut().answer(own_id, request, is_reachable, now);
        if let Err(refusal) = answer {
            state.metrics.session_events.count(&format!("witness_{refusal}"));
        }
        answer
    }

    /// Requests the promises that are missing for revocations, and checks with the holders of
    /// overdue sessions whether they still run.
    pub(crate) fn query_overdue_holders(&self, now: Duration) {
        let (missing, overdue) = {
            let observer = self.state().observer.borrow();
            (observer.missing_promises(now), observer.overdue_holders(now))
        };
        for PromiseRequest { session_id, renewals, ttl, witness } in missing {
            let question = WitnessQuestion::Promise { ttl };
            let request =
                WitnessRequest { witness: witness.session_id, session_id, renewals, question };
            self.send_once(witness.address, request);
        }
        for holder in overdue {
            let request = WitnessRequest {
                witness: holder.session_id,
                session_id: holder.session_id,
                renewals: 0,
                question: WitnessQuestion::Identify,
            };
            self.send_once(holder.address, request);
        }
    }

    fn tick_holder(&self) {
        let state = self.state();
        let now = state.clock.now();
        let mut holder = state.holder.borrow_mut();
        let before = holder.state();
        holder.tick(now);
        if holder.state() != before {
            log::info!("session changed from {before:?} to {:?}", holder.state());
        }
        let session_id = holder.record().session_id;
        let Some(ConfirmRequest { renewals, witnesses, requested_at }) = holder.poll_witnesses(now)
        else {
            return;
        };
        for witness in witnesses {
            let question = WitnessQuestion::Confirm;
            let id = witness.session_id;
            let request = WitnessRequest { witness: id, session_id, renewals, question };
            let session = self.clone();
            actix_rt::spawn(async move {
                if let Some(Ok(())) = session.request_witness(witness.address, request).await {
                    session.state().holder.borrow_mut().record_confirmation(id, requested_at);
                }
            });
        }
    }

    /// Sends a request to a witness unless one of the same kind is pending.
    fn send_once(&self, address: SocketAddr, request: WitnessRequest) {
        let is_promise = matches!(request.question, WitnessQuestion::Promise { .. });
        let pending_request = PendingWitnessRequest {
            session_id: request.session_id,
            witness: request.witness,
            is_promise,
        };
        if !self.state().pending_witness_requests.borrow_mut().insert(pending_request) {
            return;
        }
        let session = self.clone();
        actix_rt::spawn(async move {
            let answer = session.request_witness(address, request).await;
            let state = session.state();
            state.pending_witness_requests.borrow_mut().remove(&pending_request);
            let mut observer = state.observer.borrow_mut();
            match answer {
                Some(Ok(())) if is_promise => {
                    observer.record_promise(request.session_id, request.renewals, request.witness);
                }
                Some(Err(WitnessRefusal::Replaced)) => {
                    observer.record_replaced(request.witness, state.clock.now());
                }
                Some(_) | None => {}
            }
        });
    }

    async fn request_witness(
        &self,
        address: SocketAddr,
        request: WitnessRequest,
    ) -> Option<WitnessAnswer> {
        let call = async {
            let request = PeerRequest::Witness(request);
            let mut replies = self.state().peers.call(address, &request).await.ok()?;
            replies.next().await.ok()?
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
            Ok(Some(PeerReply::Witness(answer))) => Some(answer),
            Ok(Some(_) | None) | Err(_) => None,
        }
    }

    fn is_platform_reachable(&self) -> bool {
        let state = self.state();
        let limit = state.holder.borrow().record().ttl() / REACHABLE_TTL_DIVISOR;
        let now = state.clock.now();
        let responded_at = state.platform_responded_at.get();
        responded_at.is_some_and(|at| now.saturating_sub(at) < limit)
            || state.sessions.age().is_some_and(|age| age < limit)
    }
}
