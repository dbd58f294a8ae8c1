//! Explores every interleaving of a holder, a revoker and witnesses under faults.
//!
//! In every reachable state at most one process may send orders, and an owner must exist within a
//! time limit once all faults have ended. Faulty variants of the protocol must be detected.

mod model;

use model::{
    Action, LinkRecovery, MAX_OUTAGE, ModelState, Policy, RevocationPolicy, TTL, WriteOutcome,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Last time unit of an exploration: the end of the maximum outage after the first renewal.
const HORIZON: u64 = TTL + TTL + MAX_OUTAGE;
/// Maximum time without an owner after all faults have ended, in time units.
const MAX_TIME_TO_OWNER: u64 = 3 * TTL;

fn successors(state: &ModelState) -> Vec<ModelState> {
    state.successors(HORIZON).into_iter().map(|(_, next)| next).collect()
}

fn assert_safe_and_live(name: &str, start: ModelState) {
    let started = std::time::Instant::now();
    let mut states = 0_u64;
    let mut max_time_to_owner = 0;
    for state in bfs_reach(start, successors) {
        states += 1;
        assert!(!state.is_violated(), "{name}: two processes may send orders: {state:#?}");
        let Some(time) = state.time_to_owner(MAX_TIME_TO_OWNER) else {
            panic!("{name}: no owner within {MAX_TIME_TO_OWNER}: {state:#?}");
        };
        max_time_to_owner = max_time_to_owner.max(time);
    }
    let elapsed = started.elapsed();
    println!(
        "{name}: {states} states, slowest owner after {max_time_to_owner} units, {elapsed:.1?}"
    );
}

fn assert_violation_found(name: &str, start: &ModelState) {
    let path = bfs(start, successors, ModelState::is_violated);
    println!(
        "{name}: {:?} steps to two processes that may send orders",
        path.as_ref().map(Vec::len)
    );
    assert!(path.is_some(), "{name}: the exploration must find two processes that may send orders");
}

fn apply_all(start: ModelState, actions: &[Action]) -> ModelState {
    actions.iter().fold(start, |state, action| state.apply(*action).expect("possible action"))
}

/// Returns a start in which the holder and a witness can't reach the platform and the revoker can.
fn partial_outage(policy: Policy, revocation: RevocationPolicy, faults: u8) -> ModelState {
    let start = ModelState::new(1, faults + 2, policy, revocation);
    apply_all(start, &[Action::CutHolder(true), Action::CutWitness(0, true)])
}

/// Returns a start in which the stored record names the second witness, and the last record that
/// the holder knows to be stored names the first.
fn unacknowledged_renewal(policy: Policy, faults: u8, outcome: WriteOutcome) -> ModelState {
    let mut start = ModelState::new(2, faults + 1, policy, RevocationPolicy::AllConditions)
        .with_first_witnesses(1);
    start.set_next_witnesses(1, 1);
    apply_all(start, &[Action::Tick, Action::Renew(outcome)])
}

#[test]
fn safe_with_one_witness_and_one_fault() {
    assert_safe_and_live(
        "1 witness, 1 fault",
        ModelState::new(1, 1, Policy::Majority, RevocationPolicy::AllConditions),
    );
}

#[test]
fn safe_with_one_witness_in_an_outage_with_a_second_fault() {
    for fault in [Action::Pause, Action::Kill, Action::ReplaceHolder, Action::ReplaceWitness(0)] {
        let start = ModelState::new(1, 2, Policy::Majority, RevocationPolicy::AllConditions);
        let start = apply_all(start, &[Action::Outage(true), fault]);
        assert_safe_and_live(&format!("1 witness, outage, {fault:?}"), start);
    }
}

#[test]
fn safe_when_a_witness_in_a_partial_outage_is_replaced() {
    let start = partial_outage(Policy::Majority, RevocationPolicy::AllConditions, 1);
    assert_safe_and_live(
        "1 witness, cut, replaced",
        apply_all(start, &[Action::ReplaceWitness(0)]),
    );
}

#[test]
fn safe_when_two_of_three_witnesses_and_the_holder_stay_cut_off_with_one_fault() {
    let start = ModelState::new(3, 4, Policy::Majority, RevocationPolicy::AllConditions);
    let cuts = [Action::CutHolder(true), Action::CutWitness(0, true), Action::CutWitness(1, true)];
    let mut start = apply_all(start, &cuts);
    start.link_recovery = LinkRecovery::Never;
    assert_safe_and_live("3 witnesses, holder and 2 cut for good, 1 fault", start);
}

#[test]
fn safe_when_holder_and_all_witnesses_are_replaced_in_an_outage() {
    let start = ModelState::new(3, 2, Policy::Majority, RevocationPolicy::AllConditions);
    let start = apply_all(start, &[Action::Outage(true), Action::ReplaceAll]);
    assert_safe_and_live("3 witnesses, outage, holder and all replaced", start);
}

#[test]
fn safe_when_the_reply_to_a_renewal_with_other_witnesses_is_lost() {
    let start = unacknowledged_renewal(Policy::Majority, 2, WriteOutcome::ReplyLost);
    let start = apply_all(start, &[Action::CutHolder(true), Action::CutWitness(0, true)]);
    assert_safe_and_live("2 witness sets, lost reply, holder and 1 cut", start);
}

#[test]
fn safe_when_a_renewal_with_other_witnesses_is_delayed() {
    let start = unacknowledged_renewal(Policy::Majority, 2, WriteOutcome::Delayed);
    let start = apply_all(start, &[Action::CutHolder(true), Action::CutWitness(0, true)]);
    assert_safe_and_live("2 witness sets, delayed renewal, holder and 1 cut", start);
}

#[test]
fn detects_a_holder_that_continues_without_confirmations() {
    assert_violation_found(
        "no confirmations",
        &ModelState::new(1, 1, Policy::NoConfirmations, RevocationPolicy::AllConditions),
    );
}

#[test]
fn detects_a_holder_that_uses_one_witness_set_after_an_unacknowledged_renewal() {
    let start = unacknowledged_renewal(Policy::OneWitnessSet, 2, WriteOutcome::ReplyLost);
    assert_violation_found("one witness set", &apply_all(start, &[Action::CutHolder(true)]));
}

#[test]
fn detects_a_replaced_witness_that_counts_immediately() {
    assert_violation_found(
        "replaced immediately",
        &partial_outage(Policy::Majority, RevocationPolicy::ReplacedImmediately, 1),
    );
}

#[test]
fn detects_a_revoker_that_does_not_wait_after_an_outage() {
    let start = ModelState::new(1, 2, Policy::Majority, RevocationPolicy::NoWaitAfterOutage);
    assert_violation_found("no wait after an outage", &apply_all(start, &[Action::Outage(true)]));
}

#[test]
fn detects_a_revocation_without_promises() {
    assert_violation_found(
        "no promises",
        &partial_outage(Policy::Majority, RevocationPolicy::NoPromises, 0),
    );
}
