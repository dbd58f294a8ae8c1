//! Requests that an engine rejects or that their callers leave: what was planned for them is given
//! back (review/6).

use rail_place::{
    EngineOwner, GrantOutcome, OwnerCommand, OwnerReport, Prompt, PromptPacer, SharedPart,
    StartRequest, StreamTiming, owner::WorkShare,
};
use std::time::Duration;

const MODEL: &str = "base";
const TARGET_LATENCY: Duration = Duration::from_millis(600);
/// More than any engine can hold, or read within a minute.
const HUGE: u32 = 1_000_000;
const USUAL: u32 = 646;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Creates an owner of an engine that has the adapter `a`.
fn owner() -> EngineOwner {
    let mut owner = EngineOwner::new(64, 4, Duration::from_secs(5));
    assert_eq!(owner.poll(ms(0), true), [OwnerCommand::Report]);
    let adapters = [(format!("{MODEL}/a"), 1)].into_iter().collect();
    let models = vec![MODEL.to_owned()];
    let report = OwnerReport { models, adapters, accepted_orders: 0, is_busy: false };
    owner.apply_report(&report, ms(0), ms(1));
    owner
}

fn request(id: u64, prompt_tokens: u32, arrived_at: Duration, may_be_late: bool) -> StartRequest {
    StartRequest {
        id,
        model: MODEL.to_owned(),
        adapter: Some("a".to_owned()),
        priority: 0,
        prompt_tokens,
        shared_parts: Vec::new(),
        max_event_gap: Some(ms(400)),
        max_estimated_wait: ms(10_000),
        start_deadline: arrived_at + ms(6_000),
        late_at: arrived_at + TARGET_LATENCY,
        may_be_late,
        max_backlog: ms(6_000),
    }
}

fn grants(owner: &mut EngineOwner, now: Duration) -> usize {
    let commands = owner.poll(now, true);
    commands.iter().filter(|command| matches!(command, OwnerCommand::Grant(..))).count()
}

/// Grants a huge request that ends with this outcome after some time, then asks for a usual one.
fn usual_after_huge(outcome: GrantOutcome, ran_for: Duration) {
    let (mut owner, granted_at) = (owner(), ms(10));
    owner.request_start(request(1, HUGE, granted_at, true), granted_at).expect("it may be late");
    assert_eq!(grants(&mut owner, granted_at), 1);
    let ended_at = granted_at + ran_for;
    owner.release(1, outcome, None, ended_at);
    // An adapter for which the engine was not ready is granted again somewhat later.
    let now = ended_at + ms(1_000);
    let usual = request(2, USUAL, now, false);
    assert_eq!(owner.request_start(usual, now), Ok(()), "after {outcome:?}");
    assert_eq!(grants(&mut owner, now), 1, "after {outcome:?}");
}

/// Guards against an engine that gets no requests for as long as it would have read one that it has
/// rejected, since that is larger than its memory.
#[test]
fn a_rejected_huge_request_holds_up_all_others() {
    usual_after_huge(GrantOutcome::NotReady, ms(2));
}

/// Guards against the same after a request whose caller has left.
#[test]
fn a_huge_request_that_was_left_holds_up_all_others() {
    usual_after_huge(GrantOutcome::Abandoned, ms(1_000));
}

/// Guards against prompts behind a rejected one that wait for it, and against an engine that seems
/// fast since they waited for less than was planned.
#[test]
fn prompts_behind_a_rejected_one_keep_their_place() {
    let mut pacer = PromptPacer::default();
    let prompt = |tokens| Prompt { tokens, max_event_gap: None };
    let (expected, speed) = (pacer.reading_time(USUAL), pacer.tokens_per_s());
    pacer.start(1, prompt(HUGE), ms(0));
    pacer.start(2, prompt(USUAL), ms(1));
    assert_eq!(pacer.stop_reading(1, false, ms(2)), HUGE);
    assert_eq!(pacer.read_until(), ms(2) + expected);
    let first_event = ms(20) + expected;
    pacer.stop_reading(2, true, ms(2) + first_event);
    pacer.end(2, Some(StreamTiming { first_event, event_interval: None }));
    let change = pacer.tokens_per_s() / speed;
    assert!((0.8..1.2).contains(&change), "the speed has changed by a factor of {change}");
}

/// Guards against a plan that grows or turns back when prompts end in any order.
#[test]
fn ended_prompts_leave_what_the_others_need() {
    let mut pacer = PromptPacer::default();
    let prompt = |tokens| Prompt { tokens, max_event_gap: None };
    for (id, tokens) in [(1, 16_000), (2, 32_000), (3, 8_000)] {
        pacer.start(id, prompt(tokens), ms(0));
    }
    let total = pacer.read_until();
    let unread =
        pacer.stop_reading(2, true, pacer.reading_time(16_000) + pacer.reading_time(8_000));
    assert!((23_900..=24_100).contains(&unread), "{unread} tokens of 32,000");
    let saved = total.saturating_sub(pacer.read_until());
    assert!(saved.abs_diff(pacer.reading_time(24_000)) < ms(10), "{saved:?}");
    assert_eq!(pacer.stop_reading(1, true, total), 0, "it was read before");
    assert_eq!(pacer.stop_reading(9, false, total), 0, "it is not known");
}

/// Guards against a workspace whose requests give way to all others since one that was rejected
/// counts as its work.
#[test]
fn rejected_work_counts_toward_the_share_of_its_workspace() {
    let mut owner = owner();
    let share = |workspace| Some(WorkShare { workspace, weight: 1 });
    let now = ms(10);
    owner.request_start_for(request(1, HUGE, now, true), share(1), now).expect("it may be late");
    assert_eq!(grants(&mut owner, now), 1);
    owner.release(1, GrantOutcome::NotReady, None, ms(12));
    let now = ms(1_012);
    for (id, workspace) in [(2, 1), (3, 2)] {
        let waiting = request(id, 2_000, now, true);
        owner.request_start_for(waiting, share(workspace), now).expect("it may be late");
    }
    let commands = owner.poll(now, true);
    assert_eq!(commands.first(), Some(&OwnerCommand::Grant(2, None)), "first come, first served");
}

/// Guards against parts of a rejected prompt that count as kept, so that the next one that shares
/// them is planned as if it were short.
#[test]
fn parts_of_a_rejected_prompt_count_as_kept() {
    let mut owner = owner();
    let parts = vec![SharedPart { key: 1, tokens: 50_000 }];
    let with_parts =
        |id, now| StartRequest { shared_parts: parts.clone(), ..request(id, 50_100, now, true) };
    owner.request_start(with_parts(1, ms(10)), ms(10)).expect("it may be late");
    assert_eq!(grants(&mut owner, ms(10)), 1);
    owner.release(1, GrantOutcome::NotReady, None, ms(12));
    let now = ms(1_012);
    owner.request_start(with_parts(2, now), now).expect("it may be late");
    assert_eq!(grants(&mut owner, now), 1);
    let backlog = owner.backlog(&request(3, USUAL, now, true), now);
    assert!(backlog > ms(1_000), "the parts are read: {backlog:?}");
}
