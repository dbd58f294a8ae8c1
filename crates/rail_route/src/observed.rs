//! Adapters that engines have recently used for this host's requests.
//!
//! While the owner of an engine can't be reached, a host sends requests without a grant to engines
//! on which the adapter is presumed resident.

use crate::upstream::UpstreamId;
use std::{collections::HashMap, time::Duration};

/// Time for which an adapter is presumed resident after an engine used it for an answer.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(15);

/// Time for which no requests without a grant go to an engine that refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(800);

/// Adapters by engine, with the time of their last answer.
#[derive(Debug, Clone, Default)]
pub struct ObservedAdapters {
    engines: HashMap<UpstreamId, HashMap<String, Duration>>,
    /// End of the pause of each engine that refused a request without a grant.
    paused: HashMap<UpstreamId, Duration>,
}

impl ObservedAdapters {
    /// Records that an engine answered a request for an adapter, given as `model/adapter`.
    pub fn record(&mut self, engine: &str, model: &str, now: Duration) {
        let adapters = self.engines.entry(engine.to_owned()).or_default();
        adapters.insert(model.to_owned(), now);
    }

    /// Removes an adapter that an engine does not have.
    pub fn remove(&mut self, engine: &str, model: &str) {
        if let Some(adapters) = self.engines.get_mut(engine) {
            adapters.remove(model);
        }
    }

    /// Pauses requests without a grant to an engine that refused one. The engine is full, and other
    /// hosts also send it requests without a grant.
    pub fn pause(&mut self, engine: &str, now: Duration) {
        self.paused.insert(engine.to_owned(), now + REFUSAL_PAUSE);
    }

    /// Reports whether requests without a grant may be sent to an engine.
    pub fn may_send_without_grant(&self, engine: &str, now: Duration) -> bool {
        self.paused.get(engine).is_none_or(|until| now >= *until)
    }

    /// Reports whether an adapter is presumed resident on an engine.
    pub fn is_presumed_resident(&self, engine: &str, model: &str, now: Duration) -> bool {
        let answered_at = self.engines.get(engine).and_then(|adapters| adapters.get(model));
        answered_at.is_some_and(|at| now < *at + OBSERVATION_LIFETIME)
    }

    /// Removes outdated observations and pauses, and engines that are no longer registered.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        for adapters in self.engines.values_mut() {
            adapters.retain(|_, at| now < *at + OBSERVATION_LIFETIME);
        }
        self.engines.retain(|engine, adapters| !adapters.is_empty() && is_known(engine));
        self.paused.retain(|_, until| now < *until);
    }
}
