//! Compares two sets of runs on the same seeds.

use crate::report::{Error, Report, Result, RunMetrics};
use std::{fmt::Write, fs};

/// Label of a metric, and the function that returns it.
type Metric = (&'static str, fn(&RunMetrics) -> f64);

/// Metrics that are compared.
const METRICS: [Metric; 10] = [
    ("urgent stall p50 ms", |m| m.urgent.p50_ms),
    ("urgent stall p95 ms", |m| m.urgent.p95_ms),
    ("urgent stall p99 ms", |m| m.urgent.p99_ms),
    ("urgent share stalled", |m| m.urgent.share_stalled),
    ("deferrable stall p95 ms", |m| m.deferrable.p95_ms),
    ("deferrable share stalled", |m| m.deferrable.share_stalled),
    ("expired", |m| (m.urgent.expired + m.deferrable.expired) as f64),
    ("batch efficiency", |m| m.batch_efficiency),
    ("loads a second", |m| m.loads_per_s),
    ("hit ratio", |m| m.hit_ratio),
];

/// Reads the runs that `FILE` or `FILE:POLICY` selects.
///
/// # Errors
/// Returns an error if the file is not a report or has no run of the policy.
pub fn read_runs(selector: &str) -> Result<Vec<RunMetrics>> {
    let (path, policy) = selector.split_once(':').unwrap_or((selector, ""));
    let report: Report = serde_json::from_str(&fs::read_to_string(path)?)?;
    let is_selected = |m: &RunMetrics| policy.is_empty() || m.policy == policy;
    let runs: Vec<RunMetrics> = report.measures.into_iter().filter(is_selected).collect();
    if runs.is_empty() { Err(Error::NoSuchPolicy(policy.to_owned())) } else { Ok(runs) }
}

/// Formats a table with the mean of each metric in `a` and `b`, and with the mean, least and
/// greatest ratio A / B over the seeds.
pub fn table(a: &[RunMetrics], b: &[RunMetrics]) -> String {
    let mut text =
        format!("{:<26}{:>11}{:>11}{:>9}{:>9}{:>9}\n", "", "A", "B", "A/B", "min", "max");
    for (name, metric) in METRICS {
        let mean = |runs: &[RunMetrics]| runs.iter().map(metric).sum::<f64>() / runs.len() as f64;
        let same_seed = |left: &RunMetrics| b.iter().find(|right| right.seed == left.seed);
        let pairs = a.iter().filter_map(|left| Some((metric(left), metric(same_seed(left)?))));
        let ratios: Vec<f64> = pairs.map(|(left, right)| left / right).collect();
        let mean_ratio = ratios.iter().sum::<f64>() / ratios.len() as f64;
        let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        // Writing to a string does not fail.
        let _written = writeln!(
            text,
            "{name:<26}{:>11.3}{:>11.3}{mean_ratio:>9.3}{least:>9.3}{greatest:>9.3}",
            mean(a),
            mean(b)
        );
    }
    text
}
