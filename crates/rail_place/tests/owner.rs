//! Tests of the commands of an engine owner, in simulated time and without an engine.

use rail_place::{
    EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport, StartRequest,
};
use std::time::Duration;

const MODEL: &str = "base";
const VERSION_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Creates an owner that has received a report of these adapters.
fn owner(adapter_slots: usize, adapters: &[(&str, u64)]) -> EngineOwner {
    let mut owner = EngineOwner::new(8, adapter_slots, VERSION_TIMEOUT);
    assert_eq!(owner.poll(ms(0), true), [OwnerCommand::Report]);
    owner.apply_report(&report(adapters, 0), ms(0), ms(1));
    owner
}

fn start_request(id: u64, adapter: &str, start_deadline: Duration) -> StartRequest {
    StartRequest {
        id,
        model: MODEL.to_owned(),
        adapter: Some(adapter.to_owned()),
        priority: 0,
        prompt_tokens: 500,
        shared_parts: Vec::new(),
        max_event_gap: None,
        max_estimated_wait: ms(10_000),
        start_deadline,
        late_at: Duration::MAX,
        may_be_late: true,
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
fn a_request_for_a_resident_adapter_is_granted_at_once() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(100)), ms(10)).expect("the adapter is resident");
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Grant(1, None)]);
}

#[test]
fn an_absent_adapter_is_loaded_and_granted_when_it_should_be_ready() {
    let mut owner = owner(4, &[]);
    owner.request_start(start_request(1, "a", ms(1000)), ms(10)).expect("the load ends in time");
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(load("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(14));
    assert_eq!(owner.poll(ms(100), true), []);
    assert_eq!(owner.poll(ms(300), true), [OwnerCommand::Grant(1, None)]);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut owner = owner(4, &[]);
    let retry_after = owner
        .request_start(start_request(1, "a", ms(50)), ms(10))
        .expect_err("a load takes longer");
    assert!(retry_after >= ms(200));
    assert_eq!(owner.poll(ms(10), true), [], "a refused request causes no load");
}

#[test]
fn an_adapter_in_use_is_never_unloaded() {
    let mut owner = owner(1, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(100)), ms(10)).expect("the adapter is resident");
    owner.poll(ms(10), true);
    assert!(
        owner.request_start(start_request(2, "b", ms(500)), ms(20)).is_err(),
        "the only adapter slot is in use"
    );
    owner.release(1, GrantOutcome::Ended, None, ms(30));
    owner
        .request_start(start_request(3, "b", ms(900)), ms(40))
        .expect("the adapter slot can be freed");
    assert_eq!(owner.poll(ms(40), true), [OwnerCommand::Order(unload("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(42));
    assert_eq!(owner.poll(ms(42), true), [OwnerCommand::Order(load("b"), 1)]);
}

/// An engine answers that an adapter is absent while it still loads it. Taking that answer for a
/// lost load would order the same load again.
#[test]
fn an_adapter_that_loads_longer_than_expected_is_not_loaded_twice() {
    let mut owner = owner(4, &[]);
    owner.request_start(start_request(1, "a", ms(1000)), ms(0)).expect("the load ends in time");
    owner.poll(ms(2), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    assert_eq!(owner.poll(ms(280), true), [OwnerCommand::Grant(1, None)]);
    owner.release(1, GrantOutcome::Absent, None, ms(284));
    owner
        .request_start(start_request(2, "a", ms(1000)), ms(285))
        .expect("the load should end soon");
    assert_eq!(owner.poll(ms(290), true), [], "no report and no second load");
    assert_eq!(owner.poll(ms(320), true), [OwnerCommand::Grant(2, None)]);
}

#[test]
fn only_one_request_tries_an_adapter_that_is_not_confirmed() {
    let mut owner = owner(4, &[]);
    for id in 1..=3 {
        owner
            .request_start(start_request(id, "a", ms(1000)), ms(0))
            .expect("the load ends in time");
    }
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    assert_eq!(owner.poll(ms(280), true).len(), 1);
    assert_eq!(
        owner.poll(ms(310), true).len(),
        2,
        "the other requests are granted once the engine has not refused the first"
    );
}

/// An order that got no answer may have been carried out. Sent again with a new count, it could be
/// carried out twice.
#[test]
fn an_order_without_an_answer_is_sent_again_under_the_same_count() {
    let mut owner = owner(4, &[]);
    owner.request_start(start_request(1, "a", ms(2000)), ms(0)).expect("the load ends in time");
    assert_eq!(owner.poll(ms(1), true), [OwnerCommand::Order(load("a"), 0)]);
    owner.finish_order(OrderResult::Unknown, ms(600));
    assert_eq!(owner.poll(ms(600), true), [OwnerCommand::Order(load("a"), 0)]);
    // The conflict may also mean that another order is in progress, so it doesn't show that the first
    // copy was carried out: a report must, before any order under another count.
    owner.finish_order(OrderResult::Conflict, ms(604));
    owner.request_start(start_request(2, "b", ms(9000)), ms(605)).expect("the load ends in time");
    assert_eq!(owner.poll(ms(605), true), [OwnerCommand::Report]);
    assert!(owner.poll(ms(900), true).is_empty(), "no order before the report");
    owner.apply_report(&report(&[("a", 1)], 1), ms(1100), ms(1104));
    let loaded = [OwnerCommand::Grant(1, None), OwnerCommand::Order(load("b"), 1)];
    assert_eq!(owner.poll(ms(1105), true), loaded);
    // A wrong count is read from a report after repeated conflicts.
    let mut commands = Vec::new();
    for attempt in 0..13 {
        owner.finish_order(OrderResult::Conflict, ms(1110 + attempt * 40));
        commands = owner.poll(ms(1145 + attempt * 40), true);
    }
    assert_eq!(commands, [OwnerCommand::Report]);
}

/// While orders are queued, the count from a report is not used. Orders left over from before a
/// resync would therefore keep the count unknown.
#[test]
fn unsent_orders_do_not_delay_a_resync() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(100)), ms(1)).expect("the adapter is resident");
    owner.poll(ms(1), true);
    owner.request_start(start_request(2, "b", ms(3000)), ms(2)).expect("the load ends in time");
    owner.release(1, GrantOutcome::Absent, None, ms(3));
    let commands = owner.poll(ms(300), true);
    assert_eq!(commands, [OwnerCommand::Report], "the count of accepted orders is not known");
    owner.apply_report(&report(&[], 7), ms(900), ms(901));
    assert_eq!(owner.poll(ms(901), true), [OwnerCommand::Order(load("b"), 7)]);
}

#[test]
fn an_adapter_that_no_request_tried_can_be_evicted_later() {
    let mut owner = owner(1, &[]);
    owner.request_start(start_request(1, "a", ms(1000)), ms(0)).expect("the load ends in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Accepted, ms(4));
    owner.release(1, GrantOutcome::Ended, None, ms(100));
    owner.poll(ms(300), true);
    assert!(
        owner.request_start(start_request(2, "b", ms(800)), ms(310)).is_err(),
        "the adapter may still be loading"
    );
    owner
        .request_start(start_request(3, "b", ms(2000)), ms(900))
        .expect("the load has ended by now");
    assert_eq!(owner.poll(ms(900), true), [OwnerCommand::Order(unload("a"), 1)]);
}

#[test]
fn a_new_version_replaces_an_idle_adapter_at_once_and_one_in_use_later() {
    let mut owner = owner(4, &[("a", 1), ("b", 1)]);
    owner.request_start(start_request(1, "b", ms(100)), ms(0)).expect("the adapter is resident");
    owner.poll(ms(0), true);
    owner.record_version("base/a", 2, Some(ms(10)));
    owner.record_version("base/b", 2, Some(ms(10)));
    let load_new_version = |name: &str| OrderKind::Load(format!("{MODEL}/{name}"), Some(2));
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(load_new_version("a"), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(12));
    assert_eq!(owner.poll(ms(2750), true), [], "the requests that use the adapter may end first");
    assert_eq!(owner.poll(ms(2770), true), [OwnerCommand::Order(load_new_version("b"), 1)]);
}

/// Guards against a replacement that each newer version postpones, so that an adapter in use is never
/// replaced while versions follow one another.
#[test]
fn newer_versions_postpone_the_replacement_of_an_adapter_in_use() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(100)), ms(0)).expect("the adapter is resident");
    owner.poll(ms(0), true);
    for (version, announced_at) in [(2, 10), (3, 1000), (4, 1900)] {
        owner.record_version("base/a", version, Some(ms(announced_at)));
    }
    let load_newest = OrderKind::Load(format!("{MODEL}/a"), Some(4));
    assert_eq!(owner.poll(ms(2770), true), [OwnerCommand::Order(load_newest, 0)]);
}

/// Guards against an owner that waits for the engine's count of orders, so that it can't replace an
/// outdated version, and grants it meanwhile.
#[test]
fn an_outdated_version_is_granted_while_no_order_can_replace_it() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(4000)), ms(0)).expect("the adapter is resident");
    owner.poll(ms(0), true);
    owner.record_version("base/a", 2, Some(ms(10)));
    owner.request_start(start_request(2, "b", ms(4000)), ms(20)).expect("there is room");
    assert!(matches!(owner.poll(ms(20), true)[..], [OwnerCommand::Order(..)]));
    owner.finish_order(OrderResult::Refused, ms(30));
    owner.request_start(start_request(3, "a", ms(9000)), ms(2800)).expect("may wait");
    let commands = owner.poll(ms(2800), true);
    assert!(!commands.iter().any(|command| matches!(command, OwnerCommand::Grant(3, _))));
}

/// Guards against an adapter that no request has tried since its load and that newer versions never
/// replace, so that the next requests find an old version at every engine.
#[test]
fn a_newer_version_does_not_replace_an_adapter_that_no_request_has_tried() {
    let mut owner = owner(4, &[("a", 1)]);
    let load_version = |version| OrderKind::Load(format!("{MODEL}/a"), Some(version));
    owner.record_version("base/a", 2, Some(ms(10)));
    assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(load_version(2), 0)]);
    owner.finish_order(OrderResult::Accepted, ms(12));
    assert_eq!(owner.poll(ms(3000), true), []);
    owner.record_version("base/a", 3, Some(ms(3000)));
    let replaced_by = ms(3000) + VERSION_TIMEOUT;
    let mut orders = Vec::new();
    let mut now = ms(3000);
    while now < replaced_by && orders.is_empty() {
        orders = owner.poll(now, true);
        now += ms(500);
    }
    assert_eq!(orders, [OwnerCommand::Order(load_version(3), 1)]);
}

#[test]
fn a_request_is_refused_when_the_prompt_backlog_exceeds_its_limit() {
    let mut owner = owner(4, &[("a", 1)]);
    let long_prompt = StartRequest { prompt_tokens: 16_000, ..start_request(1, "a", ms(1000)) };
    owner.request_start(long_prompt, ms(0)).expect("the engine is idle");
    owner.poll(ms(0), true);
    let short_prompt = StartRequest { max_backlog: ms(200), ..start_request(2, "a", ms(1000)) };
    assert!(owner.request_start(short_prompt.clone(), ms(10)).is_err());
    assert!(
        owner.request_start(short_prompt, ms(900)).is_ok(),
        "most of the prompt was processed by then"
    );
}

#[test]
fn without_a_lease_no_orders_are_sent_and_resident_adapters_are_granted() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.request_start(start_request(1, "a", ms(100)), ms(0)).expect("the adapter is resident");
    owner
        .request_start(start_request(2, "b", ms(1000)), ms(0))
        .expect("the load would end in time");
    assert_eq!(owner.poll(ms(0), false), [OwnerCommand::Grant(1, None)]);
    let commands = owner.poll(ms(1001), false);
    assert!(
        matches!(commands[..], [OwnerCommand::Refuse(2, _)]),
        "the request is refused at once: {commands:?}"
    );
}

#[test]
fn waiting_requests_are_refused_when_the_engine_answers_no_orders() {
    let mut owner = owner(4, &[("a", 1)]);
    owner
        .request_start(start_request(1, "b", ms(5000)), ms(0))
        .expect("the load would end in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::Unknown, ms(200));
    assert_eq!(owner.poll(ms(230), true), [OwnerCommand::Order(load("b"), 0)]);
    owner.finish_order(OrderResult::NotSent, ms(500));
    let commands = owner.poll(ms(501), false);
    assert!(
        matches!(commands[..], [OwnerCommand::Refuse(1, _)]),
        "the request is refused at once: {commands:?}"
    );
    let request = StartRequest { max_estimated_wait: ms(450), ..start_request(2, "c", ms(5000)) };
    assert!(owner.request_start(request, ms(502)).is_err());
    owner
        .request_start(start_request(3, "a", ms(5000)), ms(503))
        .expect("a resident adapter needs no order");
}

#[test]
fn an_unresponsive_engine_is_used_again_after_a_report() {
    let mut owner = owner(4, &[]);
    owner
        .request_start(start_request(1, "b", ms(5000)), ms(0))
        .expect("the load would end in time");
    owner.poll(ms(1), true);
    owner.finish_order(OrderResult::NotSent, ms(200));
    owner.poll(ms(230), true);
    owner.finish_order(OrderResult::NotSent, ms(500));
    owner.poll(ms(510), true);
    owner.finish_order(OrderResult::Refused, ms(600));
    assert_eq!(owner.poll(ms(1100), true), [OwnerCommand::Report]);
    owner.apply_report(&report(&[], 0), ms(1100), ms(1102));
    let request = StartRequest { max_estimated_wait: ms(450), ..start_request(2, "c", ms(5000)) };
    owner.request_start(request, ms(1103)).expect("the engine answers again");
}

/// The registration of an engine and its report both contain the start time, and either may lag
/// behind. An outdated registration must not discard the state from a newer report.
/// Guards against an engine that gets no orders any more after it restarted while it was sent one.
#[test]
fn an_engine_that_restarts_during_an_order_is_ordered_again() {
    for result in [OrderResult::NotSent, OrderResult::Unknown, OrderResult::Conflict] {
        let mut owner = owner(1, &[("a", 1)]);
        owner.record_engine_start(Some(1));
        owner.request_start(start_request(1, "b", ms(5_000)), ms(10)).expect("b can be loaded");
        assert_eq!(owner.poll(ms(10), true), [OwnerCommand::Order(unload("a"), 0)]);
        owner.record_engine_start(Some(2));
        owner.finish_order(result, ms(20));
        let commands = owner.poll(ms(2_000), true);
        assert!(commands.contains(&OwnerCommand::Report), "{result:?}: {commands:?}");
        owner.apply_report(&report(&[], 0), ms(2_000), ms(2_001));
        let commands = owner.poll(ms(2_002), true);
        assert!(commands.contains(&OwnerCommand::Order(load("b"), 0)), "{result:?}: {commands:?}");
    }
}

#[test]
fn an_older_start_time_does_not_reset_the_state_from_a_report() {
    let mut owner = owner(4, &[("a", 1)]);
    owner.record_engine_start(Some(100));
    assert!(owner.is_resident("base/a"), "the first known start time is no restart");
    owner.record_engine_start(Some(200));
    assert!(!owner.is_resident("base/a"), "the engine restarted with nothing loaded");
    assert_eq!(owner.poll(ms(2000), true), [OwnerCommand::Report]);
    owner.apply_report(&report(&[("b", 1)], 0), ms(2000), ms(2001));
    owner.record_engine_start(Some(100));
    owner.record_engine_start(None);
    assert!(owner.is_resident("base/b"), "the record of the earlier start arrives late");
}
