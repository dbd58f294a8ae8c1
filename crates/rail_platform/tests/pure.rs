//! Property tests of backoff, call budget and the resolution of conditional writes.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rail_platform::{
    Backoff, CallBudget, Object, WriteOutcome, WriteResolution,
    backoff::{INITIAL_DELAY, MAX_DELAY},
    conditional_write::{CallOutcome, Step},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 4))
}

/// Guards against delays beyond the cap, and against long delays after a success.
#[test]
fn delays_grow_to_the_cap_and_reset_after_a_success() {
    fn property(seed: u64, failures: u8) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Backoff::default();
        let is_bounded = (0..u32::from(failures)).all(|failure| {
            let bound = INITIAL_DELAY.saturating_mul(1 << failure.min(16)).min(MAX_DELAY);
            let delay = backoff.next_delay(&mut rng);
            delay >= bound / 2 && delay <= bound
        });
        backoff.reset();
        is_bounded && backoff.next_delay(&mut rng) <= INITIAL_DELAY
    }
    quickcheck().quickcheck(property as fn(u64, u8) -> bool);
}

/// Guards against more calls than the budget allows, and against waits of more than one second.
#[test]
fn calls_and_watches_stay_within_the_budget() {
    fn property(intervals_ms: Vec<u8>, watches: u8) -> bool {
        let (rate, burst, watches) = (20.0, 5.0, watches % 10);
        let mut budget = CallBudget::new(rate, burst, Duration::ZERO);
        for _watch in 0..watches {
            budget.open_watch(Duration::ZERO);
        }
        let mut now = Duration::ZERO;
        let mut acquired = 0_u32;
        for interval_ms in intervals_ms {
            now += Duration::from_millis(u64::from(interval_ms));
            match budget.try_acquire(now) {
                Ok(()) => acquired += 1,
                Err(delay) if delay > Duration::from_secs(1) => return false,
                Err(_) => {}
            }
        }
        let allowed = burst + (rate - f64::from(watches)) * now.as_secs_f64();
        f64::from(acquired) <= allowed + 1e-6
    }
    quickcheck().quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

/// Fault that is injected into one call.
#[derive(Debug, Clone, Copy)]
enum CallFault {
    Answered,
    ReplyLost,
    Refused,
    Delayed,
    AnotherWriterFirst,
    DelayedWriteArrives,
}

impl Arbitrary for CallFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let faults = [
            Self::Answered,
            Self::ReplyLost,
            Self::Refused,
            Self::Delayed,
            Self::AnotherWriterFirst,
            Self::DelayedWriteArrives,
        ];
        *g.choose(&faults).expect("faults")
    }
}

/// Model of the platform: one object with the history of its values, and writes in transit.
#[derive(Debug)]
struct Store {
    history: Vec<String>,
    delayed: u32,
}

impl Store {
    fn object(&self) -> Option<Object> {
        let value = self.history.last()?.clone();
        Some(Object {
            name: "x".into(),
            version: self.history.len().to_string(),
            value,
            endpoints: Vec::new(),
        })
    }

    fn update(&mut self, expected: Option<&str>, value: &str) -> CallOutcome {
        if self.object().map(|object| object.version).as_deref() != expected {
            return CallOutcome::Conflict;
        }
        self.history.push(value.to_owned());
        CallOutcome::Object(self.object().expect("written"))
    }
}

/// Guards against a write that is reported as applied without effect, or the reverse. Replies get
/// lost, copies of the write arrive late, and another writer changes the object in between.
#[test]
fn a_write_resolution_never_reports_a_wrong_outcome() {
    fn property(exists: bool, faults: Vec<CallFault>) -> bool {
        let mut store = Store { history: Vec::new(), delayed: 0 };
        if exists {
            store.history.push("old".into());
        }
        let expected = store.object().map(|object| object.version);
        let expected = expected.as_deref();
        let mut resolution = WriteResolution::new("mine", expected);
        let mut step = Step::Write;
        let mut other_writes = 0;
        for fault in faults.into_iter().chain([CallFault::Answered; 20]) {
            if matches!(fault, CallFault::AnotherWriterFirst) {
                other_writes += 1;
                store.history.push(format!("other{other_writes}"));
            }
            if matches!(fault, CallFault::DelayedWriteArrives) && store.delayed > 0 {
                store.delayed -= 1;
                // A delayed copy that finds another version has no effect.
                let _late = store.update(expected, "mine");
            }
            step = match step {
                Step::Write => resolution.finish_write(match fault {
                    CallFault::Refused => CallOutcome::Refused,
                    CallFault::Delayed => {
                        store.delayed += 1;
                        CallOutcome::Lost
                    }
                    CallFault::ReplyLost => {
                        let _effect = store.update(expected, "mine");
                        CallOutcome::Lost
                    }
                    _ => store.update(expected, "mine"),
                }),
                Step::Read => resolution.finish_read(match fault {
                    CallFault::Refused => CallOutcome::Refused,
                    CallFault::ReplyLost | CallFault::Delayed => CallOutcome::Lost,
                    _ => store.object().map_or(CallOutcome::NotFound, CallOutcome::Object),
                }),
                outcome => {
                    // Delayed copies arrive after the outcome was reported.
                    while store.delayed > 0 {
                        store.delayed -= 1;
                        let _late = store.update(expected, "mine");
                    }
                    return matches_history(&outcome, &store.history);
                }
            };
        }
        matches!(step, Step::Done(_) | Step::Refused | Step::Unknown)
    }
    quickcheck().tests(20_000).quickcheck(property as fn(bool, Vec<CallFault>) -> bool);
}

fn matches_history(outcome: &Step, history: &[String]) -> bool {
    let times_applied = history.iter().filter(|value| *value == "mine").count();
    match outcome {
        Step::Done(WriteOutcome::Applied(_)) => times_applied == 1,
        Step::Done(WriteOutcome::Superseded { had_no_effect, .. }) => {
            times_applied == 0 || (times_applied == 1 && !had_no_effect)
        }
        Step::Refused => times_applied == 0,
        Step::Unknown => times_applied <= 1,
        Step::Write | Step::Read => false,
    }
}
