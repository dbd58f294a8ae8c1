//! What hosts know of the origins of streams, alone and together.

use rail_origin::{
    AskedHosts, OriginKnowledge, OriginTable, OriginUnknown, RETENTION, SeenVersions, SoftwarePin,
    StreamKey, decide,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn began(version: &str) -> OriginKnowledge {
    OriginKnowledge::Began(version.to_owned())
}

fn only(version: &str) -> OriginKnowledge {
    OriginKnowledge::Only(version.to_owned())
}

/// Guards against hosts that know different things and believe the wrong one.
#[test]
fn hosts_combine_what_they_know_in_any_order() {
    use OriginKnowledge::{Unaware, Unrecorded};
    let presumed = |version: &str| OriginKnowledge::Presumed(version.to_owned());
    let cases = [
        (began("a"), Unrecorded, began("a")),
        (began("a"), only("b"), began("a")),
        (began("a"), began("b"), Unrecorded),
        (Unrecorded, only("a"), Unrecorded),
        (only("a"), only("b"), Unrecorded),
        (only("a"), Unaware, only("a")),
        (Unaware, Unaware, Unaware),
        (presumed("a"), only("a"), only("a")),
        (presumed("a"), only("b"), Unrecorded),
        (presumed("a"), presumed("b"), Unrecorded),
        (presumed("a"), Unaware, presumed("a")),
        (presumed("a"), began("b"), began("b")),
        (presumed("a"), Unrecorded, Unrecorded),
    ];
    for (one, other, together) in cases {
        assert_eq!(one.clone().combine(other.clone()), together, "{one:?} with {other:?}");
        assert_eq!(other.clone().combine(one.clone()), together, "{other:?} with {one:?}");
    }
}

/// Guards against a restarted host that takes the version which it sees for the only one, and
/// against a version that counts as gone while its streams may still be resumed.
#[test]
fn a_version_is_the_only_one_after_streams_of_others_have_ended() {
    let mut seen = SeenVersions::default();
    assert_eq!(seen.knowledge("s", RETENTION * 2, true), OriginKnowledge::Unaware);
    seen.observe("s", "a", SECOND);
    assert_eq!(seen.knowledge("s", SECOND, true), OriginKnowledge::Unaware, "it has just started");
    seen.observe("s", "a", RETENTION * 2);
    assert_eq!(seen.knowledge("s", RETENTION * 2, true), only("a"));
    seen.observe("s", "b", RETENTION * 2);
    assert_eq!(seen.knowledge("s", RETENTION * 2, true), OriginKnowledge::Unrecorded);
    let almost = RETENTION * 2 + SECOND * 29;
    seen.observe("s", "a", almost);
    seen.prune(almost);
    assert!(seen.is_mixed("s"), "streams of b may still be resumed");
    seen.prune(RETENTION * 3);
    assert_eq!(seen.knowledge("s", RETENTION * 3, true), only("a"));
}

/// Guards against a host that is cut off or stood still, which takes the version it knows for the
/// only one, and against refusals of hosts in step of which one or two others have just been
/// killed.
#[test]
fn a_version_is_the_only_one_if_other_hosts_confirm_it() {
    let asked = |replied, silent| AskedHosts { replied, silent, ..AskedHosts::default() };
    let presumed = || OriginKnowledge::Presumed("a".to_owned());
    let goes_on = |told, asked| decide(told, asked, None, None).is_ok();
    for (replied, silent, is_confirmed) in
        [(0, 0, false), (0, 3, false), (1, 2, false), (1, 1, true), (1, 0, true), (2, 1, true)]
    {
        assert_eq!(goes_on(only("a"), asked(replied, silent)), is_confirmed, "{replied} {silent}");
    }
    let alone = AskedHosts { is_alone: true, ..AskedHosts::default() };
    assert!(goes_on(only("a"), alone) && !goes_on(presumed(), alone));
    for (replied, silent, is_confirmed) in
        [(0, 0, false), (1, 0, false), (2, 0, true), (2, 1, true), (2, 2, false), (3, 0, true)]
    {
        assert_eq!(goes_on(presumed(), asked(replied, silent)), is_confirmed, "{replied} {silent}");
    }
    let unaware = AskedHosts { replied: 3, unaware: 1, ..AskedHosts::default() };
    assert!(!goes_on(presumed(), unaware));
    let stored = Some(OriginKnowledge::Unaware);
    let registered = Some("a".to_owned());
    let refused = decide(presumed(), asked(0, 3), stored.clone(), registered.clone());
    assert_eq!(refused, Err(OriginUnknown::SourceSilent));
    assert!(decide(only("a"), asked(0, 3), stored, registered).is_ok(), "the store confirms it");
}

/// Guards against memory that grows with the streams, and against a second host that renames the
/// origin of a stream.
#[test]
fn a_table_keeps_the_first_origin_for_its_time() {
    let mut table = OriginTable::default();
    let stream = StreamKey::of("2fac49a5d80228e5");
    assert!(table.record(stream, "a", SECOND) && !table.record(stream, "b", SECOND * 2));
    assert_eq!(table.find(stream).as_deref(), Some("a"));
    table.prune(RETENTION);
    assert_eq!(table.len(), 1);
    table.prune(RETENTION + SECOND);
    assert!(table.is_empty() && table.find(stream).is_none());
    for number in 0..250_000_u32 {
        table.record(StreamKey::of(&number.to_string()), "a", SECOND);
    }
    assert_eq!(table.len(), 100_000);
    assert!(table.find(StreamKey::of("249999")).is_some());
}

/// Guards against an upstream of another version, or without one, that continues a stream.
#[test]
fn a_pin_admits_its_version_only() {
    let pin = SoftwarePin::Only("v1".to_owned());
    let admitted = ["v1", "v1.1", "v", ""].map(|software| pin.admits(software));
    assert_eq!(admitted, [true, false, false, false]);
    assert!(SoftwarePin::default().admits("") && SoftwarePin::default().admits("v1"));
}
