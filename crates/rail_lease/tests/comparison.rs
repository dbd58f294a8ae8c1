//! Compares the policies for a platform outage under the same fault schedules.

mod model;

use model::{Action, ModelState, Policy, RevocationPolicy};

/// Duration of each schedule, in time units.
const SCHEDULE_UNITS: u64 = 16;
/// Witnesses in every schedule.
const WITNESSES: usize = 3;

type Schedule = (&'static str, &'static [(u64, Action)]);

/// Faults by the time unit in which they begin or end.
const SCHEDULES: &[Schedule] = &[
    ("outage for all", &[(1, Action::Outage(true)), (5, Action::Outage(false))]),
    (
        "outage, one witness replaced",
        &[(1, Action::Outage(true)), (2, Action::ReplaceWitness(0)), (5, Action::Outage(false))],
    ),
    ("holder cut", &[(1, Action::CutHolder(true)), (9, Action::CutHolder(false))]),
    (
        "holder and one witness cut",
        &[(1, Action::CutHolder(true)), (1, Action::CutWitness(0, true))],
    ),
    (
        "holder and two witnesses cut",
        &[
            (1, Action::CutHolder(true)),
            (1, Action::CutWitness(0, true)),
            (1, Action::CutWitness(1, true)),
            (4, Action::CutHolder(false)),
        ],
    ),
    ("holder killed", &[(1, Action::Kill)]),
    (
        "holder killed in an outage",
        &[(1, Action::Outage(true)), (2, Action::Kill), (5, Action::Outage(false))],
    ),
    ("holder paused", &[(1, Action::Pause), (8, Action::Resume)]),
];

/// Result of one schedule, or the sum over all schedules of a policy.
#[derive(Debug, Default)]
struct PolicyResult {
    /// Actions after which two processes could send orders; in a sum, schedules with any.
    violations: u64,
    /// Time units without an owner.
    without_owner: u64,
}

fn run(schedule: &[(u64, Action)], policy: Policy, revocation: RevocationPolicy) -> PolicyResult {
    let mut state = ModelState::new(WITNESSES, u8::MAX, policy, revocation);
    let start = state.now;
    let mut result = PolicyResult::default();
    while state.now < start + SCHEDULE_UNITS {
        let due = schedule.iter().filter(|(time, _)| start + time == state.now);
        let actions: Vec<Action> = due.map(|(_, action)| *action).collect();
        for action in actions.into_iter().chain(state.fair_round()) {
            state = state.apply(action).unwrap_or(state);
            result.violations += u64::from(state.is_violated());
        }
        result.without_owner += u64::from(!state.has_owner());
        state = state.apply(Action::Tick).expect("time can always advance");
    }
    result
}

#[test]
fn majority_policy_is_safe_and_without_an_owner_for_the_least_time() {
    let variants = [
        (Policy::StopAtTtl, RevocationPolicy::NoPromises),
        (Policy::NoConfirmations, RevocationPolicy::NoPromises),
        (Policy::AllWitnesses, RevocationPolicy::AllConditions),
        (Policy::Majority, RevocationPolicy::AllConditions),
    ];
    let mut totals = Vec::new();
    for (policy, revocation) in variants {
        let mut total = PolicyResult::default();
        for (name, schedule) in SCHEDULES {
            let PolicyResult { violations, without_owner } = run(schedule, policy, revocation);
            println!("{policy:?} | {name} | {} | {without_owner}", u8::from(violations > 0));
            total.violations += u64::from(violations > 0);
            total.without_owner += without_owner;
        }
        println!("{policy:?} | total | {} | {}", total.violations, total.without_owner);
        totals.push(total);
    }
    let [stop_at_ttl, no_confirmations, all_witnesses, majority] = totals.as_slice() else {
        panic!("expected four policies");
    };
    assert_eq!(majority.violations, 0);
    assert!(no_confirmations.violations > 0, "the schedules detect an unsafe policy");
    assert!(majority.without_owner < stop_at_ttl.without_owner);
    assert!(majority.without_owner <= all_witnesses.without_owner);
}
