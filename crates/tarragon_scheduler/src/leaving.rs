//! Refuses queued work of engines that are leaving, so that it can run elsewhere.

use crate::{engine::Drain, session::Session};
use rail_platform::ConfigFollower;
use std::{collections::BTreeSet, time::Duration};

/// Interval between checks of the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts draining each owned engine that the configuration marks as leaving, on the current actix
/// thread.
pub fn spawn(session: Session, config: ConfigFollower) {
    actix_rt::spawn(async move {
        let mut drained = BTreeSet::new();
        loop {
            let fleet = config.applied();
            let is_leaving = |name: &String| fleet.upstreams.get(name).is_some_and(|u| u.leaving);
            drained.retain(is_leaving);
            for name in fleet.upstreams.keys().filter(|name| is_leaving(name)) {
                if drained.contains(name) {
                    continue;
                }
                if let Some(engine) = session.engine(name) {
                    engine.do_send(Drain);
                    drained.insert(name.clone());
                }
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    });
}
