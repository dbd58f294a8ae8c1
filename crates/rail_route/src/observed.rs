//! Adapters that this host has seen on engines, for moments in which no owner can be asked.

use crate::upstream::UpstreamId;
use std::{collections::HashMap, time::Duration};

/// Time for which an adapter that answered is believed to stay.
const SEEN_TIME: Duration = Duration::from_secs(15);

/// Pause after an engine refused a request that no owner had let go.
const REFUSED_PAUSE: Duration = Duration::from_millis(800);

/// Adapters by engine, with the moment of their last answer.
#[derive(Debug, Clone, Default)]
pub struct ObservedAdapters {
    engines: HashMap<UpstreamId, HashMap<String, Duration>>,
    /// Engines that refused what no owner had let go, with the end of the pause that follows.
    paused: HashMap<UpstreamId, Duration>,
}

impl ObservedAdapters {
    /// Takes that an engine answered a request for a model with its adapter.
    pub fn record(&mut self, engine: &str, model: &str, now: Duration) {
        let adapters = self.engines.entry(engine.to_owned()).or_default();
        adapters.insert(model.to_owned(), now);
    }

    /// Takes that an engine does not hold an adapter.
    pub fn remove(&mut self, engine: &str, model: &str) {
        if let Some(adapters) = self.engines.get_mut(engine) {
            adapters.remove(model);
        }
    }

    /// Takes that an engine refused a request that no owner had let go: it is full, and other hosts
    /// guess like this one.
    pub fn pause(&mut self, engine: &str, now: Duration) {
        self.paused.insert(engine.to_owned(), now + REFUSED_PAUSE);
    }

    /// Reports whether requests may go to an engine without its owner's word.
    pub fn may_send_without_grant(&self, engine: &str, now: Duration) -> bool {
        self.paused.get(engine).is_none_or(|until| now >= *until)
    }

    /// Reports whether an engine should still hold an adapter.
    pub fn is_presumed_resident(&self, engine: &str, model: &str, now: Duration) -> bool {
        let seen_at = self.engines.get(engine).and_then(|adapters| adapters.get(model));
        seen_at.is_some_and(|at| now < *at + SEEN_TIME)
    }

    /// Drops what was not seen for long, and engines that are gone.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        for adapters in self.engines.values_mut() {
            adapters.retain(|_, at| now < *at + SEEN_TIME);
        }
        self.engines.retain(|engine, adapters| !adapters.is_empty() && is_known(engine));
        self.paused.retain(|_, until| now < *until);
    }
}
