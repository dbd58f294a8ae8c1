//! Quotas of workspaces: charges requests before they are sent, and settles with the host that
//! issues the quotas to all others.

use crate::{
    events::Event,
    node::{Node, SharedNode},
    quota_calls::{self, CallOutcome},
    reply::Failure,
    request::{CallerRequest, fail_request},
};
use actix_http::{Response, body::BoxBody};
use rail_place::owner::WorkShare;
use rail_runtime::time_since_boot;
use rail_site::CallerHeaders;
use rail_workspace::{
    Charge, HostQuotas, Quota, QuotaIssuer, QuotaReply, QuotaRequest, QuotaTolerance, Shortage,
    WaitingCharge, Workspace, WorkspaceName,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which an issuer lets its buckets fill.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a host without quotas checks whether there are some.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which callers are told to stay away on top of the wait for units, so that they
/// do not come back all at once.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Share of the target latency of a route for which its requests may wait for the issuer.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Longest such time, as the request may hold a slot of an engine meanwhile.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Bits of a message's number below the start of the process.
const SEQUENCE_BITS: u32 = 20;

/// Why a request is not charged, with the time after which it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The workspace has used up its quota.
    UsedUp(Duration),
    /// No issuer can be asked.
    NoIssuer(Duration),
}

/// A request that its quota refuses.
#[derive(Debug)]
pub struct RefusedCharge {
    charge: WaitingCharge,
    refusal: QuotaRefusal,
}

impl RefusedCharge {
    pub fn failure(&self) -> Failure {
        match self.refusal {
            QuotaRefusal::UsedUp(_) => Failure::OverQuota,
            QuotaRefusal::NoIssuer(_) => Failure::NoQuotaIssuer,
        }
    }

    fn wait(&self) -> Duration {
        let (QuotaRefusal::UsedUp(wait) | QuotaRefusal::NoIssuer(wait)) = self.refusal;
        wait
    }

    /// Returns the time after which the caller may try again: the wait, spread.
    pub fn retry_after(&self) -> Duration {
        self.wait().saturating_add(RETRY_SPREAD.mul_f64(rand::random()))
    }
}

/// A request that waits for the issuer.
#[derive(Debug)]
struct Waiting {
    charge: WaitingCharge,
    quota: Quota,
    /// Time until which it can wait, on the boot clock.
    until: Duration,
    decision: oneshot::Sender<Result<Charge, QuotaRefusal>>,
}

/// Quotas of the applied configuration.
#[derive(Debug, Default)]
struct KnownQuotas {
    config_version: u64,
    quotas: HashMap<WorkspaceName, Quota>,
    greatest_rate_per_s: f64,
}

/// What this host uses of the quotas, and what it issues to others.
#[derive(Debug)]
pub struct Quotas {
    /// Accounts of this host.
    pub accounts: RefCell<HostQuotas>,
    issuer: RefCell<QuotaIssuer>,
    known: RefCell<KnownQuotas>,
    waiting: RefCell<Vec<Waiting>>,
    /// Notified when a request waits for the issuer.
    has_waiting: Notify,
}

impl Quotas {
    /// Creates the accounts of a process. An earlier one may have used its credit until now, so
    /// this one has half of it for a window.
    pub fn open(host: &str, started_unix_ms: u64, tolerance: QuotaTolerance) -> Self {
        let first_sequence = started_unix_ms << SEQUENCE_BITS;
        let full_credit_from = time_since_boot() + tolerance.window;
        Self {
            accounts: RefCell::new(HostQuotas::new(host, first_sequence, full_credit_from)),
            issuer: RefCell::new(QuotaIssuer::new(started_unix_ms)),
            known: RefCell::default(),
            waiting: RefCell::default(),
            has_waiting: Notify::new(),
        }
    }

    /// Returns the share of the quotas that this host issues.
    pub fn issued_share(&self) -> f64 {
        self.issuer.borrow().share()
    }

    /// Returns the share of a workspace in the work of engines, whose weight is the rate of its
    /// quota. A workspace without a quota has the weight of the largest one.
    pub fn work_share(&self, workspace: &str) -> WorkShare {
        let known = self.known.borrow();
        let rate = known.quotas.get(workspace).map(|quota| quota.rate_per_s);
        let weight = rate.unwrap_or(known.greatest_rate_per_s).max(1.0) as u32;
        WorkShare { workspace: xxh3_64(workspace.as_bytes()), weight }
    }

    fn is_waited_for(&self, workspace: &WorkspaceName) -> bool {
        self.waiting.borrow().iter().any(|waiting| waiting.charge.workspace == *workspace)
    }

    /// Returns whether the applied configuration has quotas, after reading it if it is a new one.
    fn refresh(&self, node: &Node) -> bool {
        let mut known = self.known.borrow_mut();
        let routes = node.routes.borrow();
        let Some(routes) = routes.as_ref() else { return false };
        if known.config_version != routes.version {
            known.config_version = routes.version;
            let workspaces = routes.workspaces.iter().flat_map(|table| table.iter());
            let limited =
                workspaces.filter_map(|known| Some((Arc::clone(&known.name), known.quota?)));
            known.quotas = limited.collect();
            let rates = known.quotas.values().map(|quota| quota.rate_per_s);
            known.greatest_rate_per_s = rates.fold(0.0, f64::max);
        }
        !known.quotas.is_empty()
    }
}

/// Charge of a request, which is given back when it is dropped, unless the request may have run.
#[derive(Debug)]
pub struct QuotaCharge {
    node: SharedNode,
    workspace: WorkspaceName,
    quota: Quota,
    charge: Charge,
    is_used: Cell<bool>,
}

impl QuotaCharge {
    /// Records that the request may have run, so that its charge stays.
    pub fn keep(&self) {
        self.is_used.set(true);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.is_used.get() {
            return;
        }
        let node = &self.node;
        let time = self.quota.margin(node.bounds().quota).give_back_time;
        let mut accounts = node.quotas.accounts.borrow_mut();
        let is_back = accounts.give_back(&self.workspace, self.charge, time, time_since_boot());
        node.metrics.quota.decisions.count(if is_back { "given_back" } else { "not_given_back" });
    }
}

/// Checks when a request arrives whether the quota of its workspace is known to be used up.
///
/// # Errors
/// Returns why the request is refused.
pub fn check(
    node: &Node,
    headers: &CallerHeaders,
    workspace: Option<&Workspace>,
) -> Result<(), RefusedCharge> {
    let Some((charge, _)) = charge_of(headers, workspace) else { return Ok(()) };
    let now = time_since_boot();
    let checked = node.quotas.accounts.borrow_mut().check(&charge.workspace, charge.cost, now);
    checked.map_err(|wait| {
        node.metrics.quota.decisions.count("refused_at_once");
        record_units(node, &charge, false);
        RefusedCharge { charge, refusal: QuotaRefusal::UsedUp(wait) }
    })
}

/// Charges a request to the quota of its workspace before its first attempt, and waits for the
/// issuer if that is necessary. It is charged so late since a request that waits for an engine may
/// never run.
///
/// # Errors
/// Returns why the request is refused.
pub async fn charge(node: &SharedNode, request: &CallerRequest) -> Result<(), RefusedCharge> {
    let charged = charge_of(&request.parsed_headers, request.workspace.as_deref());
    let Some((charge, quota)) = charged.filter(|_| request.quota_charge.borrow().is_none()) else {
        return Ok(());
    };
    let (result, outcome) = match charge_now(node, &charge, &quota) {
        Ok(charge) => (Ok(charge), "on_credit"),
        Err(Shortage::UsedUp(wait)) => (Err(QuotaRefusal::UsedUp(wait)), "used_up"),
        Err(Shortage::NeedsIssuer) => {
            let max_wait = request.route.target_latency.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
            let result = wait_for_issuer(node, charge.clone(), quota, max_wait).await;
            let outcome = match result {
                Ok(_) => "granted",
                Err(QuotaRefusal::UsedUp(_)) => "used_up",
                Err(QuotaRefusal::NoIssuer(_)) => "no_issuer",
            };
            (result, outcome)
        }
    };
    node.metrics.quota.decisions.count(outcome);
    record_units(node, &charge, result.is_ok());
    match result {
        Ok(charged) => {
            let (node, workspace) = (Rc::clone(node), charge.workspace);
            let is_used = Cell::new(false);
            let charge = QuotaCharge { node, workspace, quota, charge: charged, is_used };
            request.quota_charge.replace(Some(charge));
            Ok(())
        }
        Err(refusal) => Err(RefusedCharge { charge, refusal }),
    }
}

/// Returns what a request costs its workspace, with the quota; `None` without a limit. A request
/// that another host passes on is charged here, since any caller can send the header of such
/// requests.
fn charge_of(
    headers: &CallerHeaders,
    workspace: Option<&Workspace>,
) -> Option<(WaitingCharge, Quota)> {
    let workspace = workspace?;
    let quota = workspace.quota?;
    let cost = quota.unit.cost(headers.stated_tokens());
    Some((WaitingCharge { workspace: Arc::clone(&workspace.name), cost }, quota))
}

/// Charges a request on credit, unless others of its workspace wait already.
fn charge_now(node: &Node, charge: &WaitingCharge, quota: &Quota) -> Result<Charge, Shortage> {
    if node.quotas.is_waited_for(&charge.workspace) {
        return Err(Shortage::NeedsIssuer);
    }
    try_charge(node, charge, quota)
}

fn try_charge(node: &Node, charge: &WaitingCharge, quota: &Quota) -> Result<Charge, Shortage> {
    let hosts = quota_calls::known_hosts(node).unwrap_or(usize::MAX);
    let credit = quota.host_credit(node.bounds().quota, hosts);
    let mut accounts = node.quotas.accounts.borrow_mut();
    accounts.charge(&charge.workspace, charge.cost, credit, time_since_boot())
}

async fn wait_for_issuer(
    node: &SharedNode,
    charge: WaitingCharge,
    quota: Quota,
    max_wait: Duration,
) -> Result<Charge, QuotaRefusal> {
    let (decision, receiver) = oneshot::channel();
    let until = time_since_boot() + max_wait;
    node.quotas.waiting.borrow_mut().push(Waiting { charge, quota, until, decision });
    node.quotas.has_waiting.notify_one();
    receiver.await.unwrap_or(Err(QuotaRefusal::NoIssuer(max_wait)))
}

fn record_units(node: &Node, charge: &WaitingCharge, is_charged: bool) {
    let mut labels = node.workspace_labels.borrow_mut();
    let label = labels.label(&charge.workspace);
    let units = if is_charged { &node.metrics.quota.charged } else { &node.metrics.quota.refused };
    units.add(label, charge.cost);
}

/// Ends a request that its quota refuses before its first attempt.
pub fn refuse(
    node: &SharedNode,
    request: &CallerRequest,
    refused: &RefusedCharge,
) -> Response<BoxBody> {
    record_refusal(node, &request.parsed_headers.request_id, refused);
    fail_request(node, request, refused.failure(), Some(refused.retry_after()), "")
}

/// Logs why a quota refuses a request.
pub fn record_refusal(node: &Node, request_id: &str, refused: &RefusedCharge) {
    let (failure, WaitingCharge { workspace, cost }) = (refused.failure(), &refused.charge);
    let accounts = node.quotas.accounts.borrow();
    let (credit_used, credit) = accounts.credit_used(workspace);
    let (issuer, issuer_age) = accounts.issuer(time_since_boot()).unwrap_or_default();
    node.events.important(&Event::QuotaRefusal {
        request: request_id,
        reason: failure.reason(),
        status: failure.status().as_u16(),
        config: node.config_version(),
        workspace,
        cost: *cost,
        credit,
        credit_used,
        issuer,
        issuer_age_ms: issuer_age.map(|age| age.as_millis() as u64),
        again_ms: refused.wait().as_millis() as u64,
    });
}

/// Serves the message of a host as the issuer of the quotas.
pub fn serve(node: &Node, request: &QuotaRequest) -> QuotaReply {
    node.quotas.refresh(node);
    let known = node.quotas.known.borrow();
    let find = |workspace: &str| known.quotas.get(workspace).copied();
    let (tolerance, hosts) = (node.bounds().quota, quota_calls::known_hosts(node));
    let mut issuer = node.quotas.issuer.borrow_mut();
    issuer.serve(request, find, tolerance, hosts, time_since_boot())
}

/// Spawns the tasks that settle with the issuer and let the own buckets fill.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(settle_forever(Rc::clone(node)));
    actix_rt::spawn(fill_buckets(Rc::clone(node)));
}

async fn fill_buckets(node: SharedNode) {
    loop {
        let is_active = node.quotas.issuer.borrow().is_active();
        tokio::time::sleep(if is_active { UPDATE_INTERVAL } else { CHECK_INTERVAL }).await;
        if !is_active || !node.quotas.refresh(&node) {
            continue;
        }
        let known = node.quotas.known.borrow();
        let quotas = known.quotas.iter().map(|(workspace, quota)| (workspace, *quota));
        let hosts = quota_calls::known_hosts(&node);
        node.quotas.issuer.borrow_mut().update(
            quotas,
            node.bounds().quota,
            hosts,
            time_since_boot(),
        );
    }
}

async fn settle_forever(node: SharedNode) {
    loop {
        if node.quotas.refresh(&node) {
            wait_for_call(&node).await;
            settle(&node).await;
        } else {
            refuse_overdue(&node, Duration::MAX);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Waits until a request waits for the issuer or the next regular call is due.
async fn wait_for_call(node: &Node) {
    if !node.quotas.waiting.borrow().is_empty() {
        return;
    }
    let now = time_since_boot();
    let wait = node.quotas.accounts.borrow().next_call_at(now).saturating_sub(now);
    tokio::select! {
        () = tokio::time::sleep(wait) => {}
        () = node.quotas.has_waiting.notified() => {}
    }
}

/// Makes one call to the issuer, and decides on the waiting requests by its reply.
async fn settle(node: &SharedNode) {
    refuse_overdue(node, time_since_boot());
    let call = quota_calls::next_call(node, &waiting_charges(node));
    let mut call = match call {
        Ok(call) => call,
        Err(wait) => {
            // Requests that can't wait for another issuer are refused at once.
            refuse_overdue(node, time_since_boot() + wait);
            tokio::time::sleep(wait.min(UPDATE_INTERVAL)).await;
            return;
        }
    };
    let mut outcome = quota_calls::call_issuer(node, &call).await;
    // One reply may be lost or late on a busy host; another issuer can't grant for a pledge's time.
    if outcome == CallOutcome::Silent
        && let Ok(repeated) = quota_calls::next_call(node, &waiting_charges(node))
    {
        call = repeated;
        outcome = quota_calls::call_issuer(node, &call).await;
    }
    node.metrics.quota.calls.count(outcome.name());
    let now = time_since_boot();
    match outcome {
        CallOutcome::Replied(reply) => {
            node.quotas.accounts.borrow_mut().apply_reply(&call, &reply, now);
            decide_waiting(node);
            node.quotas.accounts.borrow_mut().finish_reply(now);
        }
        CallOutcome::Silent => node.quotas.accounts.borrow_mut().record_silence(&call, now),
        CallOutcome::OldBuild => node.quotas.accounts.borrow_mut().record_old_build(&call, now),
    }
}

fn waiting_charges(node: &Node) -> Vec<WaitingCharge> {
    let mut waiting = node.quotas.waiting.borrow_mut();
    waiting.retain(|waiting| !waiting.decision.is_closed());
    waiting.iter().map(|waiting| waiting.charge.clone()).collect()
}

/// Refuses the requests that can't wait until a time.
fn refuse_overdue(node: &Node, time: Duration) {
    let now = time_since_boot();
    let overdue: Vec<Waiting> = {
        let mut waiting = node.quotas.waiting.borrow_mut();
        waiting.extract_if(.., |waiting| waiting.until < time).collect()
    };
    for waiting in overdue {
        let wait = if time == Duration::MAX { CHECK_INTERVAL } else { time.saturating_sub(now) };
        // Fails if the caller has left.
        let _left = waiting.decision.send(Err(QuotaRefusal::NoIssuer(wait)));
    }
}

/// Charges the waiting requests in their order, as far as the last reply allows.
fn decide_waiting(node: &Node) {
    let waiting = std::mem::take(&mut *node.quotas.waiting.borrow_mut());
    let mut undecided = Vec::new();
    for waiting in waiting.into_iter().filter(|waiting| !waiting.decision.is_closed()) {
        let decision = match try_charge(node, &waiting.charge, &waiting.quota) {
            Err(Shortage::NeedsIssuer) => {
                undecided.push(waiting);
                continue;
            }
            Err(Shortage::UsedUp(wait)) => Err(QuotaRefusal::UsedUp(wait)),
            Ok(charge) => Ok(charge),
        };
        if let Err(Ok(charge)) = waiting.decision.send(decision) {
            // The caller left just now.
            let mut accounts = node.quotas.accounts.borrow_mut();
            let name = &waiting.charge.workspace;
            accounts.give_back(name, charge, CHECK_INTERVAL, charge.charged_at);
        }
    }
    *node.quotas.waiting.borrow_mut() = undecided;
}
