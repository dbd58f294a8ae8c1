//! Times of announced adapter versions.

use rail_place::AdapterVersions;
use std::time::Duration;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Announcements can arrive out of order; an older one must not replace the newest version.
#[test]
fn an_older_announced_version_is_ignored() {
    let mut versions = AdapterVersions::default();
    assert!(versions.record("m/a", 2, Some(ms(5))));
    assert!(!versions.record("m/a", 1, Some(ms(6))));
    assert_eq!(versions.newest("m/a"), Some(2));
    assert_eq!(versions.outdated_at("m/a", Some(1), ms(50)), Some(ms(55)));
    assert_eq!(versions.outdated_at("m/a", Some(2), ms(50)), None);
}

/// Guards against a version that stays in use because newer ones are announced after the first.
#[test]
fn each_version_is_outdated_from_the_announcement_of_the_next_one() {
    let mut versions = AdapterVersions::default();
    for (version, announced_at) in [(1, 0), (2, 10), (3, 30), (4, 60)] {
        versions.record("m/a", version, Some(ms(announced_at)));
    }
    let outdated_at = |used| versions.outdated_at("m/a", used, ms(50));
    assert_eq!(outdated_at(None), Some(ms(50)));
    assert_eq!(outdated_at(Some(1)), Some(ms(60)));
    assert_eq!(outdated_at(Some(2)), Some(ms(80)));
    assert_eq!(outdated_at(Some(3)), Some(ms(110)));
    assert_eq!(outdated_at(Some(4)), None);
}

/// Guards against a process that starts and takes the announcements it finds for new ones.
#[test]
fn a_version_announced_at_an_unknown_time_outdates_earlier_ones_at_once() {
    let mut versions = AdapterVersions::default();
    versions.record("m/a", 2, None);
    assert_eq!(versions.outdated_at("m/a", Some(1), ms(50)), Some(ms(0)));
}

/// The times of many versions are not kept for ever; none is forgotten in favour of a later one.
#[test]
fn a_long_series_of_versions_never_extends_the_time_of_an_earlier_one() {
    let mut versions = AdapterVersions::default();
    for version in 0..100 {
        versions.record("m/a", version, Some(ms(10 * version)));
        for used in 0..version {
            let outdated_at = versions.outdated_at("m/a", Some(used), ms(50));
            assert!(outdated_at.is_some_and(|at| at <= ms(10 * (used + 1) + 50)), "{used}");
        }
    }
}
