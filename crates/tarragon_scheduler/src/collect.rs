//! Deletes the records of ended sessions.

use crate::session::{Session, session_name};
use rail_lease::{SessionCollector, SessionId, SessionRecord};
use rail_platform::Error;
use std::{collections::BTreeSet, time::Duration};

/// Interval between rounds; a round deletes at most one record.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Starts deleting records older than `retention` on the current actix thread.
pub(crate) fn spawn(session: Session, retention: Duration) {
    actix_rt::spawn(async move {
        let mut collector = SessionCollector::new(retention);
        loop {
            actix_rt::time::sleep(ROUND_INTERVAL).await;
            if session.has_current_copies() {
                session.collect_one(&mut collector).await;
            }
        }
    });
}

impl Session {
    async fn collect_one(&self, collector: &mut SessionCollector) {
        let state = self.state();
        let now = state.clock.now();
        let sessions = self.stored_sessions();
        collector.observe(&sessions, now);
        if !self.is_valid() || self.is_leaving() {
            return;
        }
        let own_id = state.holder.borrow().record().session_id;
        let is_live = |record: &SessionRecord| !record.revoked && !record.leaving;
        let live: BTreeSet<SessionId> = sessions
            .iter()
            .filter(|(record, _)| is_live(record))
            .map(|(record, _)| record.session_id)
            .collect();
        let owners = state.stored_owners.borrow_mut().read();
        let owner_ids = owners.values().map(|(record, _)| record.session_id).collect();
        let Some((session_id, version)) = collector.next_deletion(own_id, &live, &owner_ids, now)
        else {
            return;
        };
        match state.platform.delete_version(&session_name(session_id), version).await {
            Ok(()) => {
                state.metrics.collected_sessions.inc();
            }
            Err(Error::NotFound | Error::Conflict) => {}
            Err(error) => state.metrics.session_events.count(error.reason()),
        }
    }

    fn stored_sessions(&self) -> Vec<(SessionRecord, String)> {
        let objects = self.state().sessions.objects().into_iter();
        objects
            .filter_map(|object| Some((serde_json::from_str(&object.value).ok()?, object.version)))
            .collect()
    }
}
