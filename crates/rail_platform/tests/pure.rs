//! Properties of the decisions of the platform client.

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

#[test]
fn pauses_grow_to_the_cap_and_start_over() {
    fn property(seed: u64, failures: u8) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Backoff::default();
        let is_bounded = (0..u32::from(failures)).all(|failure| {
            let bound = INITIAL_DELAY.saturating_mul(1 << failure.min(16)).min(MAX_DELAY);
            let pause = backoff.next_delay(&mut rng);
            pause >= bound / 2 && pause <= bound
        });
        backoff.reset();
        is_bounded && backoff.next_delay(&mut rng) <= INITIAL_DELAY
    }
    quickcheck().quickcheck(property as fn(u64, u8) -> bool);
}

#[test]
fn calls_and_watches_stay_within_the_budget() {
    fn property(gaps_ms: Vec<u8>, watches: u8) -> bool {
        let (rate, burst, watches) = (20.0, 5.0, watches % 10);
        let mut budget = CallBudget::new(rate, burst, Duration::ZERO);
        for _watch in 0..watches {
            budget.open_watch(Duration::ZERO);
        }
        let mut now = Duration::ZERO;
        let mut taken = 0_u32;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(u64::from(gap_ms));
            match budget.try_acquire(now) {
                Ok(()) => taken += 1,
                Err(pause) if pause > Duration::from_secs(1) => return false,
                Err(_) => {}
            }
        }
        let allowed = burst + (rate - f64::from(watches)) * now.as_secs_f64();
        f64::from(taken) <= allowed + 1e-6
    }
    quickcheck().quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

/// What happens to one call on its way.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    ReplyLost,
    Refused,
    Delayed,
    AnotherWriterFirst,
    DelayedWriteLands,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = [
            Self::Answered,
            Self::ReplyLost,
            Self::Refused,
            Self::Delayed,
            Self::AnotherWriterFirst,
            Self::DelayedWriteLands,
        ];
        *g.choose(&fates).expect("fates")
    }
}

/// One object with every value that it has had.
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
        if self.object().map(|o| o.version).as_deref() != expected {
            return CallOutcome::Conflict;
        }
        self.history.push(value.to_owned());
        CallOutcome::Object(self.object().expect("written"))
    }
}

#[test]
fn settlement_never_reports_a_wrong_outcome() {
    fn property(exists: bool, fates: Vec<Fate>) -> bool {
        let mut store = Store { history: Vec::new(), delayed: 0 };
        if exists {
            store.history.push("old".into());
        }
        let expected = store.object().map(|o| o.version);
        let expected = expected.as_deref();
        let mut settlement = WriteResolution::new("mine", expected);
        let mut step = Step::Write;
        let mut others = 0;
        for fate in fates.into_iter().chain([Fate::Answered; 20]) {
            if matches!(fate, Fate::AnotherWriterFirst) {
                others += 1;
                store.history.push(format!("other{others}"));
            }
            if matches!(fate, Fate::DelayedWriteLands) && store.delayed > 0 {
                store.delayed -= 1;
                // A late copy that meets another version has no effect.
                let _late = store.update(expected, "mine");
            }
            step = match step {
                Step::Write => settlement.finish_write(match fate {
                    Fate::Refused => CallOutcome::Refused,
                    Fate::Delayed => {
                        store.delayed += 1;
                        CallOutcome::Lost
                    }
                    Fate::ReplyLost => {
                        let _effect = store.update(expected, "mine");
                        CallOutcome::Lost
                    }
                    _ => store.update(expected, "mine"),
                }),
                Step::Read => settlement.finish_read(match fate {
                    Fate::Refused => CallOutcome::Refused,
                    Fate::ReplyLost | Fate::Delayed => CallOutcome::Lost,
                    _ => store.object().map_or(CallOutcome::NotFound, CallOutcome::Object),
                }),
                end => {
                    // Copies that are still on their way arrive after the end.
                    while store.delayed > 0 {
                        store.delayed -= 1;
                        let _late = store.update(expected, "mine");
                    }
                    return is_right(&end, &store.history);
                }
            };
        }
        matches!(step, Step::Done(_) | Step::Refused | Step::Unknown)
    }
    quickcheck().tests(20_000).quickcheck(property as fn(bool, Vec<Fate>) -> bool);
}

fn is_right(end: &Step, history: &[String]) -> bool {
    let times_applied = history.iter().filter(|value| *value == "mine").count();
    match end {
        Step::Done(WriteOutcome::Applied(_)) => times_applied == 1,
        Step::Done(WriteOutcome::Superseded { had_no_effect, .. }) => {
            times_applied == 0 || (times_applied == 1 && !had_no_effect)
        }
        Step::Refused => times_applied == 0,
        Step::Unknown => times_applied <= 1,
        Step::Write | Step::Read => false,
    }
}
