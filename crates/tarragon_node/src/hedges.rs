//! Second attempts beside slow ones, for requests to plain services that may run more than once.

use crate::{
    access,
    attempt::AttemptOptions,
    brittle_services,
    dispatch_calls::{self, InstanceRun},
    lost_runs,
    node::{Node, SharedNode},
    quarantine::Admission,
    request::CallerRequest,
    service_runs::{self, ServiceRun},
};
use rail_hedge::{
    AnswerTimes, AttemptEnd, HedgeBudget, HedgeInputs, NoHedge, Race, RaceStep, Racer, may_hedge,
};
use rail_route::{ChosenBy, RouteKind, ServiceId, Upstream, UpstreamId};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a request may wait for a second instance: it must have room at once.
const NO_WAIT: Duration = Duration::ZERO;

/// What this host measures of answers, and the second attempts that it has left.
#[derive(Debug, Default)]
pub struct Hedges {
    answer_times: RefCell<AnswerTimes>,
    budgets: RefCell<HashMap<ServiceId, HedgeBudget>>,
}

impl Hedges {
    /// Removes what is kept of routes and services that the configuration does not contain.
    pub fn prune(&self, node: &Node) {
        let Some(routes) = node.routes.borrow().clone() else { return };
        let is_route = |name: &str| routes.routes().any(|route| route.name == name);
        self.answer_times.borrow_mut().retain(is_route);
        self.budgets.borrow_mut().retain(|service, _| routes.services.contains_key(service));
    }
}

/// The attempt beside which a second one may be sent.
#[derive(Debug)]
pub struct FirstAttempt<'a> {
    /// Instance that runs the request.
    pub upstream: &'a Arc<Upstream>,
    /// Its run at the dispatcher of the service.
    pub run: Option<InstanceRun>,
    /// Permission under which the request runs.
    pub admission: &'a Admission,
    /// Attempts before this one that may have run.
    pub earlier_attempts: u32,
}

/// Result of an attempt, or of two.
pub struct HedgedRun {
    /// Instance that gave the result.
    pub upstream: Arc<Upstream>,
    /// The result.
    pub result: ServiceRun,
    /// Instance of the other attempt, if two were sent.
    pub other: Option<UpstreamId>,
}

/// Sends a request, and once more if its answer is slow. The first whole answer is the result; the
/// other attempt is cancelled. `usable` returns the instances that may run a second attempt.
pub async fn send(
    node: &SharedNode,
    request: &CallerRequest,
    first: FirstAttempt<'_>,
    usable: impl Fn() -> Vec<Arc<Upstream>>,
) -> HedgedRun {
    let Some(slow_after) = slow_after(node, request, first.earlier_attempts) else {
        let FirstAttempt { upstream, run, admission, .. } = first;
        let options = plain_options(admission, run.as_ref());
        let sent_at = Instant::now();
        let result = Box::pin(service_runs::send(node, request, upstream, run, options)).await;
        return finish(node, request, sent_at, Arc::clone(upstream), result, None);
    };
    // Two attempts take much memory, which most requests don't need.
    Box::pin(race(node, request, first, slow_after, usable)).await
}

async fn race(
    node: &SharedNode,
    request: &CallerRequest,
    first: FirstAttempt<'_>,
    slow_after: Duration,
    usable: impl Fn() -> Vec<Arc<Upstream>>,
) -> HedgedRun {
    let FirstAttempt { upstream, run, admission, earlier_attempts } = first;
    let options = plain_options(admission, run.as_ref());
    let attempts_before = request.attempts.get();
    let first_send = service_runs::send(node, request, upstream, run, options);
    let sent_at = Instant::now();
    let second_instance = RefCell::new(None);
    let is_sent = Cell::new(false);
    let second_send = async {
        tokio::time::sleep(slow_after).await;
        let second = SecondAttempt { admission, earlier_attempts, attempts_before, slow_after };
        let mut others = usable();
        others.retain(|other| other.id != upstream.id);
        let (second, run) = match second.acquire(node, request, &others).await {
            Ok(acquired) => acquired,
            Err(reason) => {
                node.metrics.hedges.count(reason.reason());
                return None;
            }
        };
        node.metrics.hedges.count("sent");
        *second_instance.borrow_mut() = Some(Arc::clone(&second));
        is_sent.set(true);
        // Only requests that are not suspected of crashes get here.
        let admission = Admission::default();
        let options = plain_options(&admission, run.as_ref());
        let result = service_runs::send(node, request, &second, run, options).await;
        Some((second, result))
    };
    let (mut first_send, mut second_send) =
        (std::pin::pin!(first_send), std::pin::pin!(second_send));
    let mut race = Race::default();
    tokio::select! {
        biased;
        result = &mut first_send => {
            let step = race.record(Racer::First, end_of(&result));
            if step == RaceStep::Deliver(Racer::First) || !is_sent.get() {
                let other: Option<Arc<Upstream>> = second_instance.borrow().clone();
                if other.is_some() {
                    node.metrics.hedges.count("cancelled");
                }
                let other = other.map(|other| other.id.clone());
                return finish(node, request, sent_at, Arc::clone(upstream), result, other);
            }
            let Some((second, second_result)) = second_send.await else {
                return finish(node, request, sent_at, Arc::clone(upstream), result, None);
            };
            let ends = ((Arc::clone(upstream), result), (second, second_result));
            settle(node, request, sent_at, &mut race, Racer::Second, ends).await
        }
        second = &mut second_send => {
            let Some((second, second_result)) = second else {
                let result = first_send.await;
                return finish(node, request, sent_at, Arc::clone(upstream), result, None);
            };
            let step = race.record(Racer::Second, end_of(&second_result));
            if step == RaceStep::Deliver(Racer::Second) {
                node.metrics.hedges.count("won");
                let other = Some(upstream.id.clone());
                return finish(node, request, sent_at, second, second_result, other);
            }
            let result = first_send.await;
            let ends = ((Arc::clone(upstream), result), (second, second_result));
            settle(node, request, sent_at, &mut race, Racer::First, ends).await
        }
    }
}

/// Returns the options of an attempt on an instance that a dispatcher has chosen if it has a run.
fn plain_options<'a>(admission: &'a Admission, run: Option<&InstanceRun>) -> AttemptOptions<'a> {
    let chosen_by = if run.is_some() { ChosenBy::Dispatcher } else { ChosenBy::Host };
    AttemptOptions { admission, chosen_by, version: None, resume_after: None }
}

/// An attempt that ended, with its instance.
type Ended = (Arc<Upstream>, ServiceRun);

/// Ends a request both attempts of which have ended, the one of `last` after the other had failed.
async fn settle(
    node: &SharedNode,
    request: &CallerRequest,
    sent_at: Instant,
    race: &mut Race,
    last: Racer,
    (first, second): (Ended, Ended),
) -> HedgedRun {
    let end = match last {
        Racer::First => end_of(&first.1),
        Racer::Second => end_of(&second.1),
    };
    let step = race.record(last, end);
    let is_second = match step {
        RaceStep::Deliver(racer) => racer == Racer::Second,
        // A request that may have run at the second instance must not end as one that has not run.
        RaceStep::GiveUp(_) | RaceStep::Wait | RaceStep::Ignore => {
            !first.1.may_have_run() && second.1.may_have_run()
        }
    };
    node.metrics.hedges.count(if is_second { "won" } else { "failed" });
    let ((upstream, result), (other, other_result)) =
        if is_second { (second, first) } else { (first, second) };
    if let ServiceRun::Lost(reason) = other_result {
        lost_runs::record_loss(node, request, &other, Admission::default(), reason).await;
    }
    let other = Some(other.id.clone());
    finish(node, request, sent_at, upstream, result, other)
}

/// Records how long a request took that was answered.
fn finish(
    node: &SharedNode,
    request: &CallerRequest,
    sent_at: Instant,
    upstream: Arc<Upstream>,
    result: ServiceRun,
    other: Option<UpstreamId>,
) -> HedgedRun {
    if !node.hedge_share().is_off() && end_of(&result) == AttemptEnd::Answered {
        let mut answer_times = node.hedges.answer_times.borrow_mut();
        answer_times.record(&request.route.name, sent_at.elapsed(), node.now());
    }
    HedgedRun { upstream, result, other }
}

fn end_of(result: &ServiceRun) -> AttemptEnd {
    if result.is_answer() { AttemptEnd::Answered } else { AttemptEnd::Failed }
}

/// Counts a request, and returns after which time its answer counts as slow; `None` if it gets no
/// second attempt in any case.
fn slow_after(node: &Node, request: &CallerRequest, earlier_attempts: u32) -> Option<Duration> {
    let share = node.hedge_share();
    if share.is_off() || request.route.kind != RouteKind::Idempotent {
        return None;
    }
    if earlier_attempts == 0 {
        let mut budgets = node.hedges.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(&request.service) {
            budget.record_request(share);
        } else {
            let mut budget = HedgeBudget::default();
            budget.record_request(share);
            budgets.insert(request.service.clone(), budget);
        }
    }
    let mut answer_times = node.hedges.answer_times.borrow_mut();
    answer_times.slow_after(&request.route.name, share, node.now())
}

/// A second attempt that is about to be sent.
struct SecondAttempt<'a> {
    admission: &'a Admission,
    earlier_attempts: u32,
    /// Attempts of the request before the first one of the two.
    attempts_before: u32,
    slow_after: Duration,
}

impl SecondAttempt<'_> {
    /// Decides whether the second attempt is sent, and where.
    async fn acquire(
        &self,
        node: &SharedNode,
        request: &CallerRequest,
        others: &[Arc<Upstream>],
    ) -> Result<(Arc<Upstream>, Option<InstanceRun>), NoHedge> {
        // Decided before the dispatcher is called, as the call has a cost too.
        self.decide(node, request, !others.is_empty())?;
        let ids: Vec<UpstreamId> = others.iter().map(|other| other.id.clone()).collect();
        let find = |id: &str| others.iter().find(|other| other.id == id).cloned();
        let acquired = match dispatch_calls::acquire(node, request, &ids, NO_WAIT).await {
            Ok(Some((id, run))) => find(&id).map(|upstream| (upstream, Some(run))),
            Ok(None) => {
                let load = |other: &Upstream| node.upstream_loads.estimate(&other.id);
                let has_room = |other: &&Arc<Upstream>| {
                    load(other) < f64::from(other.slots)
                        && brittle_services::may_send_alone(node, other)
                };
                let idle = others.iter().filter(has_room);
                let idle = idle.min_by(|a, b| load(a).total_cmp(&load(b)));
                idle.map(|upstream| (Arc::clone(upstream), None))
            }
            Err(_no_room) => None,
        };
        let acquired = acquired.ok_or(NoHedge::NoRoom)?;
        if !node.try_retry(&request.service) {
            return Err(NoHedge::OverShare);
        }
        if let Some(budget) = node.hedges.budgets.borrow_mut().get_mut(&request.service) {
            budget.record_hedge();
        }
        Ok(acquired)
    }

    fn decide(
        &self,
        node: &SharedNode,
        request: &CallerRequest,
        has_other: bool,
    ) -> Result<(), NoHedge> {
        if request.attempts.get() == self.attempts_before {
            return Err(NoHedge::NotSent);
        }
        let now = node.now();
        let share = node.hedge_share();
        let route = &request.route;
        let typical = node.hedges.answer_times.borrow_mut().typical(&route.name, now);
        let inputs = HedgeInputs {
            is_idempotent: route.kind == RouteKind::Idempotent,
            is_suspect: self.admission.trial_run().is_some() || self.admission.upstream.is_some(),
            is_key_valid: access::check_again(node, request).is_ok(),
            attempts: self.earlier_attempts + 1,
            max_attempts: route.max_attempts,
            time_left: request.time_left(),
            // An answer that has taken long is expected to take as long again.
            first_expected: self.slow_after,
            second_expected: typical.filter(|_| has_other),
        };
        let budgets = node.hedges.budgets.borrow();
        let budget = budgets.get(&request.service).ok_or(NoHedge::OverShare)?;
        may_hedge(&inputs, share, budget)
    }
}
