//! Asks peers to act as witnesses, and answers them.

use crate::session::{Asked, Session};
use rail_lease::{ConfirmRequest, PromiseRequest, WitnessQuestion, WitnessRefusal, WitnessRequest};
use rail_peer::{PeerReply, PeerRequest};
use std::{net::SocketAddr, time::Duration};

/// Interval between ticks of the session.
const TICK: Duration = Duration::from_millis(50);
/// Time in which a witness must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the time to live after which a silent platform counts as away.
const REACHABLE_SHARE: u32 = 3;

type Answer = std::result::Result<(), WitnessRefusal>;

/// Starts the ticks of the session on the current actix thread.
pub(crate) fn spawn(session: Session) {
    actix_rt::spawn(async move {
        loop {
            session.tick_holder();
            actix_rt::time::sleep(TICK).await;
        }
    });
}

impl Session {
    /// Answers a holder or a revoker.
    pub fn answer_as_witness(&self, request: WitnessRequest) -> Answer {
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

    /// Asks for the pledges that revocations lack, and whether silent holders still run.
    pub(crate) fn ask_about_silent(&self, now: Duration) {
        let (missing, silent) = {
            let observer = self.state().observer.borrow();
            (observer.missing_promises(now), observer.overdue_holders(now))
        };
        for PromiseRequest { session_id, renewals, ttl, witness } in missing {
            let question = WitnessQuestion::Promise { ttl };
            let request =
                WitnessRequest { witness: witness.session_id, session_id, renewals, question };
            self.ask_once(witness.address, request);
        }
        for holder in silent {
            let request = WitnessRequest {
                witness: holder.session_id,
                session_id: holder.session_id,
                renewals: 0,
                question: WitnessQuestion::Identify,
            };
            self.ask_once(holder.address, request);
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
                if let Some(Ok(())) = session.ask(witness.address, request).await {
                    session.state().holder.borrow_mut().record_confirmation(id, requested_at);
                }
            });
        }
    }

    /// Asks a witness unless a question of the same kind to it is still open.
    fn ask_once(&self, address: SocketAddr, request: WitnessRequest) {
        let is_pledge = matches!(request.question, WitnessQuestion::Promise { .. });
        let asked = Asked { session_id: request.session_id, witness: request.witness, is_pledge };
        if !self.state().asked.borrow_mut().insert(asked) {
            return;
        }
        let session = self.clone();
        actix_rt::spawn(async move {
            let answer = session.ask(address, request).await;
            let state = session.state();
            state.asked.borrow_mut().remove(&asked);
            let mut observer = state.observer.borrow_mut();
            match answer {
                Some(Ok(())) if is_pledge => {
                    observer.record_promise(request.session_id, request.renewals, request.witness);
                }
                Some(Err(WitnessRefusal::Replaced)) => {
                    observer.record_replaced(request.witness, state.clock.now());
                }
                Some(_) | None => {}
            }
        });
    }

    async fn ask(&self, address: SocketAddr, request: WitnessRequest) -> Option<Answer> {
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
        let limit = state.holder.borrow().record().ttl() / REACHABLE_SHARE;
        let now = state.clock.now();
        let answered = state.platform_answered_at.get();
        answered.is_some_and(|at| now.saturating_sub(at) < limit)
            || state.sessions.age().is_some_and(|age| age < limit)
    }
}
