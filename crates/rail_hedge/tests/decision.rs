//! Tests of when a second attempt is sent, and of which attempt answers.

use quickcheck::quickcheck;
use rail_hedge::{
    AnswerTimes, AttemptEnd, HedgeBudget, HedgeInputs, HedgeShare, NoHedge, Race, RaceStep, Racer,
    may_hedge,
};
use std::time::Duration;

const fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

const SLOW: HedgeInputs = HedgeInputs {
    is_idempotent: true,
    is_suspect: false,
    is_key_valid: true,
    attempts: 1,
    max_attempts: 2,
    time_left: ms(1_000),
    first_expected: ms(300),
    second_expected: Some(ms(30)),
};

fn share(fraction: f64) -> HedgeShare {
    HedgeShare::new(fraction).expect("a share")
}

fn budget(requests: usize) -> HedgeBudget {
    let mut budget = HedgeBudget::default();
    (0..requests).for_each(|_| budget.record_request(share(0.02)));
    budget
}

#[test]
fn a_slow_idempotent_request_gets_a_second_attempt() {
    assert_eq!(may_hedge(&SLOW, share(0.02), &budget(50)), Ok(()));
}

/// Guards against second attempts that a rule, another limit or a lack of room forbids.
#[test]
fn a_second_attempt_is_refused_for_each_reason() {
    let cases = [
        (HedgeInputs { is_idempotent: false, ..SLOW }, NoHedge::NotIdempotent),
        (HedgeInputs { is_suspect: true, ..SLOW }, NoHedge::Suspect),
        (HedgeInputs { is_key_valid: false, ..SLOW }, NoHedge::InvalidKey),
        (HedgeInputs { attempts: 2, ..SLOW }, NoHedge::NoAttemptLeft),
        (HedgeInputs { time_left: ms(25), ..SLOW }, NoHedge::TooLate),
        (HedgeInputs { second_expected: None, ..SLOW }, NoHedge::NoRoom),
        (HedgeInputs { first_expected: ms(30), ..SLOW }, NoHedge::NotSooner),
    ];
    for (inputs, reason) in cases {
        assert_eq!(may_hedge(&inputs, share(0.02), &budget(50)), Err(reason), "{inputs:?}");
    }
    assert_eq!(may_hedge(&SLOW, share(0.02), &budget(49)), Err(NoHedge::OverShare));
    assert_eq!(may_hedge(&SLOW, HedgeShare::default(), &budget(50)), Err(NoHedge::Off));
}

#[test]
fn shares_outside_of_their_range_are_refused() {
    for fraction in [-0.1, 1.1, f64::NAN, f64::INFINITY] {
        assert_eq!(HedgeShare::new(fraction), None, "{fraction}");
    }
}

/// Guards against a quantile of few answers, and of answers of long ago.
#[test]
fn answers_are_slow_by_the_recent_ones_of_their_route() {
    let mut times = AnswerTimes::default();
    for number in 0..100 {
        times.record("lookup", ms(20 + number % 10), ms(number * 10));
    }
    let slow_after =
        |times: &mut AnswerTimes, route, now| times.slow_after(route, share(0.02), now);
    let lookup = slow_after(&mut times, "lookup", ms(1_000)).expect("enough answers");
    assert!(lookup >= ms(28) && lookup <= ms(30), "{lookup:?}");
    assert_eq!(slow_after(&mut times, "other", ms(1_000)), None);
    for number in 0..100 {
        times.record("lookup", ms(200), ms(30_000 + number));
    }
    let later = slow_after(&mut times, "lookup", ms(30_100)).expect("enough answers");
    assert!(later >= ms(195), "{later:?}");
    assert_eq!(slow_after(&mut times, "lookup", ms(90_000)), None);
}

/// Guards against two answers to one caller when a cancelled attempt answers all the same.
#[test]
fn the_first_whole_answer_goes_to_the_caller_and_no_other() {
    for first in [Racer::First, Racer::Second] {
        let mut race = Race::default();
        assert_eq!(race.record(first, AttemptEnd::Answered), RaceStep::Deliver(first));
        assert_eq!(race.record(first.other(), AttemptEnd::Answered), RaceStep::Ignore);
        assert_eq!(race.record(first.other(), AttemptEnd::Failed), RaceStep::Ignore);
    }
}

#[test]
fn a_failure_waits_for_the_other_attempt() {
    for failed in [Racer::First, Racer::Second] {
        let mut race = Race::default();
        assert_eq!(race.record(failed, AttemptEnd::Failed), RaceStep::Wait);
        assert_eq!(
            race.clone().record(failed.other(), AttemptEnd::Answered),
            RaceStep::Deliver(failed.other())
        );
        let end = race.record(failed.other(), AttemptEnd::Failed);
        assert_eq!(end, RaceStep::GiveUp(Racer::First));
    }
}

quickcheck! {
    /// Guards against a race that never ends, or ends twice.
    fn every_race_ends_once(ends: Vec<(bool, bool)>) -> bool {
        let mut race = Race::default();
        let steps = ends.iter().map(|(is_first, is_answered)| {
            let racer = if *is_first { Racer::First } else { Racer::Second };
            let end = if *is_answered { AttemptEnd::Answered } else { AttemptEnd::Failed };
            race.record(racer, end)
        });
        let is_end = |step: &RaceStep| matches!(step, RaceStep::Deliver(_) | RaceStep::GiveUp(_));
        steps.filter(is_end).count() <= 1
    }
}
