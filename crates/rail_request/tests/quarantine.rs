//! Decisions about requests that crash their upstreams.

use quickcheck::{Gen, QuickCheck};
use rail_request::{CrashVerdict, Fingerprint, QuarantineRecord, quarantine::SUSPECT_TIME};
use std::time::Duration;

fn fingerprint() -> Fingerprint {
    Fingerprint::of([b"llama:a0@v1".as_slice(), b"poison".as_slice()])
}

/// Arrivals of one request that always crashes, each after the last has ended.
fn two_crashes_at_most(steps: Vec<(u16, bool)>) -> bool {
    let mut record: Option<QuarantineRecord> = None;
    let (mut now_ms, mut crashes) = (0, 0);
    for (trial, (wait_ms, is_idempotent)) in (1..).zip(steps) {
        now_ms += u64::from(wait_ms);
        if Duration::from_millis(now_ms) > SUSPECT_TIME {
            break;
        }
        let mut attempts = match record.as_ref().map(|r| r.verdict(now_ms)) {
            None | Some(CrashVerdict::Run) => 1 + u32::from(is_idempotent),
            Some(CrashVerdict::RunAlone) => {
                record = record.map(|r| r.with_trial(trial, now_ms));
                1
            }
            Some(CrashVerdict::Refuse { .. }) => 0,
        };
        while attempts > 0 {
            attempts -= 1;
            crashes += 1;
            record = match &record {
                None => {
                    let trial = is_idempotent.then_some(trial);
                    Some(QuarantineRecord::first(fingerprint(), "engine1", trial, now_ms))
                }
                Some(known) => {
                    known.after_crash("engine1", trial, now_ms).or_else(|| record.clone())
                }
            };
        }
    }
    crashes <= 2
}

#[test]
fn arrivals_in_turn_crash_two_upstreams_at_most() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, seed))
            .tests(5_000)
            .quickcheck(two_crashes_at_most as fn(Vec<(u16, bool)>) -> bool);
    }
}

#[test]
fn copies_that_crash_together_count_once() {
    let first = QuarantineRecord::first(fingerprint(), "engine1", Some(1), 1_000);
    assert_eq!(first.after_crash("engine1", 2, 1_010), None);
    let elsewhere = first.after_crash("engine2", 2, 1_010).expect("another upstream crashed");
    assert_eq!(elsewhere.crashes, 2);
    assert!(matches!(elsewhere.verdict(2_000), CrashVerdict::Refuse { .. }));
}

#[test]
fn a_suspect_whose_trial_is_abandoned_may_be_tried_again() {
    let first = QuarantineRecord::first(fingerprint(), "engine1", Some(1), 1_000);
    assert!(matches!(first.verdict(30_999), CrashVerdict::Refuse { .. }));
    assert_eq!(first.verdict(31_000), CrashVerdict::RunAlone);
    let untried = QuarantineRecord::first(fingerprint(), "engine1", None, 1_000);
    assert_eq!(untried.verdict(1_000), CrashVerdict::RunAlone);
}
