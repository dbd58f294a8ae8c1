//! Choice among the instances of a plain service.

use crate::{outlier::OutlierDetector, upstream::Upstream};
use std::{sync::Arc, time::Duration};

/// Load in tenths of a slot that an instance in another zone must be lower by to be chosen.
const OTHER_ZONE_COST: f64 = 0.1;

/// Chooses the instance with the least load a slot, near ones first, ejected ones last.
///
/// `load` gives the requests on an instance as this host knows them.
pub fn choose_instance<'a>(
    instances: impl Iterator<Item = &'a Arc<Upstream>>,
    tried: &[String],
    zone: &str,
    trust: &OutlierDetector,
    load: impl Fn(&str) -> f64,
    now: Duration,
) -> Option<&'a Arc<Upstream>> {
    let cost = |upstream: &Arc<Upstream>| {
        let is_tried = tried.contains(&upstream.id);
        let is_ejected = trust.is_ejected(&upstream.id, now);
        let distance = if upstream.zone == zone { 0.0 } else { OTHER_ZONE_COST };
        let busy = load(&upstream.id) / f64::from(upstream.slots.max(1));
        let failing = trust.failure_rate(&upstream.id);
        (is_tried, is_ejected, busy + distance + failing)
    };
    instances.min_by(|a, b| {
        let (a, b) = (cost(a), cost(b));
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
    })
}
