//! Replays load on three upstreams, with and without second attempts.

use rail_hedge::{AnswerTimes, HedgeBudget, HedgeInputs, HedgeShare, may_hedge};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const UPSTREAMS: usize = 3;
const SLOTS: usize = 6;
const WORK_MS: f64 = 30.0;
const ROUTE: &str = "lookup";

/// How long the work of a request takes.
struct Work {
    /// Share of the requests that take ten times as long.
    slow_share: f64,
    /// Time in which every request takes ten times as long.
    all_slow_ms: std::ops::Range<u64>,
}

/// Times of the answers and the second attempts as a share of the requests.
struct Outcome {
    times_ms: Vec<f64>,
    hedge_share: f64,
}

impl Outcome {
    fn mean_ms(&self) -> f64 {
        self.times_ms.iter().sum::<f64>() / self.times_ms.len() as f64
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.times_ms[((self.times_ms.len() - 1) as f64 * quantile) as usize]
    }
}

/// Upstreams that work on requests in the order of arrival.
struct Upstreams {
    free_at_ms: Vec<BinaryHeap<Reverse<u64>>>,
}

impl Upstreams {
    fn new() -> Self {
        let idle = || (0..SLOTS).map(|_| Reverse(0)).collect();
        Self { free_at_ms: (0..UPSTREAMS).map(|_| idle()).collect() }
    }

    /// Returns the upstream where a request starts first, and when.
    fn soonest(&self, now_us: u64, except: Option<usize>) -> (usize, u64) {
        let starts = self.free_at_ms.iter().enumerate().filter(|(index, _)| Some(*index) != except);
        let starts = starts.map(|(index, slots)| {
            let Reverse(free_at) = *slots.peek().expect("it has slots");
            (index, free_at.max(now_us))
        });
        starts.min_by_key(|(_, start)| *start).expect("there are upstreams")
    }

    /// Runs a request, and returns when its answer is there.
    fn run(&mut self, upstream: usize, now_us: u64, work_us: u64) -> u64 {
        let slots = &mut self.free_at_ms[upstream];
        let Reverse(free_at) = slots.pop().expect("it has slots");
        let end = free_at.max(now_us) + work_us;
        slots.push(Reverse(end));
        end
    }
}

/// An answer that arrives later, at a time in microseconds.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Slow { request: usize },
}

fn replay(requests: usize, per_s: f64, work: &Work, share: HedgeShare) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(58);
    let mut upstreams = Upstreams::new();
    let (mut times, mut budget) = (AnswerTimes::default(), HedgeBudget::default());
    let mut due = BinaryHeap::new();
    let mut answers: Vec<(u64, u64, usize)> = Vec::new();
    let mut recorded = BinaryHeap::new();
    let mut now_us = 0_u64;
    let work_us = |rng: &mut ChaCha8Rng, now_us: u64| {
        let is_slow = rng.random_bool(work.slow_share);
        let is_slow = is_slow || work.all_slow_ms.contains(&(now_us / 1000));
        let usual = WORK_MS * rng.random_range(0.5..1.5) * 1000.0;
        (if is_slow { usual * 10.0 } else { usual }) as u64
    };
    let time = Duration::from_micros;
    for request in 0..requests {
        now_us += (-rng.random_range(f64::EPSILON..1.0).ln() / per_s * 1e6) as u64;
        // What happened until this arrival: answers are measured, and slow ones may be hedged.
        while let Some(Reverse((at, _))) = due.peek().filter(|Reverse((at, _))| *at <= now_us) {
            let at = *at;
            let Some(Reverse((_, Due::Slow { request }))) = due.pop() else { break };
            let (sent, answered, first) = answers[request];
            if answered <= at {
                continue;
            }
            let (second, start) = upstreams.soonest(at, Some(first));
            let inputs = HedgeInputs {
                is_idempotent: true,
                is_suspect: false,
                is_key_valid: true,
                attempts: 1,
                max_attempts: 2,
                time_left: Duration::from_secs(2),
                first_expected: time(at - sent),
                second_expected: (start <= at).then_some(time((WORK_MS * 1000.0) as u64)),
            };
            if may_hedge(&inputs, share, &budget).is_ok() {
                budget.record_hedge();
                let work_us = work_us(&mut rng, at);
                let end = upstreams.run(second, at, work_us);
                answers[request].1 = answered.min(end);
            }
        }
        while let Some(Reverse((at, sent))) = recorded.peek().copied() {
            if at > now_us {
                break;
            }
            recorded.pop();
            times.record(ROUTE, time(at - sent), time(at));
        }
        budget.record_request(share);
        let (upstream, _) = upstreams.soonest(now_us, None);
        let work_us = work_us(&mut rng, now_us);
        let answered = upstreams.run(upstream, now_us, work_us);
        answers.push((now_us, answered, upstream));
        recorded.push(Reverse((answered, now_us)));
        if let Some(delay) = times.slow_after(ROUTE, share, time(now_us)) {
            due.push(Reverse((now_us + delay.as_micros() as u64, Due::Slow { request })));
        }
    }
    let mut times_ms: Vec<f64> =
        answers.iter().map(|(sent, answered, _)| (answered - sent) as f64 / 1000.0).collect();
    times_ms.sort_by(f64::total_cmp);
    Outcome { times_ms, hedge_share: budget.used_share() }
}

/// Load pattern: one answer in a hundred takes ten times as long, while upstreams have room.
#[test]
fn one_slow_answer_in_a_hundred_costs_few_callers() {
    let work = Work { slow_share: 0.01, all_slow_ms: 0..0 };
    let share = HedgeShare::new(0.02).expect("a share");
    let without = replay(60_000, 240.0, &work, HedgeShare::default());
    let with = replay(60_000, 240.0, &work, share);
    let (before_ms, after_ms) = (without.quantile_ms(0.999), with.quantile_ms(0.999));
    assert!(after_ms <= before_ms / 3.0, "p99.9 {before_ms} ms without, {after_ms} ms with");
    assert!(with.hedge_share <= 0.02, "{}", with.hedge_share);
    let (before_ms, after_ms) = (without.quantile_ms(0.5), with.quantile_ms(0.5));
    assert!(after_ms <= before_ms * 1.02, "p50 {before_ms} ms without, {after_ms} ms with");
}

/// Load pattern: every answer turns slow for some seconds, up to an overload. Second attempts must
/// not add to it.
#[test]
fn second_attempts_stay_within_their_share_when_all_answers_are_slow() {
    for per_s in [100.0, 240.0, 700.0] {
        let work = Work { slow_share: 0.01, all_slow_ms: 20_000..30_000 };
        let share = HedgeShare::new(0.02).expect("a share");
        let without = replay(30_000, per_s, &work, HedgeShare::default());
        let with = replay(30_000, per_s, &work, share);
        assert!(with.hedge_share <= 0.02, "{per_s}/s: {}", with.hedge_share);
        let (before_ms, after_ms) = (without.mean_ms(), with.mean_ms());
        assert!(after_ms <= before_ms * 1.05, "{per_s}/s: mean {before_ms} ms, {after_ms} ms with");
    }
}
