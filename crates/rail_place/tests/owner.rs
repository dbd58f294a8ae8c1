//! Decisions of an engine's owner, replayed without an engine.

use rail_place::{
    EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport, StartRequest,
};
use std::time::Duration;

const MODEL: &str = "base";
const VERSION_TIME: Duration = Duration::from_secs(5);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn report(adapters: &[(&str, u64)], accepted_orders: u64) -> OwnerReport {
    OwnerReport {
        models: vec![MODEL.to_owned()],
        adapters: adapters
            .iter()
            .map(|(name, version)| (format!("{MODEL}/{name}"), *version))
            .collect(),
        accepted_orders,
        is_busy: false,
    }
}

/// An owner that knows an engine with these adapters.
fn owner(places: usize, adapters: &[(&str, u64)]) -> EngineOwner {
    let mut owner = EngineOwner::new(8, places, VERSION_TIME);
    assert_eq!(owner.poll(ms(0), true), [OwnerCommand::Report]);
    owner.apply_report(&report(adapters, 0), ms(0), ms(1));
    owner
}

fn ask(id: u64, adapter: &str, start_deadline: Duration) -> StartRequest {
    StartRequest {
        id,
        model: MODEL.to_owned(),
        adapter: Some(adapter.to_owned()),
        rank: 0,
        prompt_tokens: 500,
        max_estimated_wait: ms(10_000),
        start_deadline,
        max_backlog: ms(10_000),
    }
}

fn load(adapter: &str) -> OrderKind {
    OrderKind::Load(format!("{MODEL}/{adapter}"), None)
}

fn unload(adapter: &str) -> OrderKind {
    OrderKind::Unload(format!("{MODEL}/{adapter}"))
}

#[test]
fn a_resident_adapter_starts_at_once() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(ask(1, "a", ms(100)), ms(10)).expect("it can start");
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Grant(1, None)]);
}

#[test]
fn an_absent_adapter_is_loaded_and_granted_when_it_should_be_ready() {
    let mut owner = owner(4, &[]);
    owner.request_start(ask(1, "a", ms(1000)), ms(10)).expect("it can start in time");
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(load("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(14));
    assert_eq!(owner.poll(ms(100), true), []);
    assert_eq!(owner.poll(ms(300), true), [OwnerCommand::Grant(1, None)]);
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once() {
    let mut owner = owner(4, &[]);
    let again = owner.request_start(ask(1, "a", ms(50)), ms(10)).expect_err("a load takes longer");
    assert!(again >= ms(200));
    assert_eq!(owner.poll(ms(10), true), [], "nothing is loaded for it");
}

#[test]
fn an_adapter_in_use_is_never_unloaded() {
    let mut owner = owner(1, &[("a", 1)]);
    owner.request_start(ask(1, "a", ms(100)), ms(10)).expect("it can start");
    owner.poll(ms(10), true);
    assert!(owner.request_start(ask(2, "b", ms(500)), ms(20)).is_err(), "the only place is in use");
    owner.release(1, GrantOutcome::Ended, ms(30));
    owner.request_start(ask(3, "b", ms(900)), ms(40)).expect("the place is free");
    assert_eq!(owner.poll(ms(40), true), [OwnerCommand::Order(unload("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(42));
    assert_eq!(owner.poll(ms(42), true), [OwnerCommand::Order(load("b"), 1)]);
}

#[test]
fn an_adapter_still_on_its_way_is_waited_for_and_not_taken_for_absent() {
    let mut owner = owner(4, &[]);
    owner.request_start(ask(1, "a", ms(1000)), ms(0)).expect("it can start in time");
    owner.poll(ms(2), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    assert_eq!(owner.poll(ms(280), true), [OwnerCommand::Grant(1, None)]);
    owner.release(1, GrantOutcome::Absent, ms(284));
    owner.request_start(ask(2, "a", ms(1000)), ms(285)).expect("it is nearly there");
    assert_eq!(owner.poll(ms(290), true), [], "no report and no second load");
    assert_eq!(owner.poll(ms(320), true), [OwnerCommand::Grant(2, None)]);
}

#[test]
fn only_one_request_finds_out_whether_a_load_has_ended() {
    let mut owner = owner(4, &[]);
    for id in 1..=3 {
        owner.request_start(ask(id, "a", ms(1000)), ms(0)).expect("it can start in time");
    }
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    assert_eq!(owner.poll(ms(280), true).len(), 1);
    assert_eq!(owner.poll(ms(310), true).len(), 2, "the rest follows once it was not turned away");
}

#[test]
fn an_order_without_an_answer_is_sent_again_under_the_same_count() {
    let mut owner = owner(4, &[]);
    owner.request_start(ask(1, "a", ms(2000)), ms(0)).expect("it can start in time");
    assert_eq!(owner.poll(ms(1), true), [OwnerCommand::Order(load("a"), 0)]);
    owner.finish_order(OrderResult::Unknown, ms(600));
    assert_eq!(owner.poll(ms(600), true), [OwnerCommand::Order(load("a"), 0)]);
    // The first copy was carried out: nothing is read or waited for.
    owner.finish_order(OrderResult::Conflict, ms(604));
    owner.request_start(ask(2, "b", ms(9000)), ms(605)).expect("it can start in time");
    assert_eq!(owner.poll(ms(605), true), [OwnerCommand::Order(load("b"), 1)]);
    // If that was wrong, the count is read after some conflicts.
    let mut due = Vec::new();
    for attempt in 0..13 {
        owner.finish_order(OrderResult::Conflict, ms(610 + attempt * 40));
        due = owner.poll(ms(645 + attempt * 40), true);
    }
    assert_eq!(due, [OwnerCommand::Report]);
}

#[test]
fn orders_that_were_not_sent_do_not_hold_up_a_resync() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(ask(1, "a", ms(100)), ms(1)).expect("it can start");
    owner.poll(ms(1), true);
    owner.request_start(ask(2, "b", ms(3000)), ms(2)).expect("it can start in time");
    owner.release(1, GrantOutcome::Absent, ms(3));
    let due = owner.poll(ms(300), true);
    assert_eq!(due, [OwnerCommand::Report], "the count of orders is not known");
    owner.apply_report(&report(&[], 7), ms(900), ms(901));
    assert_eq!(owner.poll(ms(901), true), [OwnerCommand::Order(load("b"), 7)]);
}

#[test]
fn an_adapter_that_no_request_tried_can_make_room_later() {
    let mut owner = owner(1, &[]);
    owner.request_start(ask(1, "a", ms(1000)), ms(0)).expect("it can start in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    owner.release(1, GrantOutcome::Ended, ms(100));
    owner.poll(ms(300), true);
    assert!(
        owner.request_start(ask(2, "b", ms(800)), ms(310)).is_err(),
        "it may still be on its way"
    );
    owner.request_start(ask(3, "b", ms(2000)), ms(900)).expect("it is there by now");
    assert_eq!(owner.poll(ms(900), true), [OwnerCommand::Order(unload("a"), 1)]);
}

#[test]
fn a_new_version_replaces_an_idle_adapter_at_once_and_a_busy_one_in_time() {
    let mut owner = owner(4, &[("a", 1), ("b", 1)]);
    owner.request_start(ask(1, "b", ms(100)), ms(0)).expect("it can start");
    owner.poll(ms(0), true);
    owner.record_version("base/a", 2, ms(10));
    owner.record_version("base/b", 2, ms(10));
    let wanted = |name: &str| OrderKind::Load(format!("{MODEL}/{name}"), Some(2));
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(wanted("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(12));
    assert_eq!(owner.poll(ms(1000), true), [], "the busy one may end first");
    assert_eq!(owner.poll(ms(2100), true), [OwnerCommand::Order(wanted("b"), 1)]);
}

#[test]
fn a_backlog_of_prompts_passes_requests_on() {
    let mut owner = owner(4, &[("a", 1)]);
    let long = StartRequest { prompt_tokens: 16_000, ..ask(1, "a", ms(1000)) };
    owner.request_start(long, ms(0)).expect("the engine is idle");
    owner.poll(ms(0), true);
    let short = StartRequest { max_backlog: ms(200), ..ask(2, "a", ms(1000)) };
    assert!(owner.request_start(short.clone(), ms(10)).is_err());
    assert!(owner.request_start(short, ms(900)).is_ok(), "most of it was read by then");
}

#[test]
fn without_a_lease_nothing_is_ordered_and_residents_are_served() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(ask(1, "a", ms(100)), ms(0)).expect("it can start");
    owner.request_start(ask(2, "b", ms(1000)), ms(0)).expect("it could start in time");
    assert_eq!(owner.poll(ms(0), false), [OwnerCommand::Grant(1, None)]);
    let late = owner.poll(ms(1001), false);
    assert!(matches!(late[..], [OwnerCommand::Refuse(2, _)]), "it is told at once: {late:?}");
}

#[test]
fn requests_leave_an_engine_that_answers_no_orders() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(ask(1, "b", ms(5000)), ms(0)).expect("it could start in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Unknown, ms(200));
    assert_eq!(owner.poll(ms(230), true), [OwnerCommand::Order(load("b"), 0)]);
    owner.finish_order(OrderResult::NotSent, ms(500));
    let due = owner.poll(ms(501), false);
    assert!(matches!(due[..], [OwnerCommand::Refuse(1, _)]), "it is told at once: {due:?}");
    let patience = StartRequest { max_estimated_wait: ms(450), ..ask(2, "c", ms(5000)) };
    assert!(owner.request_start(patience, ms(502)).is_err());
    owner.request_start(ask(3, "a", ms(5000)), ms(503)).expect("a resident adapter needs no order");
}

#[test]
fn a_silent_engine_is_used_again_once_it_reports() {
    let mut owner = owner(4, &[]);
    owner.request_start(ask(1, "b", ms(5000)), ms(0)).expect("it could start in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::NotSent, ms(200));
    owner.poll(ms(230), true);
    owner.finish_order(OrderResult::NotSent, ms(500));
    owner.poll(ms(510), true);
    owner.finish_order(OrderResult::Refused, ms(600));
    assert_eq!(owner.poll(ms(1100), true), [OwnerCommand::Report]);
    owner.apply_report(&report(&[], 0), ms(1100), ms(1102));
    let patience = StartRequest { max_estimated_wait: ms(450), ..ask(2, "c", ms(5000)) };
    owner.request_start(patience, ms(1103)).expect("it answers again");
}

#[test]
fn a_record_that_is_behind_does_not_undo_what_a_report_said() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.record_engine_start(Some(100));
    assert!(owner.is_resident("base/a"), "the first start that is told is no restart");
    owner.record_engine_start(Some(200));
    assert!(!owner.is_resident("base/a"), "the engine started anew and holds nothing");
    assert_eq!(owner.poll(ms(2000), true), [OwnerCommand::Report]);
    owner.apply_report(&report(&[("b", 1)], 0), ms(2000), ms(2001));
    owner.record_engine_start(Some(100));
    owner.record_engine_start(None);
    assert!(owner.is_resident("base/b"), "the record of the earlier start comes late");
}
