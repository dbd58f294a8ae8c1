//! Placement without the daemons: engines for adapters, loads within a budget, and batches.

use rail_place::{
    EnginePlanner, LoadBudget, LoadDecision, Objective, PlannerConfig, Policy, Result, WorkItem,
    rank_engines,
};
use std::{collections::BTreeMap, process::ExitCode, time::Duration};

/// Engines to choose from.
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Adapters in the order of their requests; the first is asked for most.
const REQUESTS: [&str; 6] =
    ["alerts@v1", "ferries@v1", "alerts@v1", "summaries@v2", "alerts@v1", "alerts@v2"];
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(100);
/// Time that one load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Share of the longest pause after a failed load; a real program draws it at random.
const JITTER: f64 = 0.5;
/// Time after which the answer is of no use.
const DEADLINE: Duration = Duration::from_secs(30);
/// End of the run.
const ENDS_AT: Duration = Duration::from_secs(20);

/// A request that waits for the engine.
#[derive(Debug)]
struct Waiting {
    adapter: &'static str,
    arrived_at: Duration,
}

fn main() -> Result<ExitCode> {
    for adapter in ["alerts@v1", "ferries@v1", "summaries@v2"] {
        println!("{adapter}: {}", rank_engines(adapter, ENGINES.into_iter()).join(", "));
    }
    let Ok(objective) = Objective::new(1.0, 1.0) else {
        return Ok(ExitCode::FAILURE);
    };
    let shape = PlannerConfig { adapter_slots: 2, slots: 4, policy: Policy::default(), objective };
    let mut planner = EnginePlanner::new(shape);
    let mut budget = LoadBudget::new(2.0, 1.0, Duration::ZERO);
    let mut waiting: Vec<Waiting> =
        REQUESTS.map(|adapter| Waiting { adapter, arrived_at: Duration::ZERO }).into();
    let mut now = Duration::ZERO;
    let mut served = 0;
    while now < ENDS_AT && served < REQUESTS.len() {
        served += serve(&mut planner, &mut waiting, now)?;
        load(&mut planner, &mut budget, &waiting, now)?;
        now += STEP;
    }
    println!("served {served} of {} by {} ms", REQUESTS.len(), now.as_millis());
    Ok(if served == REQUESTS.len() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn items(waiting: &[Waiting]) -> Vec<WorkItem<'_>> {
    let item = |request: &'_ Waiting| WorkItem {
        adapter: request.adapter,
        urgent: true,
        arrived_at: request.arrived_at,
        deadline: request.arrived_at + DEADLINE,
    };
    waiting.iter().map(item).collect()
}

/// Runs what the planner dispatches; each request ends within its step here.
fn serve(planner: &mut EnginePlanner, waiting: &mut Vec<Waiting>, now: Duration) -> Result<usize> {
    let plan = planner.plan(&items(waiting), 0, now);
    let mut served = 0;
    for position in plan.dispatch.into_iter().rev() {
        let request = waiting.remove(position);
        // The ticket pins the adapter: it can't be evicted while the request runs.
        if let Some(ticket) = planner.residency_mut().acquire(request.adapter, now) {
            println!("{:>5} ms: run {}", now.as_millis(), request.adapter);
            planner.residency_mut().release(ticket)?;
            served += 1;
        } else {
            waiting.push(request);
        }
    }
    Ok(served)
}

/// Loads the adapter that is worth most, if the budget has a permit and a slot can be had.
fn load(
    planner: &mut EnginePlanner,
    budget: &mut LoadBudget,
    waiting: &[Waiting],
    now: Duration,
) -> Result<()> {
    let plan = planner.plan(&items(waiting), 0, now);
    let Some(wish) = plan.loads.first() else {
        return Ok(());
    };
    if budget.try_acquire(now).is_err() {
        return Ok(());
    }
    let mut counts = BTreeMap::new();
    for request in waiting {
        *counts.entry(request.adapter.to_owned()).or_insert(0) += 1;
    }
    match planner.residency().decide_load(&wish.adapter, &counts, now) {
        LoadDecision::Load => {}
        LoadDecision::Evict(victim) => {
            println!("{:>5} ms: evict {victim}", now.as_millis());
            let ticket = planner.residency_mut().start_evict(&victim, now)?;
            planner.residency_mut().finish_evict(ticket, true, now)?;
        }
        LoadDecision::Resident
        | LoadDecision::Loading
        | LoadDecision::Full
        | LoadDecision::BackOff(_) => {
            return Ok(());
        }
    }
    println!("{:>5} ms: load {}", now.as_millis(), wish.adapter);
    let ticket = planner.residency_mut().start_load(&wish.adapter, now)?;
    planner.residency_mut().finish_load(ticket, true, now + LOAD_TIME, JITTER)
}
