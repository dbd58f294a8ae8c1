//! What an engine runs and loads next.

use rail_place::{
    EnginePlanner, Objective, PlannerConfig, Policy, ReplicaController, ReplicaHints, WorkItem,
    choose_engines,
};
use std::time::Duration;

const SLOTS: usize = 4;
const DEADLINE: Duration = Duration::from_secs(100);

fn planner(policy: Policy) -> EnginePlanner {
    let objective = Objective::new(1.0, 1.0).expect("weights");
    EnginePlanner::new(PlannerConfig { adapter_slots: 2, slots: SLOTS, policy, objective })
}

fn item(adapter: &str, urgent: bool) -> WorkItem<'_> {
    WorkItem { adapter, urgent, arrived_at: Duration::ZERO, expires_at: DEADLINE }
}

fn load(planner: &mut EnginePlanner, adapter: &str) {
    let residency = planner.residency_mut();
    let ticket = residency.start_load(adapter, Duration::ZERO).expect("free slot");
    residency.finish_load(ticket, true, Duration::ZERO, 0.0).expect("load ends");
}

#[test]
fn urgent_work_loads_at_once_and_deferrable_work_gathers() {
    let planner = planner(Policy::Rendezvous);
    let waiting = [item("a", true), item("b", false)];
    let plan = planner.plan(&waiting, 0, Duration::from_secs(1));
    assert_eq!(plan.loads.iter().map(|w| w.adapter.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn deferrable_work_is_released_by_a_full_batch_or_by_time() {
    let planner = planner(Policy::Rendezvous);
    let full = [item("a", false); SLOTS];
    assert_eq!(planner.plan(&full, 0, Duration::from_secs(1)).loads.len(), 1);
    assert!(planner.plan(&full[1..], 0, Duration::from_secs(1)).loads.is_empty());
    assert_eq!(planner.plan(&full[1..], 0, DEADLINE / 2).loads.len(), 1);
}

#[test]
fn deferrable_work_close_to_its_deadline_is_loaded_like_urgent_work() {
    let planner = planner(Policy::Rendezvous);
    let waiting = [item("a", false)];
    assert!(!planner.plan(&waiting, 0, DEADLINE / 2).loads[0].urgent);
    assert!(planner.plan(&waiting, 0, DEADLINE * 4 / 5).loads[0].urgent);
}

#[test]
fn deferrable_work_fills_a_running_batch_and_leaves_room_for_urgent_work() {
    let mut planner = planner(Policy::Rendezvous);
    load(&mut planner, "a");
    let waiting = [item("a", false); 3];
    let now = Duration::from_secs(1);
    assert!(planner.plan(&waiting[..1], 0, now).dispatch.is_empty(), "nothing to fill yet");
    assert_eq!(planner.plan(&waiting, 1, now).dispatch, [0, 1], "one place is reserved");
    assert!(planner.plan(&waiting, 3, now).dispatch.is_empty(), "the reserve is not theirs");
    assert_eq!(planner.plan(&[item("a", true)], 3, now).dispatch, [0]);
    assert!(planner.plan(&waiting, SLOTS, now).dispatch.is_empty());
}

#[test]
fn baselines_load_in_the_order_of_arrival() {
    let planner = planner(Policy::HashLru);
    let mut late = item("a", true);
    late.arrived_at = Duration::from_secs(1);
    let plan = planner.plan(&[late, item("b", false)], 0, Duration::from_secs(2));
    assert_eq!(plan.loads.iter().map(|w| w.adapter.as_str()).collect::<Vec<_>>(), ["b", "a"]);
}

#[test]
fn a_hot_adapter_widens_and_narrows_again() {
    let mut controller = ReplicaController::default();
    let mut hints = ReplicaHints::default();
    let at = |step: u64| Duration::from_secs(10 * step);
    assert_eq!(controller.update("a", 0.9, at(1)), 2);
    assert_eq!(controller.update("a", 0.9, at(1) + Duration::from_secs(1)), 2, "it dwells");
    assert_eq!(controller.update("a", 0.9, at(2)), 3);
    hints.record("a", 3, at(2));
    assert_eq!((hints.replicas("a", at(3)), hints.replicas("b", at(3))), (3, 1));
    assert_eq!(hints.replicas("a", at(9)), 1, "old hints are forgotten");
    assert_eq!(controller.update("a", 0.1, at(3)), 2);
    assert_eq!(controller.update("a", 0.1, at(4)), 1);
}

#[test]
fn requests_spread_over_the_width_and_pass_over_full_engines() {
    let loads = [0.2, 0.2, 0.2, 0.2];
    let first: Vec<usize> = (0..64).map(|id| choose_engines(&loads, 2, id)[0]).collect();
    assert!(first.contains(&0) && first.contains(&1) && first.iter().all(|e| *e < 2));
    assert_eq!(choose_engines(&[3.0, 0.2, 0.2, 0.2], 1, 0), [1, 2, 3, 0]);
}
