//! The end of a grant survives its encoding as the code of a dropped call.

use rail_peer::GrantRelease;
use rail_place::{GrantOutcome, StreamTiming};
use std::time::Duration;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

#[test]
fn outcome_and_times_are_decoded_as_they_were_encoded() {
    let timings = [
        None,
        Some(StreamTiming { first_event: ms(0), event_interval: None }),
        Some(StreamTiming { first_event: ms(0), event_interval: Some(ms(0)) }),
        Some(StreamTiming { first_event: ms(1_234), event_interval: Some(ms(28)) }),
        Some(StreamTiming { first_event: ms(60_000), event_interval: Some(ms(4_000)) }),
    ];
    let outcomes = [
        GrantOutcome::Ended,
        GrantOutcome::Abandoned,
        GrantOutcome::NotReady,
        GrantOutcome::Absent,
    ];
    for outcome in outcomes {
        for timing in timings {
            let release = GrantRelease { outcome, timing };
            assert_eq!(GrantRelease::from_code(release.code().into()), release);
        }
    }
}

#[test]
fn times_that_are_too_long_are_cut_off_and_unknown_codes_are_an_end() {
    let timing = StreamTiming { first_event: ms(9_000_000), event_interval: Some(ms(9_000_000)) };
    let release = GrantRelease { outcome: GrantOutcome::Ended, timing: Some(timing) };
    let decoded = GrantRelease::from_code(release.code().into());
    let shortened = decoded.timing.expect("a stream");
    assert!(shortened.first_event > ms(60_000), "{shortened:?}");
    assert!(shortened.event_interval > Some(ms(4_000)), "{shortened:?}");
    assert_eq!(GrantRelease::from_code(u64::MAX).outcome, GrantOutcome::Ended);
}

/// A caller that leaves drops its call, and earlier builds report every run without the bit.
#[test]
fn a_run_without_a_reported_end_counts_as_abandoned() {
    assert_eq!(GrantRelease::from_code(0).outcome, GrantOutcome::Abandoned);
}
