//! Tests of the pacing of prompts, in simulated time. The engine model reads prompts in pieces
//! between the tokens of the streams that run there.

use rail_place::{
    EngineOwner, GrantOutcome, KeptParts, OwnerCommand, OwnerReport, Prompt, PromptPacer,
    ReadingSpeed, SharedPart, StartRequest, StreamTiming,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

const MAX_GAP: Duration = Duration::from_millis(250);
const TARGET_LATENCY: Duration = Duration::from_secs(1);
/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 3;
/// Prompt tokens that the engine reads in one step at most.
const PIECE_TOKENS: u32 = 4_096;
const STEP: Duration = Duration::from_millis(8);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn prompt(tokens: u32) -> Prompt {
    Prompt { tokens, max_event_gap: Some(MAX_GAP) }
}

/// A request at the model of an engine.
#[derive(Debug, Clone)]
struct Run {
    id: u64,
    arrived_at: Duration,
    granted_at: Duration,
    unread_tokens: u32,
    events_left: u32,
    tokens_of_event: u32,
    first_event_at: Option<Duration>,
    last_event_at: Option<Duration>,
    longest_gap: Duration,
    events: u32,
}

/// How the requests of a simulated load ended.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_time: u32,
    late_by_first_event: u32,
    late_by_pause: u32,
    /// Refused, so that another engine may serve them.
    refused: u32,
}

/// Engine that steps through its batch: each step reads a piece of the prompts, first come first,
/// and gives each running stream one token.
struct Engine {
    tokens_per_s: f64,
    runs: VecDeque<Run>,
    now: Duration,
}

impl Engine {
    /// Makes one step and returns the requests that have ended.
    fn step(&mut self) -> Vec<Run> {
        let mut piece = PIECE_TOKENS;
        let mut decoding = Vec::new();
        for (index, run) in self.runs.iter_mut().enumerate() {
            if run.unread_tokens == 0 {
                decoding.push(index);
            }
            let read = run.unread_tokens.min(piece);
            run.unread_tokens -= read;
            piece -= read;
        }
        let read_s = f64::from(PIECE_TOKENS - piece) / self.tokens_per_s;
        self.now += STEP + Duration::from_secs_f64(read_s);
        for index in decoding {
            let run = &mut self.runs[index];
            run.tokens_of_event += 1;
            if run.tokens_of_event == TOKENS_PER_EVENT {
                run.tokens_of_event = 0;
                run.events_left -= 1;
                run.events += 1;
                run.first_event_at.get_or_insert(self.now);
                if let Some(last) = run.last_event_at.replace(self.now) {
                    run.longest_gap = run.longest_gap.max(self.now.checked_sub(last).unwrap());
                }
            }
        }
        let runs = std::mem::take(&mut self.runs).into_iter();
        let (ended, running): (VecDeque<Run>, _) = runs.partition(|run| run.events_left == 0);
        self.runs = running;
        Vec::from(ended)
    }
}

/// A load of random prompts on one engine. Answers are judged by [`MAX_GAP`] and
/// [`TARGET_LATENCY`], whatever the requests tell the owner.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Prompt tokens that arrive, as a share of what the engine can read.
    share: f64,
    tokens_per_s: f64,
    /// Longest pause that the requests name.
    max_event_gap: Option<Duration>,
    /// Longest wait that they accept.
    max_wait: Duration,
    /// Whether they tell when they are late.
    tells_lateness: bool,
    seed: u64,
}

/// Mean length of a prompt in tokens.
const MEAN_TOKENS: f64 = 1_460.0;

impl Load {
    fn paced(share: f64, tokens_per_s: f64, seed: u64) -> Self {
        let max_event_gap = Some(MAX_GAP);
        Self { share, tokens_per_s, max_event_gap, max_wait: ms(400), tells_lateness: true, seed }
    }

    fn unpaced(self) -> Self {
        Self { max_event_gap: None, ..self }
    }
}

/// Plays a load through the owner of one engine.
fn play(load: Load) -> Outcome {
    let Load { share, tokens_per_s, max_event_gap, max_wait, tells_lateness, seed } = load;
    let requests_per_s = share * tokens_per_s / MEAN_TOKENS;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut owner = EngineOwner::new(64, 4, ms(5_000));
    owner.poll(ms(0), true);
    let report = OwnerReport { models: vec!["m".to_owned()], ..OwnerReport::default() };
    owner.apply_report(&report, ms(0), ms(1));
    let mut engine = Engine { tokens_per_s, runs: VecDeque::new(), now: ms(10) };
    let mut outcome = Outcome::default();
    let (mut next_id, mut next_at) = (1, ms(10));
    let mut waiting = HashMap::<u64, (Duration, u32)>::new();
    while next_id < 1_500 || !engine.runs.is_empty() {
        while next_id < 1_500 && next_at <= engine.now {
            let spread: f64 = random.random_range(0.05..1.0_f64).ln() / -0.86;
            let tokens = (MEAN_TOKENS * spread).min(4_700.0) as u32 + 50;
            let request = StartRequest {
                id: next_id,
                model: "m".to_owned(),
                adapter: None,
                priority: 1,
                prompt_tokens: tokens,
                shared_parts: Vec::new(),
                max_event_gap,
                max_estimated_wait: max_wait,
                start_deadline: next_at + max_wait,
                may_be_late: true,
                late_at: if tells_lateness { next_at + TARGET_LATENCY } else { Duration::MAX },
                max_backlog: max_wait,
            };
            match owner.request_start(request, next_at) {
                Ok(()) => drop(waiting.insert(next_id, (next_at, tokens))),
                Err(_retry_after) => outcome.refused += 1,
            }
            next_id += 1;
            let pause = -random.random_range(f64::EPSILON..1.0).ln() / requests_per_s;
            next_at += Duration::from_secs_f64(pause);
        }
        for command in owner.poll(engine.now, true) {
            let id = match command {
                OwnerCommand::Grant(id, _) => id,
                OwnerCommand::Refuse(id, _) => {
                    waiting.remove(&id);
                    outcome.refused += 1;
                    continue;
                }
                OwnerCommand::Order(..) | OwnerCommand::Report => continue,
            };
            let (arrived_at, tokens) = waiting.remove(&id).expect("the request waits");
            engine.runs.push_back(Run {
                id,
                arrived_at,
                granted_at: engine.now,
                unread_tokens: tokens,
                events_left: random.random_range(10..100),
                tokens_of_event: 0,
                first_event_at: None,
                last_event_at: None,
                longest_gap: Duration::ZERO,
                events: 0,
            });
        }
        if engine.runs.is_empty() {
            engine.now += ms(2);
        }
        for run in engine.step() {
            let first_event_at = run.first_event_at.expect("a whole answer");
            let since = |at: Duration, start: Duration| at.checked_sub(start).unwrap();
            let spanned = since(engine.now, first_event_at);
            let timing = StreamTiming {
                first_event: since(first_event_at, run.granted_at),
                event_interval: (run.events > 1).then(|| spanned / (run.events - 1)),
            };
            owner.release(run.id, GrantOutcome::Ended, Some(timing), engine.now);
            if since(first_event_at, run.arrived_at) > TARGET_LATENCY {
                outcome.late_by_first_event += 1;
            } else if run.longest_gap > MAX_GAP {
                outcome.late_by_pause += 1;
            } else {
                outcome.in_time += 1;
            }
        }
    }
    outcome
}

/// Guards against prompts that hold up running streams while first events have time left.
#[test]
fn prompts_that_wait_keep_running_streams_in_time() {
    for tokens_per_s in [25_800.0, 30_600.0] {
        // A third of what the engine can read.
        let load = Load::paced(0.33, tokens_per_s, 1);
        let (unpaced, paced) = (play(load.unpaced()), play(load));
        println!("{tokens_per_s} tokens/s: unpaced {unpaced:?}, paced {paced:?}");
        let late = paced.late_by_first_event + paced.late_by_pause;
        assert!(late * 100 <= paced.in_time, "{tokens_per_s}: {paced:?}, unpaced {unpaced:?}");
    }
}

/// Load pattern: nearly as many prompts as the engine can read. What can't be in time is refused.
#[test]
fn under_a_burst_more_answers_are_in_time_than_without_pacing() {
    for seed in 0..3 {
        let load = Load::paced(0.7, 25_800.0, seed);
        let (unpaced, paced) = (play(load.unpaced()), play(load));
        println!("seed {seed}: unpaced {unpaced:?}, paced {paced:?}");
        assert!(paced.in_time > 2 * unpaced.in_time, "{paced:?}, unpaced {unpaced:?}");
        assert!(paced.late_by_first_event + paced.late_by_pause < 30, "{paced:?}");
    }
}

/// Load pattern: more prompts than the engine can read, and requests that wait for longer than
/// their first event may take. In the order of arrival nearly all would be late.
#[test]
fn late_requests_give_way_to_those_that_can_be_in_time() {
    for seed in 0..3 {
        let load = Load { max_wait: ms(4_000), ..Load::paced(1.2, 25_800.0, seed) };
        let by_arrival = play(Load { tells_lateness: false, ..load });
        let outcome = play(load);
        println!("seed {seed}: by arrival {by_arrival:?}, late ones last {outcome:?}");
        assert!(outcome.in_time > 2 * by_arrival.in_time, "{outcome:?}, {by_arrival:?}");
        assert!(outcome.in_time > 600, "{outcome:?}");
    }
}

#[test]
fn a_prompt_longer_than_any_pause_is_read_alone_and_is_not_overtaken() {
    let mut pacer = PromptPacer::default();
    pacer.start(1, prompt(500), ms(1_000));
    let long = prompt(39_600);
    assert!(!pacer.may_start(long, ms(1_000)), "another prompt is being read");
    let start = pacer.earliest_start(long, ms(1_000));
    assert!(start < ms(1_000) + MAX_GAP, "{start:?}");
    assert!(pacer.may_start(long, start));
    pacer.start(2, long, start);
    assert!(!pacer.may_start(prompt(500), start + ms(1)), "the pause must not get longer");
}

#[test]
fn without_running_streams_that_must_not_pause_every_prompt_starts_at_once() {
    let mut pacer = PromptPacer::default();
    assert!(pacer.may_start(prompt(39_600), ms(5)));
    pacer.start(1, Prompt { tokens: 39_600, max_event_gap: None }, ms(5));
    assert!(pacer.may_start(prompt(39_600), ms(6)));
}

#[test]
fn the_reading_speed_is_learned_also_of_an_engine_that_turns_slow() {
    let mut speed = ReadingSpeed::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for tokens_per_s in [30_600.0, 4_000.0, 25_800.0] {
        for _ in 0..150 {
            let tokens = random.random_range(50..4_700);
            let noise_s = random.random_range(0.0..0.02);
            let time_s = 0.01 + noise_s + f64::from(tokens) / tokens_per_s;
            speed.observe(f64::from(tokens), Duration::from_secs_f64(time_s));
        }
        let learned = speed.tokens_per_s();
        let error = (learned / tokens_per_s - 1.0).abs();
        assert!(error < 0.2, "{learned} of {tokens_per_s} tokens per second");
    }
}

/// Guards against prompts that wait, or hold up others by the estimate, for parts that the engine keeps.
#[test]
fn parts_that_the_engine_keeps_cost_no_reading() {
    let mut kept = KeptParts::default();
    let part = |key| SharedPart { key, tokens: 3_000 };
    kept.record("m/a", &[part(1), part(2)], ms(1_000));
    let later = ms(2_000);
    assert_eq!(kept.kept_tokens("m/a", &[part(1), part(2), part(3)], later), 6_000);
    assert_eq!(kept.kept_tokens("m/a", &[part(1), part(9)], later), 3_000);
    assert_eq!(kept.kept_tokens("m/a", &[part(2)], later), 0, "all parts before it differ");
    assert_eq!(kept.kept_tokens("m/b", &[part(1)], later), 0, "read for another adapter");
    assert_eq!(kept.kept_tokens("m/a", &[part(1)], ms(60_000)), 0, "not used for long");
    kept.forget("m/a");
    assert_eq!(kept.kept_tokens("m/a", &[part(1)], later), 0);
}

#[test]
fn a_prompt_whose_parts_are_kept_starts_beside_running_streams() {
    let mut owner = EngineOwner::new(8, 4, ms(5_000));
    owner.poll(ms(0), true);
    let report = OwnerReport { models: vec!["m".to_owned()], ..OwnerReport::default() };
    owner.apply_report(&report, ms(0), ms(1));
    let request = |id, now| StartRequest {
        id,
        model: "m".to_owned(),
        adapter: None,
        priority: 1,
        prompt_tokens: 9_190,
        shared_parts: vec![SharedPart { key: 1, tokens: 8_900 }],
        max_event_gap: Some(MAX_GAP),
        max_estimated_wait: ms(5_000),
        start_deadline: now + ms(5_000),
        late_at: now + TARGET_LATENCY,
        may_be_late: true,
        max_backlog: ms(5_000),
    };
    owner.request_start(request(1, ms(10)), ms(10)).expect("the engine is idle");
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Grant(1, None)]);
    // The first prompt has been read by then, and a second one as long would have to be read alone.
    let now = ms(900);
    owner.request_start(request(2, now), now).expect("little is left to read");
    owner.request_start(request(3, now), now).expect("little is left to read");
    assert_eq!(owner.poll(now, true).len(), 2, "both are read within one pause");
}

/// Guards against a long prompt that waits at the preferred engine until it is late, while another one
/// could read it in time.
#[test]
fn a_request_that_would_be_late_is_refused_while_other_engines_may_serve_it() {
    let mut owner = EngineOwner::new(8, 4, ms(5_000));
    owner.poll(ms(0), true);
    let report = OwnerReport { models: vec!["m".to_owned()], ..OwnerReport::default() };
    owner.apply_report(&report, ms(0), ms(1));
    let request = |id, prompt_tokens, may_be_late| StartRequest {
        id,
        model: "m".to_owned(),
        adapter: None,
        priority: 1,
        prompt_tokens,
        shared_parts: Vec::new(),
        max_event_gap: Some(MAX_GAP),
        max_estimated_wait: ms(5_000),
        start_deadline: ms(5_000),
        late_at: ms(10) + TARGET_LATENCY,
        may_be_late,
        max_backlog: ms(5_000),
    };
    owner.request_start(request(1, 9_190, false), ms(10)).expect("the engine is idle");
    owner.poll(ms(10), true);
    assert!(owner.request_start(request(2, 9_190, false), ms(11)).is_err());
    owner.request_start(request(3, 500, false), ms(11)).expect("a short prompt is in time");
    owner.request_start(request(4, 9_190, true), ms(12)).expect("no engine is free");
}
