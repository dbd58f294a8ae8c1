//! Finds candidate engines and their owners, and submits orders to the owners.

use crate::{Gateway, completion_stream::CompletionStream, problem::Result};
use rail_lease::OwnershipRecord;
use rail_peer::{PeerRequest, ReplyStream};
use rail_place::{ReplicaCount, choose_engines, rank_engines};
use rail_request::{RequestRefusal, RequestRefusalReason, WorkOrder};
use std::{net::SocketAddr, time::Duration};

/// Load that is assumed for every engine: gateways don't know the loads, and owners refuse requests
/// that exceed their capacity.
const UNKNOWN_LOAD: f64 = 0.0;
/// Maximum number of candidate engines in one pass.
const MAX_CANDIDATES: usize = 3;
/// Age of a heartbeat above which its sender does not count as an owner.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);
/// Retry delay that is sent to callers while no owner responds.
pub const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Gateway {
    /// Checks that the applied configuration is confirmed as current.
    ///
    /// # Errors
    /// Returns [`RequestRefusalReason::StaleConfiguration`] otherwise, because a name that is
    /// missing from an old configuration may exist by now.
    pub fn check_configuration(&self) -> Result<()> {
        if self.config.is_confirmed() && self.gossip.freshness_state().allows_work() {
            return Ok(());
        }
        let reason = RequestRefusalReason::StaleConfiguration;
        Err(RequestRefusal { reason, retry_after: NO_OWNER_RETRY_AFTER }.into())
    }

    /// Runs an order up to the first part of its response.
    ///
    /// # Errors
    /// Returns the problem if the request is quarantined or ends without a part.
    pub async fn submit(
        &self,
        mut order: WorkOrder,
        is_streamed: bool,
    ) -> Result<CompletionStream> {
        let trial_id = rand::random();
        order.isolated = self.quarantine.admit(&order, trial_id).await?;
        CompletionStream::new(self.clone(), order, trial_id, is_streamed).open().await
    }

    /// Returns the candidate engines of an order with their owners, best first.
    ///
    /// Avoided engines come last; engines without an owner are left out.
    pub fn candidates(
        &self,
        order: &WorkOrder,
        avoided_engines: &[String],
    ) -> Vec<(String, SocketAddr)> {
        let model = order.model.as_str();
        let base = model.split(':').next().unwrap_or_default();
        let fleet = self.config.applied();
        let engines = fleet.engines_of(base).map(|(name, _)| name.as_str());
        let ranked = rank_engines(model, engines);
        let replicas = self.replica_hints.borrow().replicas(model, self.started_at.elapsed());
        let engine_loads = vec![UNKNOWN_LOAD; ranked.len()];
        let chosen = choose_engines(&engine_loads, replicas, order.request_id);
        let mut candidates: Vec<(String, SocketAddr)> = chosen
            .into_iter()
            .map(|position| ranked[position])
            .filter_map(|engine| Some((engine.to_owned(), self.find_owner(engine)?)))
            .collect();
        candidates.sort_by_key(|(engine, _)| avoided_engines.contains(engine));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Records over how many engines the requests of a model should be spread, as reported by an
    /// owner.
    pub fn record_replica_count(&self, model: &str, replicas: ReplicaCount) {
        self.replica_hints.borrow_mut().record(model, replicas, self.started_at.elapsed());
    }

    /// Returns the address of an engine's owner.
    ///
    /// It comes from the ownership record on the platform. Without a record it comes from the
    /// heartbeats of schedulers, which stop listing an engine as soon as they lose it.
    fn find_owner(&self, engine: &str) -> Option<SocketAddr> {
        let Some(object) = self.owners.find(&format!("owner-{engine}")) else {
            return self.gossip.find_owner(engine, MAX_HEARTBEAT_AGE);
        };
        let record: OwnershipRecord = serde_json::from_str(&object.value).ok()?;
        (!record.released).then_some(record.address)
    }

    /// Submits an order to an owner.
    ///
    /// # Errors
    /// Returns [`rail_peer::Error::Connect`] if the owner has certainly not received the order.
    pub async fn submit_to_owner(
        &self,
        order: &WorkOrder,
        owner: SocketAddr,
    ) -> rail_peer::error::Result<ReplyStream> {
        self.peers.call(owner, &PeerRequest::Work(order.clone())).await
    }
}
