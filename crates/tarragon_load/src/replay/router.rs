//! Chooses the engine of a request, as a gateway does.

use rail_place::{Policy, ReplicaController, ReplicaHints, choose_engines, rank_engines};
use std::{collections::HashMap, time::Duration};

/// Interval at which gateways learn the load of engines.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Routes by a policy.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    names: Vec<String>,
    ranks: HashMap<String, Vec<usize>>,
    controller: ReplicaController,
    hints: ReplicaHints,
    reported: Vec<f64>,
    reported_at: Duration,
}

impl Router {
    /// Starts for this many engines.
    pub fn new(policy: Policy, engines: usize) -> Self {
        Self {
            policy,
            names: (1..=engines).map(|number| format!("engine{number}")).collect(),
            ranks: HashMap::new(),
            controller: ReplicaController::default(),
            hints: ReplicaHints::default(),
            reported: vec![0.0; engines],
            reported_at: Duration::ZERO,
        }
    }

    /// Reports whether the known loads are out of date.
    pub fn wants_loads(&self, now: Duration) -> bool {
        now >= self.reported_at + REPORT_INTERVAL
    }

    /// Takes in the load of every engine.
    pub fn report(&mut self, loads: Vec<f64>, now: Duration) {
        self.reported = loads;
        self.reported_at = now;
    }

    /// Chooses an engine; `queued` gives the requests that each holds at this moment.
    pub fn choose(
        &mut self,
        adapter: &str,
        request_id: u128,
        queued: impl Fn(usize) -> usize,
        now: Duration,
    ) -> usize {
        if self.policy == Policy::LeastLoaded {
            return (0..self.names.len()).min_by_key(|engine| queued(*engine)).unwrap_or(0);
        }
        let ranked = self.rank(adapter);
        if !self.policy.uses_objective() {
            return ranked[0];
        }
        let loads: Vec<f64> = ranked.iter().map(|engine| self.reported[*engine]).collect();
        let width = self.hints.replicas(adapter, now);
        ranked[choose_engines(&loads, width, request_id)[0]]
    }

    /// Takes in the share of an engine's batch that an adapter uses, as answers bring it.
    pub fn observe(&mut self, adapter: &str, engine: usize, share: f64, now: Duration) {
        if self.policy.uses_objective() && self.rank(adapter)[0] == engine {
            let width = self.controller.update(adapter, share, now);
            self.hints.record(adapter, width, now);
        }
    }

    fn rank(&mut self, adapter: &str) -> Vec<usize> {
        if let Some(ranked) = self.ranks.get(adapter) {
            return ranked.clone();
        }
        let ranked = rank_engines(adapter, self.names.iter().map(String::as_str));
        let position = |name| self.names.iter().position(|known| known == name);
        let ranked: Vec<usize> = ranked.into_iter().filter_map(position).collect();
        self.ranks.insert(adapter.to_owned(), ranked.clone());
        ranked
    }
}
