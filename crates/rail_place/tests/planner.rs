//! Tests of the dispatch and loads that an engine planner decides.

use rail_place::{
    EnginePlanner, Objective, PlannerConfig, Policy, ReplicaController, ReplicaHints, WorkItem,
    choose_engines,
};
use std::time::Duration;

const SLOTS: usize = 4;
const DEADLINE: Duration = Duration::from_secs(100);

fn planner(policy: Policy) -> EnginePlanner {
    let objective = Objective::new(1.0, 1.0).expect("valid weights");
    EnginePlanner::new(PlannerConfig { adapter_slots: 2, slots: SLOTS, policy, objective })
}

fn item(adapter: &str, urgent: bool) -> WorkItem<'_> {
    WorkItem { adapter, urgent, arrived_at: Duration::ZERO, deadline: DEADLINE }
}

fn load(planner: &mut EnginePlanner, adapter: &str) {
    let residency = planner.residency_mut();
    let ticket = residency.start_load(adapter, Duration::ZERO).expect("a free slot");
    residency.finish_load(ticket, true, Duration::ZERO, 0.0).expect("the load is in progress");
}

#[test]
fn urgent_requests_load_at_once_and_deferrable_ones_are_held_back() {
    let planner = planner(Policy::Rendezvous);
    let waiting = [item("a", true), item("b", false)];
    let plan = planner.plan(&waiting, 0, Duration::from_secs(1));
    assert_eq!(plan.loads.iter().map(|load| load.adapter.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn deferrable_requests_are_released_by_a_full_batch_or_by_time() {
    let planner = planner(Policy::Rendezvous);
    let full = [item("a", false); SLOTS];
    assert_eq!(planner.plan(&full, 0, Duration::from_secs(1)).loads.len(), 1);
    assert!(planner.plan(&full[1..], 0, Duration::from_secs(1)).loads.is_empty());
    assert_eq!(planner.plan(&full[1..], 0, DEADLINE / 2).loads.len(), 1);
}

#[test]
fn deferrable_requests_close_to_their_deadline_load_like_urgent_ones() {
    let planner = planner(Policy::Rendezvous);
    let waiting = [item("a", false)];
    assert!(!planner.plan(&waiting, 0, DEADLINE / 2).loads[0].urgent);
    assert!(planner.plan(&waiting, 0, DEADLINE * 4 / 5).loads[0].urgent);
}

#[test]
fn deferrable_requests_fill_a_running_batch_except_reserved_slots() {
    let mut planner = planner(Policy::Rendezvous);
    load(&mut planner, "a");
    let waiting = [item("a", false); 3];
    let now = Duration::from_secs(1);
    assert!(planner.plan(&waiting[..1], 0, now).dispatch.is_empty(), "no batch is running yet");
    assert_eq!(planner.plan(&waiting, 1, now).dispatch, [0, 1], "one slot is reserved");
    assert!(
        planner.plan(&waiting, 3, now).dispatch.is_empty(),
        "the last slot is reserved for urgent requests"
    );
    assert_eq!(planner.plan(&[item("a", true)], 3, now).dispatch, [0]);
    assert!(planner.plan(&waiting, SLOTS, now).dispatch.is_empty());
}

#[test]
fn baselines_load_in_the_order_of_arrival() {
    let planner = planner(Policy::HashLru);
    let mut late = item("a", true);
    late.arrived_at = Duration::from_secs(1);
    let plan = planner.plan(&[late, item("b", false)], 0, Duration::from_secs(2));
    assert_eq!(plan.loads.iter().map(|load| load.adapter.as_str()).collect::<Vec<_>>(), ["b", "a"]);
}

#[test]
fn a_hot_adapter_gains_and_loses_replicas() {
    let mut controller = ReplicaController::default();
    let mut hints = ReplicaHints::default();
    let at = |step: u64| Duration::from_secs(10 * step);
    assert_eq!(controller.update("a", 0.9, at(1)), 2);
    assert_eq!(
        controller.update("a", 0.9, at(1) + Duration::from_secs(1)),
        2,
        "the count changes at most every 5 s"
    );
    assert_eq!(controller.update("a", 0.9, at(2)), 3);
    hints.record("a", 3, at(2));
    assert_eq!((hints.replicas("a", at(3)), hints.replicas("b", at(3))), (3, 1));
    assert_eq!(hints.replicas("a", at(9)), 1, "old hints are no longer used");
    assert_eq!(controller.update("a", 0.1, at(3)), 2);
    assert_eq!(controller.update("a", 0.1, at(4)), 1);
}

#[test]
fn requests_spread_over_replicas_and_overloaded_engines_come_last() {
    let loads = [0.2, 0.2, 0.2, 0.2];
    let first: Vec<usize> = (0..64).map(|id| choose_engines(&loads, 2, id)[0]).collect();
    assert!(first.contains(&0) && first.contains(&1) && first.iter().all(|e| *e < 2));
    assert_eq!(choose_engines(&[3.0, 0.2, 0.2, 0.2], 1, 0), [1, 2, 3, 0]);
}
