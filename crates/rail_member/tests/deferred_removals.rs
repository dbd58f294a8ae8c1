//! Removals that are deferred after the store was away.

use rail_member::DeferredRemovals;
use rail_revision::Revision;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn revision(number: u64) -> Revision {
    Revision { era: 1, number }
}

/// Guards against a record that is kept for good, since the time of its first removal passed after
/// it had come back and was removed again.
#[test]
fn the_timer_of_an_earlier_removal_ends_a_later_one() {
    let mut removals = DeferredRemovals::default();
    removals.defer("u1", revision(5), 1900 * MS);
    removals.cancel("u1", revision(7));
    removals.defer("u1", revision(8), 2400 * MS);
    assert_eq!(removals.take_due("u1", 1900 * MS), None, "it is not due");
    assert_eq!(removals.take_due("u1", 2400 * MS), Some(revision(8)));
    assert_eq!(removals.take_due("u1", 2400 * MS), None, "it has ended");
}

/// Guards against a removal that each further return of the store puts off, and against one that
/// spares a record of a revision that was gone too.
#[test]
fn a_further_return_of_the_store_puts_a_removal_off() {
    let mut removals = DeferredRemovals::default();
    removals.defer("u1", revision(5), 1900 * MS);
    removals.defer("u1", revision(6), 3100 * MS);
    assert_eq!(removals.take_due("u1", 1900 * MS), Some(revision(6)));
}

/// Guards against the removal of a record that has come back.
#[test]
fn a_record_that_has_come_back_is_removed() {
    let mut removals = DeferredRemovals::default();
    removals.defer("u1", revision(5), 1900 * MS);
    removals.cancel("u1", revision(6));
    assert_eq!(removals.take_due("u1", 1900 * MS), None);
}

/// Guards against an upstream that is kept, since a source that lags behind delivers an earlier
/// revision of its record after it was gone.
#[test]
fn an_earlier_revision_of_a_removed_record_keeps_it() {
    let mut removals = DeferredRemovals::default();
    removals.defer("u1", revision(20), 1900 * MS);
    removals.cancel("u1", revision(15));
    assert_eq!(removals.take_due("u1", 1900 * MS), Some(revision(20)));
}
