//! Ratios between two sets of runs on the same seeds.

use crate::report::{Error, Measure, Report, Result};
use std::{fmt::Write, fs};

/// One figure of a run.
type Figure = (&'static str, fn(&Measure) -> f64);

/// Figures that are compared.
const FIGURES: [Figure; 10] = [
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

/// Reads the runs of `FILE` or `FILE:POLICY`.
///
/// # Errors
/// Fails when the file is no report or has no such policy.
pub fn read_runs(name: &str) -> Result<Vec<Measure>> {
    let (path, policy) = name.split_once(':').unwrap_or((name, ""));
    let report: Report = serde_json::from_str(&fs::read_to_string(path)?)?;
    let is_wanted = |m: &Measure| policy.is_empty() || m.policy == policy;
    let runs: Vec<Measure> = report.measures.into_iter().filter(is_wanted).collect();
    if runs.is_empty() { Err(Error::NoSuchPolicy(policy.to_owned())) } else { Ok(runs) }
}

/// Writes a table of means and of the ratios A / B: mean, least and greatest over the seeds.
pub fn table(a: &[Measure], b: &[Measure]) -> String {
    let mut text =
        format!("{:<26}{:>11}{:>11}{:>9}{:>9}{:>9}\n", "", "A", "B", "A/B", "min", "max");
    for (name, figure) in FIGURES {
        let mean = |runs: &[Measure]| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
        let same_seed = |left: &Measure| b.iter().find(|right| right.seed == left.seed);
        let pairs = a.iter().filter_map(|left| Some((figure(left), figure(same_seed(left)?))));
        let ratios: Vec<f64> = pairs.map(|(left, right)| left / right).collect();
        let average = ratios.iter().sum::<f64>() / ratios.len() as f64;
        let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        // Writing to a string does not fail.
        let _written = writeln!(
            text,
            "{name:<26}{:>11.3}{:>11.3}{average:>9.3}{least:>9.3}{greatest:>9.3}",
            mean(a),
            mean(b)
        );
    }
    text
}
