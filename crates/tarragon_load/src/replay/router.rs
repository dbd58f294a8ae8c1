//! Chooses the engine of a request, as a gateway does.

use rail_place::{Policy, ReplicaController, ReplicaHints, choose_engines, rank_engines};
use std::{collections::HashMap, time::Duration};

/// Interval at which gateways receive the load of engines.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Chooses engines by a placement policy.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    engine_names: Vec<String>,
    /// Engines of each adapter, the preferred one first.
    rankings: HashMap<String, Vec<usize>>,
    replica_controller: ReplicaController,
    replica_hints: ReplicaHints,
    /// Last reported load of each engine.
    reported_loads: Vec<f64>,
    reported_at: Duration,
}

impl Router {
    /// Creates a router for this number of engines.
    pub fn new(policy: Policy, engines: usize) -> Self {
        Self {
            policy,
            engine_names: (1..=engines).map(|number| format!("engine{number}")).collect(),
            rankings: HashMap::new(),
            replica_controller: ReplicaController::default(),
            replica_hints: ReplicaHints::default(),
            reported_loads: vec![0.0; engines],
            reported_at: Duration::ZERO,
        }
    }

    /// Returns whether the recorded engine loads are out of date.
    pub fn needs_engine_loads(&self, now: Duration) -> bool {
        now >= self.reported_at + REPORT_INTERVAL
    }

    /// Records the load of every engine.
    pub fn record_engine_loads(&mut self, loads: Vec<f64>, now: Duration) {
        self.reported_loads = loads;
        self.reported_at = now;
    }

    /// Chooses the engine of a request; `request_count` returns the running and queued requests
    /// of an engine.
    pub fn choose(
        &mut self,
        adapter: &str,
        request_id: u128,
        request_count: impl Fn(usize) -> usize,
        now: Duration,
    ) -> usize {
        if self.policy == Policy::LeastLoaded {
            return (0..self.engine_names.len())
                .min_by_key(|engine| request_count(*engine))
                .unwrap_or(0);
        }
        let ranked = self.rank(adapter);
        if !self.policy.uses_objective() {
            return ranked[0];
        }
        let loads: Vec<f64> = ranked.iter().map(|engine| self.reported_loads[*engine]).collect();
        let replicas = self.replica_hints.replicas(adapter, now);
        ranked[choose_engines(&loads, replicas, request_id)[0]]
    }

    /// Records the share of an engine's batch that an adapter uses, which gateways receive with
    /// responses. Only the preferred engine of the adapter sets its number of replicas.
    pub fn record_usage(&mut self, adapter: &str, engine: usize, share: f64, now: Duration) {
        if self.policy.uses_objective() && self.rank(adapter)[0] == engine {
            let replicas = self.replica_controller.update(adapter, share, now);
            self.replica_hints.record(adapter, replicas, now);
        }
    }

    /// Returns the engines of an adapter, the preferred one first.
    fn rank(&mut self, adapter: &str) -> Vec<usize> {
        if let Some(ranked) = self.rankings.get(adapter) {
            return ranked.clone();
        }
        let ranked = rank_engines(adapter, self.engine_names.iter().map(String::as_str));
        let position = |name| self.engine_names.iter().position(|engine_name| engine_name == name);
        let ranked: Vec<usize> = ranked.into_iter().filter_map(position).collect();
        self.rankings.insert(adapter.to_owned(), ranked.clone());
        ranked
    }
}
