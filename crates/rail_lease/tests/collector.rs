//! Deletion of the records of revoked sessions.

use rail_lease::{SessionCollector, SessionId, SessionRecord};
use std::{collections::BTreeSet, time::Duration};

const RETENTION: Duration = Duration::from_secs(60);

fn session(session_id: SessionId, revoked: bool, version: &str) -> (SessionRecord, String) {
    let record = SessionRecord {
        session_id,
        host: format!("host{session_id}"),
        zone: "a".to_owned(),
        address: "127.0.0.1:7401".parse().expect("an address"),
        ttl_ms: 3000,
        renewals: 1,
        leaving: false,
        revoked,
        witnesses: Vec::new(),
    };
    (record, version.to_owned())
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ids(ids: &[SessionId]) -> BTreeSet<SessionId> {
    ids.iter().copied().collect()
}

#[test]
fn a_revoked_session_is_deleted_after_its_retention() {
    let mut collector = SessionCollector::new(RETENTION);
    let sessions = [session(1, false, "a"), session(2, true, "b")];
    collector.observe(&sessions, at(10));
    collector.observe(&sessions, at(40));
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[1]), at(69)), None);
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[1]), at(70)), Some((2, "b")));
}

#[test]
fn a_session_that_an_ownership_record_names_is_not_deleted() {
    let mut collector = SessionCollector::new(RETENTION);
    collector.observe(&[session(2, true, "b"), session(3, true, "c")], at(0));
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[2]), at(60)), Some((3, "c")));
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[2, 3]), at(60)), None);
}

#[test]
fn only_the_live_session_with_the_smallest_id_deletes_records() {
    let mut collector = SessionCollector::new(RETENTION);
    collector.observe(&[session(1, true, "b")], at(0));
    assert_eq!(collector.next_deletion(5, &ids(&[4, 5]), &ids(&[]), at(60)), None);
    assert_eq!(collector.next_deletion(5, &ids(&[]), &ids(&[]), at(60)), None);
    assert_eq!(collector.next_deletion(4, &ids(&[4, 5]), &ids(&[]), at(60)), Some((1, "b")));
}

#[test]
fn a_new_version_starts_the_retention_again_and_a_live_session_is_never_deleted() {
    let mut collector = SessionCollector::new(RETENTION);
    collector.observe(&[session(2, true, "b")], at(0));
    collector.observe(&[session(2, true, "c"), session(3, false, "d")], at(50));
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[]), at(60)), None);
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[]), at(110)), Some((2, "c")));
    collector.observe(&[session(2, false, "e"), session(3, false, "d")], at(111));
    assert_eq!(collector.next_deletion(1, &ids(&[1]), &ids(&[]), at(999)), None);
}
