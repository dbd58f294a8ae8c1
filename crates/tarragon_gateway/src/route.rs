//! Finds the owners of candidate engines and submits orders to them.

use crate::{Gateway, answer::Answer, problem::Result};
use rail_lease::OwnershipRecord;
use rail_peer::{PeerRequest, ReplyStream};
use rail_place::{ReplicaCount, choose_engines, rank_engines};
use rail_request::{RequestRefusal, RequestRefusalReason, WorkOrder};
use std::{net::SocketAddr, time::Duration};

/// Load of an engine that the gateway does not know; owners refuse what is too much.
const UNKNOWN_LOAD: f64 = 0.0;
/// Candidates that one pass tries.
const MAX_CANDIDATES: usize = 3;
/// Age of a heartbeat above which it names no owner any more.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);
/// When a caller should come back while no owner answers.
pub const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

impl Gateway {
    /// Refuses work while no configuration was read or confirmed as current.
    ///
    /// # Errors
    /// [`RequestRefusalReason::StaleConfiguration`]: a name that is not known yet is no unknown name.
    pub fn check_configuration(&self) -> Result<()> {
        if self.config.is_confirmed() && self.gossip.verdict().allows_work() {
            return Ok(());
        }
        let reason = RequestRefusalReason::StaleConfiguration;
        Err(RequestRefusal { reason, retry_after: NO_OWNER_RETRY }.into())
    }

    /// Submits an order to the owners of its candidates and follows it to the first part.
    ///
    /// # Errors
    /// The problem when there will be no part, also of a request that is in quarantine.
    pub async fn submit(&self, mut order: WorkOrder, is_streamed: bool) -> Result<Answer> {
        let trial = rand::random();
        order.isolated = self.quarantine.admit(&order, trial).await?;
        Answer::new(self.clone(), order, trial, is_streamed).open().await
    }

    /// Lists candidate engines with their owners, best first; avoided ones only for want of others.
    pub fn candidates(&self, order: &WorkOrder, avoided: &[String]) -> Vec<(String, SocketAddr)> {
        let model = order.model.as_str();
        let base = model.split(':').next().unwrap_or_default();
        let fleet = self.config.applied();
        let engines = fleet.engines_of(base).map(|(name, _)| name.as_str());
        let ranked = rank_engines(model, engines);
        let width = self.widths.borrow().replicas(model, self.started_at.elapsed());
        let loads = vec![UNKNOWN_LOAD; ranked.len()];
        let spread = choose_engines(&loads, width, order.request_id);
        let mut owned: Vec<(String, SocketAddr)> = spread
            .into_iter()
            .map(|position| ranked[position])
            .filter_map(|engine| Some((engine.to_owned(), self.find_owner(engine)?)))
            .collect();
        owned.sort_by_key(|(engine, _)| avoided.contains(engine));
        owned.truncate(MAX_CANDIDATES);
        owned
    }

    /// Takes in over how many engines an adapter spreads, as its owner said.
    pub fn note_width(&self, model: &str, width: ReplicaCount) {
        self.widths.borrow_mut().record(model, width, self.started_at.elapsed());
    }

    /// Finds the address of an engine's owner: from the platform, or while that knows none, from
    /// the heartbeats of schedulers, which learn at once when they lose an engine.
    fn find_owner(&self, engine: &str) -> Option<SocketAddr> {
        let Some(object) = self.owners.find(&format!("owner-{engine}")) else {
            return self.gossip.find_owner(engine, MAX_HEARTBEAT_AGE);
        };
        let record: OwnershipRecord = serde_json::from_str(&object.value).ok()?;
        (!record.released).then_some(record.address)
    }

    /// Sends an order to an owner.
    ///
    /// # Errors
    /// [`rail_peer::Error::Connect`] when the owner has seen nothing of it.
    pub async fn call_owner(
        &self,
        order: &WorkOrder,
        owner: SocketAddr,
    ) -> rail_peer::error::Result<ReplyStream> {
        self.peers.call(owner, &PeerRequest::Work(order.clone())).await
    }
}
