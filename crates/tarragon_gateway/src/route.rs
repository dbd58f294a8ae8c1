//! Finds the owner of a candidate engine and follows the answer.

use crate::{Gateway, problem::Problem, problem::Result};
use rail_lease::OwnershipRecord;
use rail_peer::{PeerReply, PeerRequest, ReplyStream};
use rail_place::rank_engines;
use rail_request::{Failed, NotRun, NotRunReason, WorkEvent, WorkOrder};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Candidates that one pass tries.
const MAX_CANDIDATES: usize = 3;
/// Passes over the candidates before a request is given up.
const MAX_PASSES: u32 = 20;
/// Pause between passes.
const PASS_PAUSE: Duration = Duration::from_millis(100);
/// When a caller should come back while no owner answers.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// Answer in progress.
#[derive(Debug)]
pub struct Answer {
    replies: ReplyStream,
    next_offset: u64,
}

/// Next part of an answer.
#[derive(Debug)]
pub enum Part {
    /// Text of the answer.
    Token(String),
    /// The answer is complete.
    Final,
}

impl Answer {
    /// Waits for the next part, in order and without gaps.
    ///
    /// # Errors
    /// Ends with the problem when the answer can't be completed.
    pub async fn next(&mut self) -> Result<Part> {
        match self.replies.next().await {
            Ok(Some(PeerReply::Work(WorkEvent::Token { offset, text, .. })))
                if offset == self.next_offset =>
            {
                self.next_offset += 1;
                Ok(Part::Token(text))
            }
            Ok(Some(PeerReply::Work(WorkEvent::Final { tokens })))
                if tokens == self.next_offset =>
            {
                Ok(Part::Final)
            }
            Ok(Some(PeerReply::Work(WorkEvent::Failed(failed)))) => Err(Problem::Failed(failed)),
            Ok(Some(PeerReply::Work(WorkEvent::NotRun(not_run)))) => Err(Problem::NotRun(not_run)),
            _ => Err(Problem::Failed(Failed::UnknownOutcome)),
        }
    }
}

impl Gateway {
    /// Refuses work while no configuration was read or confirmed as current.
    ///
    /// # Errors
    /// [`NotRunReason::StaleConfiguration`]: a name that is not known yet is no unknown name.
    pub fn check_configuration(&self) -> Result<()> {
        if self.config.is_confirmed() && self.gossip.verdict().allows_work() {
            return Ok(());
        }
        let reason = NotRunReason::StaleConfiguration;
        Err(NotRun { reason, retry_after: NO_OWNER_RETRY }.into())
    }

    /// Submits an order to the owners of its candidates until one dispatches it.
    ///
    /// # Errors
    /// [`Problem::NotRun`] when no owner took it, [`Problem::Failed`] when one may have run it.
    pub async fn submit(&self, mut order: WorkOrder) -> Result<Answer> {
        let started = Instant::now();
        let base = order.model.split(':').next().unwrap_or_default().to_owned();
        let deadline = order.deadline;
        let mut last = NotRun { reason: NotRunReason::NoOwner, retry_after: NO_OWNER_RETRY };
        for _pass in 0..MAX_PASSES {
            for (engine, owner) in self.candidates(&order.model, &base) {
                let Some(left) = deadline.checked_sub(started.elapsed()) else {
                    let reason = NotRunReason::Deadline;
                    return Err(NotRun { reason, retry_after: NO_OWNER_RETRY }.into());
                };
                order.engine = engine;
                order.deadline = left;
                match self.try_owner(&order, owner).await {
                    Ok(replies) => {
                        return Ok(Answer { replies, next_offset: 0 });
                    }
                    Err(Problem::NotRun(not_run)) => {
                        self.metrics.retries.count(&not_run.reason.to_string());
                        last = not_run;
                    }
                    Err(problem) => return Err(problem),
                }
            }
            if !is_transfer(last.reason) {
                break;
            }
            actix_rt::time::sleep(PASS_PAUSE).await;
        }
        Err(last.into())
    }

    fn candidates(&self, model: &str, base: &str) -> Vec<(String, SocketAddr)> {
        let fleet = self.config.current();
        let engines = fleet.engines_of(base).map(|(name, _)| name.as_str());
        rank_engines(model, engines)
            .into_iter()
            .filter_map(|engine| {
                let object = self.owners.find(&format!("owner-{engine}"))?;
                let record: OwnershipRecord = serde_json::from_str(&object.value).ok()?;
                (!record.released).then(|| (engine.to_owned(), record.address))
            })
            .take(MAX_CANDIDATES)
            .collect()
    }

    /// Submits to one owner and waits until the order is dispatched.
    async fn try_owner(&self, order: &WorkOrder, owner: SocketAddr) -> Result<ReplyStream> {
        let unreachable = NotRun { reason: NotRunReason::Unreachable, retry_after: NO_OWNER_RETRY };
        let call = self.peers.call(owner, &PeerRequest::Work(order.clone())).await;
        let mut replies = match call {
            Ok(replies) => replies,
            Err(rail_peer::Error::Connect) => return Err(unreachable.into()),
            Err(_) => return Err(Problem::Failed(Failed::UnknownOutcome)),
        };
        match replies.next().await {
            Ok(Some(PeerReply::Work(WorkEvent::Dispatched))) => Ok(replies),
            Ok(Some(PeerReply::Work(WorkEvent::NotRun(not_run)))) => Err(not_run.into()),
            Ok(Some(PeerReply::Work(WorkEvent::Failed(failed)))) => Err(Problem::Failed(failed)),
            _ => Err(Problem::Failed(Failed::UnknownOutcome)),
        }
    }
}

/// Reports whether a refusal comes from a transfer of ownership, which soon ends.
fn is_transfer(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::NoOwner
            | NotRunReason::NotOwner
            | NotRunReason::Leaving
            | NotRunReason::Unreachable
            | NotRunReason::StaleConfiguration
    )
}
