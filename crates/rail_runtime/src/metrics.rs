//! Counters and gauges, exposed in the `OpenMetrics` text format.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
};

/// Label set of a counter family with one `reason` label.
pub type ReasonLabels = Vec<(String, String)>;

/// Shared registry of a process.
#[derive(Clone, Default)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Registers a plain counter.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.with(|registry| registry.register(name, help, counter.clone()));
        counter
    }

    /// Registers a counter that is split by reason.
    pub fn reasons(&self, name: &str, help: &str) -> Reasons {
        let family = Family::<ReasonLabels, Counter>::default();
        self.with(|registry| registry.register(name, help, family.clone()));
        Reasons { family }
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::<i64>::default();
        self.with(|registry| registry.register(name, help, gauge.clone()));
        gauge
    }

    /// Renders all metrics in the `OpenMetrics` text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        self.with(|registry| encode(&mut text, registry).unwrap_or_default());
        text
    }

    fn with<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counter family split by a `reason` label.
#[derive(Debug, Clone)]
pub struct Reasons {
    family: Family<ReasonLabels, Counter>,
}

impl Reasons {
    /// Counts one event of this reason.
    pub fn count(&self, reason: &str) {
        self.family.get_or_create(&vec![("reason".to_owned(), reason.to_owned())]).inc();
    }
}
