//! Choice of an instance of a plain service.

use crate::{outlier::OutlierDetector, upstream::Upstream};
use std::{sync::Arc, time::Duration};

/// Utilization by which an instance in another availability zone must be lower to be chosen.
const OTHER_ZONE_COST: f64 = 0.1;

/// Chooses the instance with the lowest cost: its utilization, plus its failure rate, plus
/// a fixed cost outside `zone`. An ejected instance is chosen only if all others are ejected too, and
/// one in `tried` only if all others were tried too, ejected ones included.
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
