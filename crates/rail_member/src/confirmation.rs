//! How old a host's copy of the store's records is.
//!
//! A kind of record is confirmed up to a time when every change that the store had acknowledged by
//! then has been received. The time is passed on with the records, so it says when the store last
//! answered and not when another host last sent something.

use crate::replica::RecordKind;
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Number of kinds of records.
const KINDS: usize = RecordKind::ALL.len();

/// Age of each kind of record, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordAges([u32; KINDS]);

impl RecordAges {
    /// Returns the age of a kind, `None` if the kind was never confirmed.
    pub fn of(&self, kind: RecordKind) -> Option<Duration> {
        let age_ms = self.0[kind as usize];
        (age_ms != u32::MAX).then(|| Duration::from_millis(u64::from(age_ms)))
    }

    /// Returns the age of a kind in milliseconds, the greatest number if it was never confirmed.
    pub fn millis_of(&self, kind: RecordKind) -> u32 {
        self.0[kind as usize]
    }
}

/// Returns the milliseconds from the receipt of a request to a later time of the same clock, given
/// in whole milliseconds. Rounded down, so that nobody takes what is said then for later than it
/// is.
pub fn millis_since(received_at: Duration, at_ms: u64) -> u64 {
    at_ms.saturating_sub(millis_rounded_up(received_at))
}

fn millis_rounded_up(time: Duration) -> u64 {
    time.as_nanos().div_ceil(1_000_000) as u64
}

/// Time up to which each kind of record is confirmed. Times are those of a clock that runs while
/// the machine is suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmations([Option<Duration>; KINDS]);

impl Confirmations {
    /// Records that every change of a kind up to `confirmed_at` was received, and returns whether
    /// that was not known.
    pub fn record(&mut self, kind: RecordKind, confirmed_at: Duration) -> bool {
        let known = &mut self.0[kind as usize];
        let is_news = *known < Some(confirmed_at);
        *known = (*known).max(Some(confirmed_at));
        is_news
    }

    /// Records the answer to a watch that was sent at `asked_at` and could wait for `max_wait`.
    ///
    /// The store answers a watch without changes once the wait is over, or earlier if it cuts the
    /// watch off. When it answered with changes is not known, so they confirm only the time at
    /// which the watch was sent.
    pub fn record_watch(
        &mut self,
        kind: RecordKind,
        asked_at: Duration,
        now: Duration,
        max_wait: Duration,
        has_changes: bool,
    ) {
        let has_waited = !has_changes && now >= asked_at + max_wait;
        self.record(kind, if has_waited { asked_at + max_wait } else { asked_at });
    }

    /// Records the ages that another host had of its own records at a time, all of which were
    /// received, and returns whether any of it is news.
    ///
    /// The time may be earlier than the true one, never later: an age that loses the time which it
    /// spends on its way would stay young for ever among hosts that tell each other.
    pub fn record_ages(&mut self, ages: &RecordAges, told_at: Duration) -> bool {
        let mut is_news = false;
        for kind in RecordKind::ALL {
            if let Some(age) = ages.of(kind) {
                is_news |= self.record(kind, told_at.saturating_sub(age));
            }
        }
        is_news
    }

    /// Returns the age of every kind, rounded up: an age that loses the fractions of milliseconds
    /// would stay young for ever among hosts that tell each other.
    pub fn ages(&self, now: Duration) -> RecordAges {
        RecordAges(self.0.map(|confirmed_at| {
            let age = confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at));
            age.and_then(|age| u32::try_from(millis_rounded_up(age)).ok()).unwrap_or(u32::MAX)
        }))
    }
}

impl fmt::Display for RecordAges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, kind) in RecordKind::ALL.into_iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            match self.of(kind) {
                Some(age) => write!(f, "{separator}{}={}", kind.name(), age.as_millis())?,
                None => write!(f, "{separator}{}=never", kind.name())?,
            }
        }
        Ok(())
    }
}
