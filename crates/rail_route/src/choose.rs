//! Choice among the instances of a plain service.

use crate::{
    outlier::OutlierDetector,
    upstream::{Upstream, UpstreamId},
};
use std::{sync::Arc, time::Duration};

/// Utilization by which an instance in another availability zone must be lower to be chosen.
const OTHER_ZONE_COST: f64 = 0.1;
/// Instances that are proposed for the trial of a request.
const MAX_TRIAL_CANDIDATES: usize = 8;

/// Chooses the instance with the lowest cost: its utilization, plus its failure rate, plus
/// a fixed cost outside `zone`. An ejected instance is chosen only if all others are ejected too,
/// and one in `tried` only if all others were tried too, ejected ones included.
///
/// `load` returns the number of requests on an instance, as far as this host knows.
pub fn choose_instance<'a>(
    instances: impl Iterator<Item = &'a Arc<Upstream>>,
    tried: &[String],
    zone: &str,
    outlier_detector: &OutlierDetector,
    load: impl Fn(&str) -> f64,
    now: Duration,
) -> Option<&'a Arc<Upstream>> {
    let cost = |upstream: &Arc<Upstream>| {
        let is_tried = tried.contains(&upstream.id);
        let is_ejected = outlier_detector.is_ejected(&upstream.id, now);
        let zone_cost = if upstream.zone == zone { 0.0 } else { OTHER_ZONE_COST };
        let utilization = load(&upstream.id) / f64::from(upstream.slots.max(1));
        let failure_rate = outlier_detector.failure_rate(&upstream.id);
        (is_tried, is_ejected, utilization + zone_cost + failure_rate)
    };
    instances.min_by(|a, b| {
        let (a, b) = (cost(a), cost(b));
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
    })
}

/// Returns the instances that may run a request next: ejected ones only if all others were tried,
/// and those in `tried` only if all were.
pub fn preferred_instances(
    instances: &[Arc<Upstream>],
    tried: &[UpstreamId],
    outlier_detector: &OutlierDetector,
    now: Duration,
) -> Vec<UpstreamId> {
    let rank = |upstream: &Arc<Upstream>| {
        (tried.contains(&upstream.id), outlier_detector.is_ejected(&upstream.id, now))
    };
    let best = instances.iter().map(rank).min();
    let preferred = instances.iter().filter(|upstream| Some(rank(upstream)) == best);
    preferred.map(|upstream| upstream.id.clone()).collect()
}

/// Returns the instances that are neither ejected nor in `tried`.
pub fn untried_instances(
    mut instances: Vec<Arc<Upstream>>,
    tried: &[UpstreamId],
    outlier_detector: &OutlierDetector,
    now: Duration,
) -> Vec<Arc<Upstream>> {
    instances.retain(|upstream| {
        !tried.contains(&upstream.id) && !outlier_detector.is_ejected(&upstream.id, now)
    });
    instances
}

/// Returns the instances that may run the trial of a request, the least loaded first. Ejected ones
/// and those in `tried` come last.
///
/// `load` returns the number of requests on an instance, as far as this host knows.
pub fn trial_candidates<'a>(
    instances: impl Iterator<Item = &'a Arc<Upstream>>,
    tried: &[UpstreamId],
    outlier_detector: &OutlierDetector,
    load: impl Fn(&str) -> f64,
    now: Duration,
) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = instances.map(|upstream| upstream.id.clone()).collect();
    ids.sort_by(|a, b| load(a).total_cmp(&load(b)));
    ids.sort_by_key(|id| outlier_detector.is_ejected(id, now) || tried.contains(id));
    ids.truncate(MAX_TRIAL_CANDIDATES);
    ids
}
