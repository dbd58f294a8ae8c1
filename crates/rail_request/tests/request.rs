//! Tests of the request state machine with late, repeated and reordered events.

use quickcheck::{Gen, QuickCheck};
use rail_request::{
    Request, RequestCommand, RequestEvent, RequestEventKind, RequestFailure, RequestOutcome,
    RequestRefusal, RequestRefusalReason, RequestState, RetryBudget, RetryCause, request_chart,
};
use std::time::Duration;

const MODEL: &str = "llama:a0@v1";

fn refusal() -> RequestEvent {
    let reason = RequestRefusalReason::Leaving;
    RequestEvent::Refused(RequestRefusal { reason, retry_after: Duration::from_millis(100) })
}

fn token(offset: u64, model: &str) -> RequestEvent {
    RequestEvent::Token { offset, model: model.to_owned(), text: format!("{model}#{offset} ") }
}

fn event_from(selector: u8) -> RequestEvent {
    match selector % 18 {
        0 => RequestEvent::Submitted,
        1 => RequestEvent::Dispatched,
        2 => refusal(),
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
        14 => RequestEvent::Final { tokens: Some(u64::from(selector) / 18 % 4) },
        15 => RequestEvent::Resumed,
        16 => RequestEvent::Exhausted,
        _ => RequestEvent::Expired,
    }
}

/// What the caller and the upstreams have received so far.
#[derive(Default)]
struct Observed {
    text: String,
    is_attempt_open: bool,
    lost_attempts: u32,
    outcome: Option<RequestOutcome>,
}

/// Handles random events and checks what must hold in any order: parts are delivered without gaps,
/// only idempotent requests are retried, and only requests that did not run end as refused.
fn keeps_invariants(is_idempotent: bool, is_streamed: bool, selectors: Vec<u8>) -> bool {
    let mut budget = RetryBudget::default();
    let mut request = Request::new(MODEL, is_idempotent, is_streamed);
    let mut observed = Observed::default();
    let mut parts = 0;
    for selector in selectors {
        let event = event_from(selector);
        let before = request.state();
        let Ok(command) = request.handle(event.clone(), &mut budget) else {
            if request.state() != before {
                return false;
            }
            continue;
        };
        if observed.outcome.is_some() {
            return false;
        }
        match event {
            RequestEvent::Submitted => observed.is_attempt_open = true,
            RequestEvent::Refused(_) if parts == 0 => observed.is_attempt_open = false,
            _ if command == RequestCommand::Restart => {
                observed.lost_attempts += 1;
                observed.is_attempt_open = false;
            }
            _ => {}
        }
        match command {
            RequestCommand::Deliver(text) => {
                if text != format!("{MODEL}#{parts} ") {
                    return false;
                }
                parts += 1;
                observed.text.push_str(&text);
            }
            RequestCommand::Restart => {
                if !is_idempotent || is_streamed && parts > 0 {
                    return false;
                }
                parts = 0;
                observed.text.clear();
            }
            RequestCommand::Resume { received } if received != parts => return false,
            RequestCommand::End(outcome) => observed.outcome = Some(outcome),
            _ => {}
        }
        let may_have_run = observed.is_attempt_open || observed.lost_attempts > 0;
        if matches!(observed.outcome, Some(RequestOutcome::Refused(_))) && may_have_run {
            return false;
        }
        if observed.is_attempt_open && observed.lost_attempts > 0 && !is_idempotent {
            return false;
        }
    }
    true
}

#[test]
fn invariants_hold_for_events_in_any_order() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(300, seed))
            .tests(10_000)
            .quickcheck(keeps_invariants as fn(bool, bool, Vec<u8>) -> bool);
    }
}

fn handle_all(request: &mut Request, events: Vec<RequestEvent>) -> RequestCommand {
    let mut budget = RetryBudget::default();
    let steps =
        events.into_iter().map(|event| request.handle(event, &mut budget).expect("defined"));
    steps.last().expect("there are events")
}

#[test]
fn a_refusal_after_dispatch_leads_to_another_candidate() {
    let mut request = Request::new(MODEL, false, true);
    let events = vec![RequestEvent::Submitted, RequestEvent::Dispatched, refusal()];
    assert_eq!(handle_all(&mut request, events), RequestCommand::Choose);
    let command = handle_all(&mut request, vec![RequestEvent::Exhausted]);
    assert!(matches!(command, RequestCommand::End(RequestOutcome::Refused(_))), "{command:?}");
}

// The lost attempt may have run, so the caller must not be told that the request did not.
#[test]
fn a_refusal_after_a_lost_attempt_does_not_end_as_refused() {
    let mut request = Request::new(MODEL, true, true);
    let events =
        vec![RequestEvent::Submitted, RequestEvent::Lost, refusal(), RequestEvent::Exhausted];
    let unknown = RequestCommand::End(RequestOutcome::Failed(RequestFailure::UnknownOutcome));
    assert_eq!(handle_all(&mut request, events), unknown);
}

#[test]
fn an_interrupted_stream_is_resumed_without_gaps_or_repeats() {
    let mut request = Request::new(MODEL, false, true);
    let start = vec![RequestEvent::Submitted, RequestEvent::Dispatched, token(0, MODEL)];
    handle_all(&mut request, start);
    let resume = handle_all(&mut request, vec![RequestEvent::Lost]);
    assert_eq!(resume, RequestCommand::Resume { received: 1 });
    assert_eq!(handle_all(&mut request, vec![RequestEvent::Resumed]), RequestCommand::Wait);
    assert_eq!(handle_all(&mut request, vec![token(0, MODEL)]), RequestCommand::Wait);
    let next = handle_all(&mut request, vec![token(1, MODEL)]);
    assert_eq!(next, RequestCommand::Deliver(format!("{MODEL}#1 ")));
    let gap = handle_all(&mut request, vec![token(3, MODEL)]);
    assert_eq!(gap, RequestCommand::Resume { received: 2 });
}

#[test]
fn retries_are_limited_by_the_budget_of_their_cause() {
    let mut budget = RetryBudget::default();
    let spent =
        |budget: &mut RetryBudget, cause| (0..1_000).filter(|_| budget.try_spend(cause)).count();
    assert_eq!(spent(&mut budget, RetryCause::LostLink), 20);
    assert_eq!(spent(&mut budget, RetryCause::UpstreamCrashed), 20);
    for _ in 0..100 {
        budget.record_response();
    }
    assert_eq!(spent(&mut budget, RetryCause::LostLink), 20);
}

// A request with an outcome must not get a second one. The count shows that the lists of states and
// events are complete.
#[test]
fn no_event_leaves_the_closed_state() {
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
