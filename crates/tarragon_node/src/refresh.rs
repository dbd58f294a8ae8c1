//! Asks the store and other hosts for newer records when those of this host get old.

use crate::{
    events::Event,
    feed,
    node::{Node, SharedNode},
    record_sources,
};
use futures_util::future::join_all;
use rail_member::{
    RecordKind, RefreshPlanner,
    refresh::{AGE_CHECK_INTERVAL, Round},
};
use rail_runtime::time_since_boot;
use std::{cell::RefCell, rc::Rc};
use tokio::task::JoinSet;

/// Spawns the task that compares the ages of records with their bounds.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(check_ages(Rc::clone(node)));
}

async fn check_ages(node: SharedNode) {
    let planner = Rc::new(RefCell::new(RefreshPlanner::new(&node.settings.host)));
    // Questions end when the set is replaced.
    let mut questions = JoinSet::new();
    let mut is_asking = false;
    loop {
        tokio::time::sleep(AGE_CHECK_INTERVAL).await;
        let mut running_time = node.running_time.get();
        running_time.record_check(time_since_boot());
        node.running_time.set(running_time);
        while questions.try_join_next().is_some() {}
        let old_kinds = node.old_kinds();
        if old_kinds.is_empty() {
            if std::mem::take(&mut is_asking) {
                planner.borrow_mut().stop();
                questions = JoinSet::new();
                node.events.important(&Event::Refreshed { record_ages: node.record_ages() });
            }
            continue;
        }
        let live = other_live_hosts(&node);
        let interval = node.record_bounds().budget(old_kinds[0]).round_interval();
        let round = planner.borrow_mut().poll(&live, interval, node.now());
        let Some(round) = round else { continue };
        if !std::mem::replace(&mut is_asking, true) {
            node.events.important(&Event::Refresh { record_ages: node.record_ages() });
        }
        ask(&node, &planner, &mut questions, round, &old_kinds);
    }
}

fn ask(
    node: &SharedNode,
    planner: &Rc<RefCell<RefreshPlanner>>,
    questions: &mut JoinSet<()>,
    round: Round,
    old_kinds: &[RecordKind],
) {
    if round.asks_store {
        let (node, planner) = (Rc::clone(node), Rc::clone(planner));
        let old_kinds = old_kinds.to_vec();
        // Not one of the questions that end early, since its result plans the next call.
        actix_rt::spawn(async move {
            let is_answered = ask_store(&node, &old_kinds).await;
            planner.borrow_mut().record_store_call(is_answered, node.now());
        });
    }
    for host in round.hosts {
        let (node, planner) = (Rc::clone(node), Rc::clone(planner));
        questions.spawn_local(async move {
            let result = feed::fetch_changes(&node, &host).await;
            planner.borrow_mut().record_end(&host);
            let result = result.map_or_else(|error| error.to_string(), |()| "fetched".to_owned());
            node.metrics.refreshes.count(&result);
        });
    }
}

/// Asks the store for the changes of these kinds, and returns whether it answered all calls. A
/// store that doesn't answer the first call is not asked for the other kinds.
async fn ask_store(node: &SharedNode, kinds: &[RecordKind]) -> bool {
    let Some((first, others)) = kinds.split_first() else { return true };
    if !record_sources::refresh_kind(node, *first).await {
        return false;
    }
    let is_answered =
        join_all(others.iter().map(|kind| record_sources::refresh_kind(node, *kind))).await;
    // The watches of a host that follows the store may wait on connections that have gone silent.
    node.store_health.restart_watches();
    is_answered.into_iter().all(|is_answered| is_answered)
}

fn other_live_hosts(node: &Node) -> Vec<String> {
    let hosts = node.hosts.borrow();
    let others = hosts.live(node.now()).filter(|heartbeat| heartbeat.host != node.settings.host);
    others.map(|heartbeat| heartbeat.host.clone()).collect()
}
