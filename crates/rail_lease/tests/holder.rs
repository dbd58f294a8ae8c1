//! Validity of a session after lost replies, after pauses and after a deletion of its record.

use rail_lease::{CallEffect, HolderCommand, LeaseTimes, SessionHolder, SessionRecord};
use std::time::Duration;

const TTL: Duration = Duration::from_secs(3);

fn at(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn renewal(holder: &mut SessionHolder, now: Duration) -> (SessionRecord, String) {
    match holder.poll(now) {
        Some(HolderCommand::Renew { record, expected_version }) => (record, expected_version),
        other => panic!("expected a renewal: {other:?}"),
    }
}

fn started_holder() -> SessionHolder {
    let record = SessionRecord {
        session_id: 1,
        host: "host1".to_owned(),
        zone: "zone1".to_owned(),
        address: "127.0.0.1:1".parse().expect("address"),
        ttl_ms: TTL.as_millis() as u64,
        renewals: 0,
        leaving: false,
        revoked: false,
        witnesses: Vec::new(),
    };
    let times = LeaseTimes { pause_margin: TTL / 2, max_outage: TTL };
    let mut holder = SessionHolder::new(record.clone(), times);
    holder.tick(at(0));
    holder.poll(at(0)).expect("creation");
    holder.acknowledge(record, "1".to_owned());
    holder
}

#[test]
fn a_renewal_that_is_read_back_counts_from_its_first_attempt() {
    let mut holder = started_holder();
    let (written, _) = renewal(&mut holder, at(1000));
    holder.record_failure(CallEffect::Unknown, at(1000));
    holder.tick(at(1400));
    let (retried, expected) = renewal(&mut holder, at(2500));
    assert_eq!((&retried, expected.as_str()), (&written, "1"), "the retry writes the same record");
    holder.acknowledge(written, "2".to_owned());
    holder.tick(at(2700));
    holder.tick(at(3900));
    assert!(holder.is_valid(at(3999)));
    assert!(!holder.is_valid(at(4000)), "a revoker may have observed the record since 1000 ms");
}

#[test]
fn a_pause_above_the_margin_needs_a_renewal_sent_after_it() {
    let mut holder = started_holder();
    let (renewal_before_pause, _) = renewal(&mut holder, at(1000));
    assert!(!holder.is_valid(at(1501)), "a gap between ticks counts before the next tick");
    holder.tick(at(1600));
    holder.acknowledge(renewal_before_pause, "2".to_owned());
    assert!(!holder.is_valid(at(1600)), "a renewal sent before the pause is not enough");
    let (renewal_after_pause, _) = renewal(&mut holder, at(1600));
    holder.acknowledge(renewal_after_pause, "3".to_owned());
    assert!(holder.is_valid(at(1600)));
}

#[test]
fn a_record_created_again_after_a_deletion_is_distinguished_from_own_renewals() {
    let mut holder = started_holder();
    let first = holder.record().clone();
    assert!(!holder.is_recreated(&first, "1"), "the renewal did not take effect");
    assert!(holder.is_recreated(&first, "9"), "a delayed duplicate of the creation");
    let (renewed, _) = renewal(&mut holder, at(1000));
    assert!(!holder.is_recreated(&renewed, "2"), "the renewal took effect");
    holder.acknowledge(renewed, "2".to_owned());
    assert!(holder.is_recreated(&first, "9"), "a delayed duplicate of the creation");
}
