//! Placement without the daemons: ranks engines for adapters, then loads adapters on one engine
//! within a budget and runs the requests in batches.

use rail_place::{
    EnginePlanner, LoadDecision, Objective, PlannerConfig, Policy, Result, TokenBucket, WorkItem,
    rank_engines,
};
use std::{collections::BTreeMap, process::ExitCode, time::Duration};

/// Engines that are ranked for each adapter.
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Requested adapter of each request; the first is requested most often.
const REQUESTS: [&str; 6] =
    ["alerts@v1", "ferries@v1", "alerts@v1", "summaries@v2", "alerts@v1", "alerts@v2"];
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(100);
/// Duration of one load.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Fraction of the maximum backoff after a failed load; a real program draws it at random.
const BACKOFF_JITTER: f64 = 0.5;
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// End of the simulation if some requests can't be served.
const END_TIME: Duration = Duration::from_secs(20);

/// A request that waits for dispatch.
#[derive(Debug)]
struct QueuedRequest {
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
    let config = PlannerConfig { adapter_slots: 2, slots: 4, policy: Policy::default(), objective };
    let mut planner = EnginePlanner::new(config);
    let mut budget = TokenBucket::new(2.0, 1.0, Duration::ZERO);
    let mut waiting: Vec<QueuedRequest> =
        REQUESTS.map(|adapter| QueuedRequest { adapter, arrived_at: Duration::ZERO }).into();
    let mut now = Duration::ZERO;
    let mut served = 0;
    while now < END_TIME && served < REQUESTS.len() {
        served += serve(&mut planner, &mut waiting, now)?;
        load_next(&mut planner, &mut budget, &waiting, now)?;
        now += STEP;
    }
    println!("served {served} of {} by {} ms", REQUESTS.len(), now.as_millis());
    Ok(if served == REQUESTS.len() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the waiting requests as input of the planner.
fn work_items(waiting: &[QueuedRequest]) -> Vec<WorkItem<'_>> {
    let item = |request: &'_ QueuedRequest| WorkItem {
        adapter: request.adapter,
        urgent: true,
        arrived_at: request.arrived_at,
        deadline: request.arrived_at + REQUEST_TIMEOUT,
    };
    waiting.iter().map(item).collect()
}

/// Runs the requests that the planner dispatches and returns their number. Each request ends
/// within its step here.
fn serve(
    planner: &mut EnginePlanner,
    waiting: &mut Vec<QueuedRequest>,
    now: Duration,
) -> Result<usize> {
    let plan = planner.plan(&work_items(waiting), 0, now);
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

/// Loads the adapter with the greatest worth if the budget has a permit and an adapter slot is free
/// or can be freed.
fn load_next(
    planner: &mut EnginePlanner,
    budget: &mut TokenBucket,
    waiting: &[QueuedRequest],
    now: Duration,
) -> Result<()> {
    let plan = planner.plan(&work_items(waiting), 0, now);
    let Some(request) = plan.loads.first() else {
        return Ok(());
    };
    if budget.try_acquire(now).is_err() {
        return Ok(());
    }
    let mut waiting_counts = BTreeMap::new();
    for waiting_request in waiting {
        *waiting_counts.entry(waiting_request.adapter.to_owned()).or_insert(0) += 1;
    }
    match planner.residency().decide_load(&request.adapter, &waiting_counts, now) {
        LoadDecision::Load => {}
        LoadDecision::Evict(evicted) => {
            println!("{:>5} ms: evict {evicted}", now.as_millis());
            let ticket = planner.residency_mut().start_evict(&evicted, now)?;
            planner.residency_mut().finish_evict(ticket, true, now)?;
        }
        LoadDecision::Resident
        | LoadDecision::Loading
        | LoadDecision::Full
        | LoadDecision::BackOff(_) => {
            return Ok(());
        }
    }
    println!("{:>5} ms: load {}", now.as_millis(), request.adapter);
    let ticket = planner.residency_mut().start_load(&request.adapter, now)?;
    planner.residency_mut().finish_load(ticket, true, now + LOAD_TIME, BACKOFF_JITTER)
}
