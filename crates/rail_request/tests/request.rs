//! The request machine under events in any order, late and twice.

use quickcheck::{Gen, QuickCheck};
use rail_request::{
    Request, RequestCommand, RequestEvent, RequestEventKind, RequestFailure, RequestOutcome,
    RequestRefusal, RequestRefusalReason, RequestState, RetryBudget, RetryCause, request_chart,
};
use std::time::Duration;

const MODEL: &str = "llama:a0@v1";

fn refused() -> RequestEvent {
    let reason = RequestRefusalReason::Leaving;
    RequestEvent::Refused(RequestRefusal { reason, retry_after: Duration::from_millis(100) })
}

fn token(offset: u64, model: &str) -> RequestEvent {
    RequestEvent::Token { offset, model: model.to_owned(), text: format!("{model}#{offset} ") }
}

fn any_event(pick: u8) -> RequestEvent {
    match pick % 18 {
        0 => RequestEvent::Submitted,
        1 => RequestEvent::Dispatched,
        2 => refused(),
        3 => RequestEvent::Lost,
        4 => RequestEvent::Failed(RequestFailure::UnknownOutcome),
        5 => RequestEvent::Failed(RequestFailure::UpstreamFailed),
        6 => RequestEvent::Failed(RequestFailure::WrongAdapter),
        7 => RequestEvent::Crashed { may_retry: true },
        8 => RequestEvent::Crashed { may_retry: false },
        9 | 10 => token(0, MODEL),
        11 => token(1, MODEL),
        12 => token(2, MODEL),
        13 => token(0, "llama:a0@v2"),
        14 => RequestEvent::Final { tokens: Some(u64::from(pick) / 18 % 4) },
        15 => RequestEvent::Resumed,
        16 => RequestEvent::Exhausted,
        _ => RequestEvent::Expired,
    }
}

/// What the caller has seen, checked at each step.
#[derive(Default)]
struct Seen {
    text: String,
    is_open: bool,
    lost: u32,
    ended: Option<RequestOutcome>,
}

fn keeps_its_promises(is_idempotent: bool, is_streamed: bool, picks: Vec<u8>) -> bool {
    let mut budget = RetryBudget::default();
    let mut request = Request::new(MODEL, is_idempotent, is_streamed);
    let mut seen = Seen::default();
    let mut parts = 0;
    for pick in picks {
        let event = any_event(pick);
        let before = request.state();
        let Ok(command) = request.handle(event.clone(), &mut budget) else {
            if request.state() != before {
                return false;
            }
            continue;
        };
        if seen.ended.is_some() {
            return false;
        }
        match event {
            RequestEvent::Submitted => seen.is_open = true,
            RequestEvent::Refused(_) if parts == 0 => seen.is_open = false,
            _ if command == RequestCommand::Restart => {
                seen.lost += 1;
                seen.is_open = false;
            }
            _ => {}
        }
        match command {
            RequestCommand::Deliver(text) => {
                if text != format!("{MODEL}#{parts} ") {
                    return false;
                }
                parts += 1;
                seen.text.push_str(&text);
            }
            RequestCommand::Restart => {
                if !is_idempotent || is_streamed && parts > 0 {
                    return false;
                }
                parts = 0;
                seen.text.clear();
            }
            RequestCommand::Resume { received } if received != parts => return false,
            RequestCommand::End(ending) => seen.ended = Some(ending),
            _ => {}
        }
        let may_have_run = seen.is_open || seen.lost > 0;
        if matches!(seen.ended, Some(RequestOutcome::Refused(_))) && may_have_run {
            return false;
        }
        if seen.is_open && seen.lost > 0 && !is_idempotent {
            return false;
        }
    }
    true
}

#[test]
fn outcomes_hold_for_any_events_in_any_order() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(300, seed))
            .tests(10_000)
            .quickcheck(keeps_its_promises as fn(bool, bool, Vec<u8>) -> bool);
    }
}

fn run(request: &mut Request, events: Vec<RequestEvent>) -> RequestCommand {
    let mut budget = RetryBudget::default();
    let steps =
        events.into_iter().map(|event| request.handle(event, &mut budget).expect("defined"));
    steps.last().expect("there are events")
}

#[test]
fn a_refusal_after_dispatch_goes_to_another_candidate() {
    let mut request = Request::new(MODEL, false, true);
    let events = vec![RequestEvent::Submitted, RequestEvent::Dispatched, refused()];
    assert_eq!(run(&mut request, events), RequestCommand::Choose);
    let ending = run(&mut request, vec![RequestEvent::Exhausted]);
    assert!(matches!(ending, RequestCommand::End(RequestOutcome::Refused(_))), "{ending:?}");
}

#[test]
fn a_refusal_after_a_lost_attempt_is_not_called_not_run() {
    let mut request = Request::new(MODEL, true, true);
    let events =
        vec![RequestEvent::Submitted, RequestEvent::Lost, refused(), RequestEvent::Exhausted];
    let unknown = RequestCommand::End(RequestOutcome::Failed(RequestFailure::UnknownOutcome));
    assert_eq!(run(&mut request, events), unknown);
}

#[test]
fn a_broken_stream_is_read_on_without_gap_or_repeat() {
    let mut request = Request::new(MODEL, false, true);
    let start = vec![RequestEvent::Submitted, RequestEvent::Dispatched, token(0, MODEL)];
    run(&mut request, start);
    let resume = run(&mut request, vec![RequestEvent::Lost]);
    assert_eq!(resume, RequestCommand::Resume { received: 1 });
    assert_eq!(run(&mut request, vec![RequestEvent::Resumed]), RequestCommand::Wait);
    assert_eq!(run(&mut request, vec![token(0, MODEL)]), RequestCommand::Wait);
    let next = run(&mut request, vec![token(1, MODEL)]);
    assert_eq!(next, RequestCommand::Deliver(format!("{MODEL}#1 ")));
    let gap = run(&mut request, vec![token(3, MODEL)]);
    assert_eq!(gap, RequestCommand::Resume { received: 2 });
}

#[test]
fn retries_end_with_their_budget() {
    let mut budget = RetryBudget::default();
    let takes =
        |budget: &mut RetryBudget, cause| (0..1_000).filter(|_| budget.try_spend(cause)).count();
    assert_eq!(takes(&mut budget, RetryCause::LostLink), 20);
    assert_eq!(takes(&mut budget, RetryCause::UpstreamCrashed), 20);
    for _ in 0..100 {
        budget.record_answer();
    }
    assert_eq!(takes(&mut budget, RetryCause::LostLink), 20);
}

#[test]
fn every_state_meets_every_event() {
    use RequestEventKind as E;
    use RequestState as S;
    let states = [S::Choosing, S::Submitted, S::Dispatched, S::Streaming, S::Resuming, S::Closed];
    let events = [
        E::Submitted,
        E::Dispatched,
        E::Refused,
        E::Retry,
        E::GiveUp,
        E::Token,
        E::Final,
        E::Broken,
        E::Resumed,
        E::Exhausted,
        E::Expired,
    ];
    let mut defined = 0;
    for state in states {
        for event in events {
            if request_chart().step(state, event).is_ok() {
                assert_ne!(state, S::Closed, "{event:?}");
                defined += 1;
            }
        }
    }
    assert_eq!(defined, request_chart().transitions().count());
}
