//! Counters, gauges and histograms, exposed in the `OpenMetrics` text format.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Upper bounds of the buckets of duration histograms, in seconds: from one network hop to the
/// longest request deadline.
const DURATION_BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0];

/// Label set with one `reason` label.
pub type ReasonLabels = Vec<(String, String)>;

/// Metrics registry of a process; clones share it.
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
    /// Registers a counter without labels.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.with_lock(|registry| registry.register(name, help, counter.clone()));
        counter
    }

    /// Registers a family of counters with a `reason` label.
    pub fn reason_counters(&self, name: &str, help: &str) -> ReasonCounters {
        let family = Family::<ReasonLabels, Counter>::default();
        self.with_lock(|registry| registry.register(name, help, family.clone()));
        ReasonCounters { family }
    }

    /// Registers a family of duration histograms, in seconds, with a `reason` label.
    pub fn duration_histograms(&self, name: &str, help: &str) -> DurationHistograms {
        let family = Family::new_with_constructor(new_duration_histogram as fn() -> Histogram);
        let handle = family.clone();
        self.with_lock(|registry| registry.register_with_unit(name, help, Unit::Seconds, handle));
        DurationHistograms { family }
    }

    /// Registers a gauge without labels.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::<i64>::default();
        self.with_lock(|registry| registry.register(name, help, gauge.clone()));
        gauge
    }

    /// Registers a family of gauges with one label.
    pub fn gauge_family(&self, name: &str, help: &str, label: &'static str) -> GaugeFamily {
        let family = Family::<ReasonLabels, Gauge>::default();
        self.with_lock(|registry| registry.register(name, help, family.clone()));
        GaugeFamily { family, label }
    }

    /// Renders all metrics in the `OpenMetrics` text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        self.with_lock(|registry| encode(&mut text, registry).unwrap_or_default());
        text
    }

    fn with_lock<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Family of counters with a `reason` label.
#[derive(Debug, Clone)]
pub struct ReasonCounters {
    family: Family<ReasonLabels, Counter>,
}

impl ReasonCounters {
    /// Increments the counter of this reason.
    pub fn count(&self, reason: &str) {
        self.add(reason, 1);
    }

    /// Adds an amount to the counter of this reason.
    pub fn add(&self, reason: &str, amount: u64) {
        self.family.get_or_create(&labels("reason", reason)).inc_by(amount);
    }
}

/// Family of gauges with one label.
#[derive(Debug, Clone)]
pub struct GaugeFamily {
    family: Family<ReasonLabels, Gauge>,
    label: &'static str,
}

impl GaugeFamily {
    /// Sets the gauge of this label value.
    pub fn set(&self, value: &str, amount: i64) {
        self.family.get_or_create(&labels(self.label, value)).set(amount);
    }

    /// Removes all gauges.
    pub fn clear(&self) {
        self.family.clear();
    }
}

fn new_duration_histogram() -> Histogram {
    Histogram::new(DURATION_BUCKETS_S)
}

/// Family of duration histograms with a `reason` label.
#[derive(Debug, Clone)]
pub struct DurationHistograms {
    family: Family<ReasonLabels, Histogram, fn() -> Histogram>,
}

impl DurationHistograms {
    /// Records one duration in the histogram of this reason.
    pub fn observe(&self, reason: &str, duration: Duration) {
        self.family.get_or_create(&labels("reason", reason)).observe(duration.as_secs_f64());
    }
}

/// Returns one label. The renderer writes values as they are, so those that end one are escaped here.
fn labels(name: &str, value: &str) -> ReasonLabels {
    let value = value.replace('\\', r"\\").replace('"', r#"\""#).replace('\n', r"\n");
    vec![(name.to_owned(), value)]
}
