//! How far a dispatcher fills instances that can't turn many requests away.

use rail_dispatch::{
    Arrival, Dispatcher, DispatcherStanding, RoomRule, RunEnd, RunId, RunKnowledge, RunOutcome,
    RunRequest, may_send_uncounted,
};
use rail_route::{Upstream, UpstreamState};
use std::{sync::Arc, time::Duration};

const SLOTS: u32 = 4;
const CERTAIN: RoomRule = RoomRule::Certain { share: 1.0, refusal_pause: Duration::from_secs(1) };
const ALL_HEARD: DispatcherStanding =
    DispatcherStanding { is_first: true, live_hosts: 8, known_hosts: 8 };

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Creates the dispatcher of one instance, at which ten requests wait.
fn dispatcher(rule: RoomRule) -> Dispatcher {
    let upstream = Arc::new(Upstream {
        id: "a".to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "z1".to_owned(),
        slots: SLOTS,
        state: UpstreamState::Ready,
        started_unix_ms: None,
        software: String::new(),
        resident_models: Vec::new(),
    });
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_ready([upstream].iter());
    dispatcher.set_room_rule(rule);
    for _ in 0..10 {
        let request = RunRequest {
            zone: "z1".to_owned(),
            priority: 1,
            late_at: ms(10_000),
            expires_at: ms(10_000),
            excluded: Vec::new(),
        };
        assert!(matches!(dispatcher.request(request, ms(0)), Arrival::Queued(_)));
    }
    dispatcher
}

fn start_all(dispatcher: &mut Dispatcher, now: Duration) -> Vec<RunId> {
    std::iter::from_fn(|| dispatcher.next_start(now)).map(|start| start.id).collect()
}

fn end(outcome: RunOutcome) -> RunEnd {
    RunEnd { outcome, ..RunEnd::UNKNOWN }
}

/// Guards against a surplus that an instance with little room has to turn away.
#[test]
fn a_brittle_instance_gets_more_runs_than_it_has_slots() {
    let mut dispatcher = dispatcher(CERTAIN);
    let running = start_all(&mut dispatcher, ms(0));
    assert_eq!(running.len() as u32, SLOTS);
    dispatcher.end(running[0], end(RunOutcome::Answered), ms(10));
    assert_eq!(start_all(&mut dispatcher, ms(10)).len(), 1);
}

/// Guards against a run in the place of one that its instance goes on with.
#[test]
fn an_abandoned_run_leaves_its_place_at_once() {
    for outcome in [RunOutcome::Unknown, RunOutcome::Failed] {
        let mut dispatcher = dispatcher(CERTAIN);
        let running = start_all(&mut dispatcher, ms(0));
        dispatcher.end(running[0], end(outcome), ms(10));
        assert!(start_all(&mut dispatcher, ms(200)).is_empty(), "{outcome:?}");
        assert_eq!(start_all(&mut dispatcher, ms(300)).len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_refusal_pauses_a_brittle_instance_for_longer() {
    let mut dispatcher = dispatcher(CERTAIN);
    let running = start_all(&mut dispatcher, ms(0));
    dispatcher.end(running[0], end(RunOutcome::Refused), ms(10));
    assert!(start_all(&mut dispatcher, ms(1_000)).is_empty());
    assert_eq!(start_all(&mut dispatcher, ms(1_010)).len(), 1);
}

/// Returns the share of the slots that a dispatcher uses, `None` if it may start a surplus.
fn share(rule: RoomRule) -> Option<f64> {
    match rule {
        RoomRule::Surplus => None,
        RoomRule::Certain { share, .. } => Some(share),
    }
}

/// Guards against a dispatcher that fills instances beside runs which another one has started.
#[test]
fn a_dispatcher_that_has_just_begun_fills_all_slots() {
    let mut knowledge = RunKnowledge::default();
    let rule =
        |knowledge: &RunKnowledge, limit, now| share(knowledge.room_rule(limit, || ALL_HEARD, now));
    knowledge.record_request(ms(0));
    assert_eq!(rule(&knowledge, None, ms(0)), Some(0.25), "it may be brittle");
    knowledge.record_answer();
    assert_eq!(rule(&knowledge, None, ms(50)), None);
    assert_eq!(rule(&knowledge, Some(2), ms(50)), Some(0.25));
    for now in (200..=1_000).step_by(200) {
        knowledge.record_request(ms(now));
    }
    assert_eq!(rule(&knowledge, Some(2), ms(1_000)), Some(1.0));
    // It stood still, or another host was asked meanwhile.
    knowledge.record_request(ms(1_500));
    assert_eq!(rule(&knowledge, Some(2), ms(1_500)), Some(0.25));
    assert_eq!(rule(&knowledge, None, ms(1_500)), Some(0.25));
}

/// Guards against parts of a fleet that fill the same slots.
#[test]
fn hosts_that_do_not_hear_each_other_fill_all_slots_each() {
    let mut knowledge = RunKnowledge::default();
    for now in (0..=1_200).step_by(200) {
        knowledge.record_request(ms(now));
    }
    let rule = |standing| share(knowledge.room_rule(Some(2), || standing, ms(1_200)));
    assert_eq!(rule(DispatcherStanding { live_hosts: 2, ..ALL_HEARD }), Some(0.25));
    assert_eq!(rule(DispatcherStanding { is_first: false, ..ALL_HEARD }), Some(0.25));
    assert_eq!(rule(DispatcherStanding { known_hosts: 0, ..ALL_HEARD }), Some(1.0));
}

#[test]
fn a_host_whose_requests_nobody_counts_keeps_to_its_part() {
    let most = |slots, hosts| (0..100).find(|own| !may_send_uncounted(*own, slots, hosts));
    assert_eq!(most(48, 8), Some(6));
    assert_eq!(most(6, 72), Some(1));
    assert_eq!(most(6, 0), Some(6));
}
