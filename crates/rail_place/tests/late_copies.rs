//! Orders of an owner to an engine that has started again under its id, while orders of before that
//! got no answer may still be carried out, each at the count that it names.

use rail_place::{
    EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport, StartRequest,
};
use std::time::Duration;

const MODEL: &str = "base";
const ADAPTER_SLOTS: usize = 2;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn path(adapter: &str) -> String {
    format!("{MODEL}/{adapter}")
}

fn order(order: OrderKind, expected: u64) -> OwnerCommand {
    OwnerCommand::Order(order, expected)
}

fn load(adapter: &str) -> OrderKind {
    OrderKind::Load(path(adapter), None)
}

fn unload(adapter: &str) -> OrderKind {
    OrderKind::Unload(path(adapter))
}

/// Creates the owner of an engine that holds these adapters and has accepted two orders.
fn owner(adapters: &[&str]) -> EngineOwner {
    let mut owner = EngineOwner::new(8, ADAPTER_SLOTS, ms(5_000));
    owner.record_engine_start(Some(1));
    assert_eq!(owner.poll(ms(0), true), [OwnerCommand::Report]);
    report(&mut owner, adapters, 2, ms(0));
    owner
}

fn report(owner: &mut EngineOwner, adapters: &[&str], accepted_orders: u64, now: Duration) {
    let adapters = adapters.iter().map(|adapter| (path(adapter), 1)).collect();
    let models = vec![MODEL.to_owned()];
    let report = OwnerReport { models, adapters, accepted_orders, is_busy: false };
    owner.apply_report(&report, now, now + ms(1));
}

fn start_request(id: u64, adapter: &str, now: Duration) -> StartRequest {
    StartRequest {
        id,
        model: MODEL.to_owned(),
        adapter: Some(adapter.to_owned()),
        priority: 0,
        prompt_tokens: 10,
        shared_parts: Vec::new(),
        max_event_gap: None,
        max_estimated_wait: ms(10_000),
        start_deadline: now + ms(10_000),
        late_at: Duration::MAX,
        may_be_late: true,
        max_backlog: ms(10_000),
    }
}

fn request(owner: &mut EngineOwner, id: u64, adapter: &str, now: Duration) {
    owner.request_start(start_request(id, adapter, now), now).expect("it can start in time");
}

/// Sends an order that gets no answer, and again under its count, which is answered.
fn lose_first_answer(owner: &mut EngineOwner, sent: &OrderKind, expected: u64, now: Duration) {
    for result in [OrderResult::Unknown, OrderResult::Accepted] {
        assert_eq!(owner.poll(now, true), [order(sent.clone(), expected)]);
        owner.finish_order(result, now);
    }
}

/// Loads an adapter for a request that runs and ends; returns the time of its end.
fn serve(
    owner: &mut EngineOwner,
    id: u64,
    adapter: &str,
    expected: u64,
    now: Duration,
) -> Duration {
    request(owner, id, adapter, now);
    assert_eq!(owner.poll(now, true), [order(load(adapter), expected)]);
    owner.finish_order(OrderResult::Accepted, now);
    let granted_at = now + ms(400);
    assert_eq!(owner.poll(granted_at, true), [OwnerCommand::Grant(id, None)]);
    owner.release(id, GrantOutcome::Ended, None, granted_at + ms(50));
    granted_at + ms(100)
}

/// Restarts the engine, which reports that it holds nothing.
fn restart(owner: &mut EngineOwner, now: Duration) {
    owner.record_engine_start(Some(2));
    assert_eq!(owner.poll(now, true), [OwnerCommand::Report]);
    report(owner, &[], 0, now);
}

/// Guards against a late unload that waits for a request, and a late load that takes its place
/// meanwhile (review/2): the request has the adapter loaded again before it runs.
#[test]
fn a_request_uses_an_adapter_that_a_late_copy_may_unload() {
    let mut owner = owner(&["a", "b"]);
    request(&mut owner, 1, "b", ms(500));
    assert_eq!(owner.poll(ms(500), true), [OwnerCommand::Grant(1, None)]);
    request(&mut owner, 2, "c", ms(510));
    lose_first_answer(&mut owner, &unload("a"), 2, ms(510));
    lose_first_answer(&mut owner, &load("c"), 3, ms(520));
    restart(&mut owner, ms(1_500));
    owner.release(1, GrantOutcome::Ended, None, ms(1_500));
    owner.release(2, GrantOutcome::Ended, None, ms(1_500));
    let now = serve(&mut owner, 3, "a", 0, ms(1_600));
    let now = serve(&mut owner, 4, "b", 1, now);
    request(&mut owner, 5, "b", now);
    assert_eq!(owner.poll(now, true), [OwnerCommand::Grant(5, None)], "no copy concerns it");
    request(&mut owner, 6, "a", now);
    assert_eq!(owner.poll(now, true), [order(unload("a"), 2)], "it isn't granted");
    owner.finish_order(OrderResult::Accepted, now);
    assert_eq!(owner.poll(now, true), [order(load("a"), 3)]);
    owner.finish_order(OrderResult::Accepted, now);
    assert_eq!(owner.poll(now + ms(400), true), [OwnerCommand::Grant(6, None)]);
}

/// Guards against an engine that is filled up to the count at which a late load is carried out.
#[test]
fn an_engine_is_full_at_the_count_of_a_late_load() {
    let mut owner = owner(&["a"]);
    request(&mut owner, 1, "c", ms(500));
    lose_first_answer(&mut owner, &load("c"), 2, ms(500));
    restart(&mut owner, ms(1_500));
    owner.release(1, GrantOutcome::Ended, None, ms(1_500));
    let now = serve(&mut owner, 2, "a", 0, ms(1_600));
    request(&mut owner, 3, "b", now);
    assert_eq!(owner.poll(now, true), [order(unload("a"), 1)], "room for the late load");
    owner.finish_order(OrderResult::Accepted, now);
    assert_eq!(owner.poll(now, true), [order(load("b"), 2)], "whose count passes");
    owner.finish_order(OrderResult::Accepted, now);
    let now = now + ms(400);
    assert_eq!(owner.poll(now, true), [OwnerCommand::Grant(3, None)]);
    owner.release(3, GrantOutcome::Ended, None, now);
    serve(&mut owner, 4, "a", 3, now + ms(100));
}

/// Guards against places that stay empty for copies that aren't carried out any more.
#[test]
fn late_copies_are_forgotten_in_time() {
    let mut owner = owner(&["a"]);
    request(&mut owner, 1, "c", ms(500));
    lose_first_answer(&mut owner, &load("c"), 2, ms(500));
    owner.release(1, GrantOutcome::Ended, None, ms(1_500));
    restart(&mut owner, ms(40_000));
    let now = serve(&mut owner, 2, "a", 0, ms(40_100));
    serve(&mut owner, 3, "b", 1, now);
}

/// Guards against an adapter that counts as idle while a request runs, since requests of an earlier
/// start of the engine were counted off its use when they ended.
#[test]
fn requests_from_before_a_restart_end_the_use_of_an_adapter_after_it() {
    let mut owner = owner(&["a", "b"]);
    request(&mut owner, 1, "a", ms(500));
    assert_eq!(owner.poll(ms(500), true), [OwnerCommand::Grant(1, None)]);
    restart(&mut owner, ms(1_500));
    request(&mut owner, 2, "a", ms(1_600));
    assert_eq!(owner.poll(ms(1_600), true), [order(load("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(1_600));
    assert_eq!(owner.poll(ms(2_000), true), [OwnerCommand::Grant(2, None)]);
    // Its host learns late that the engine has ended.
    owner.release(1, GrantOutcome::Ended, None, ms(2_010));
    request(&mut owner, 3, "b", ms(2_020));
    assert_eq!(owner.poll(ms(2_020), true), [order(load("b"), 1)]);
    owner.finish_order(OrderResult::Accepted, ms(2_020));
    assert_eq!(owner.poll(ms(2_500), true), [OwnerCommand::Grant(3, None)]);
    let refused = owner.request_start(start_request(4, "c", ms(8_000)), ms(8_000));
    assert_eq!(owner.poll(ms(8_000), true), [], "no adapter is idle ({refused:?})");
}

/// Guards against an engine that is filled up although late loads at successive counts may fill it,
/// too, while an idle adapter could make room for them.
#[test]
fn late_loads_at_successive_counts_overfill_the_engine() {
    let mut owner = owner(&[]);
    report(&mut owner, &[], 0, ms(0));
    for (id, adapter, expected) in [(1, "c", 0), (2, "d", 1)] {
        let now = ms(id * 1_000);
        request(&mut owner, id, adapter, now);
        lose_first_answer(&mut owner, &load(adapter), expected, now);
        assert_eq!(owner.poll(now + ms(400), true), [OwnerCommand::Grant(id, None)]);
        owner.release(id, GrantOutcome::Ended, None, now + ms(450));
    }
    request(&mut owner, 3, "e", ms(3_000));
    lose_first_answer(&mut owner, &unload("c"), 2, ms(3_000));
    lose_first_answer(&mut owner, &load("e"), 3, ms(3_000));
    owner.release(3, GrantOutcome::Ended, None, ms(3_010));
    restart(&mut owner, ms(4_000));
    let now = serve(&mut owner, 4, "a", 0, ms(4_100));
    request(&mut owner, 5, "b", now);
    assert_eq!(owner.poll(now, true), [order(unload("a"), 1)], "late loads may follow");
    owner.finish_order(OrderResult::Accepted, now);
    assert_eq!(owner.poll(now, true), [order(load("b"), 2)]);
}
