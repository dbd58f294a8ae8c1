//! Permits for loads from the weight store.
//!
//! The owner of the load budget grants them: another process, or this one. If the owner does not
//! respond, a permit comes from this process's static share of the budget.

use super::settings::PlacementSettings;
use crate::{metrics::SchedulerMetrics, session::Session};
use rail_config::Fleet;
use rail_peer::ReplyStream;
use rail_peer::{PeerClient, PeerReply, PeerRequest, PermitReply, PermitRequest, ReplySender};
use rail_place::{PendingPermit, PermitId, PermitOwner, StoreLimits, TokenBucket};
use rail_platform::ConfigFollower;
use rail_runtime::MonotonicClock;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};

/// Name of the resource whose owner grants load permits.
pub const LOAD_BUDGET: &str = "load-budget";
/// Interval between grants while requests wait, and between attempts to acquire a permit.
const GRANT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks of the budget's ownership while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for sending a request to the owner of the budget, and again for the owner's reply that
/// the request is queued.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Burst size of the static share, in loads.
const SHARE_BURST: f64 = 1.0;
/// Tokens of the bucket that only urgent loads may use.
const URGENT_RESERVE: f64 = 1.0;

thread_local! {
    static CURRENT: RefCell<Option<PermitBroker>> = const { RefCell::new(None) };
}

/// Permit for one load; the load counts as finished when it is dropped.
#[expect(dead_code, reason = "the contents are held for their Drop")]
#[derive(Debug)]
pub enum Permit {
    /// Granted by another process, which counts the load as in flight until this call is dropped.
    Remote(ReplyStream),
    /// Granted by this process as the owner of the budget.
    Local(PermitEntry),
    /// Acquired from the static share, without the owner.
    Share,
    /// The placement policy requires no permits.
    NotRequired,
}

/// Acquires permits for this process, and grants them if it owns the budget; clones share their
/// state.
#[derive(Debug, Clone)]
pub struct PermitBroker {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    clock: MonotonicClock,
    peers: PeerClient,
    session: Session,
    config: ConfigFollower,
    metrics: SchedulerMetrics,
    /// Static share of the budget, used when the owner grants no permit.
    share: RefCell<TokenBucket>,
    /// Set while this process owns the budget.
    permit_table: RefCell<Option<PermitTable>>,
    /// Notified when a new request has to wait for its permit.
    requested: Notify,
}

/// Pending requests and loads in flight, while this process owns the budget.
#[derive(Debug)]
struct PermitTable {
    /// Fencing number of the ownership; entries of an earlier one are ignored.
    fence: u64,
    owner: PermitOwner,
    next_id: PermitId,
    waiters: BTreeMap<PermitId, oneshot::Sender<()>>,
}

/// A pending request or a load in flight in the [`PermitTable`]; removed when dropped.
#[derive(Debug)]
pub struct PermitEntry {
    state: Weak<State>,
    fence: u64,
    id: PermitId,
}

impl Drop for PermitEntry {
    fn drop(&mut self) {
        let Some(state) = self.state.upgrade() else {
            return;
        };
        let mut permit_table = state.permit_table.borrow_mut();
        if let Some(permit_table) =
            permit_table.as_mut().filter(|permit_table| permit_table.fence == self.fence)
        {
            permit_table.waiters.remove(&self.id);
            permit_table.owner.finish(self.id);
        }
    }
}

impl PermitBroker {
    /// Starts the broker of the current thread.
    pub fn spawn(
        clock: MonotonicClock,
        peers: PeerClient,
        session: Session,
        config: ConfigFollower,
        metrics: SchedulerMetrics,
    ) -> Self {
        let share = RefCell::new(TokenBucket::new(1.0, SHARE_BURST, clock.now()));
        let permit_table = RefCell::default();
        let requested = Notify::new();
        let state = Rc::new(State {
            clock,
            peers,
            session,
            config,
            metrics,
            share,
            permit_table,
            requested,
        });
        let broker = Self { state };
        CURRENT.set(Some(broker.clone()));
        let grant_task = broker.clone();
        actix_rt::spawn(async move {
            loop {
                let has_waiters = grant_task.tick();
                let interval = if has_waiters { GRANT_INTERVAL } else { IDLE_INTERVAL };
                // A new request switches to the short interval at once.
                let _requested = timeout(interval, grant_task.state.requested.notified()).await;
            }
        });
        broker
    }

    /// Returns the broker of the current thread; none before [`spawn`](Self::spawn).
    pub fn current() -> Option<Self> {
        CURRENT.with_borrow(Clone::clone)
    }

    /// Waits for a permit from the owner of the budget, or from the static share if the owner does
    /// not grant one.
    pub async fn acquire(&self, request: PermitRequest) -> Permit {
        if !PlacementSettings::current().policy.needs_permits() {
            return Permit::NotRequired;
        }
        loop {
            let permit = match self.budget_owner() {
                Some((_, true)) => self.acquire_locally(request).await,
                Some((address, false)) => self.acquire_from(address, request).await,
                None => None,
            };
            if let Some(permit) = permit {
                self.state.metrics.permits.count("owner");
                return permit;
            }
            if self.try_acquire_share() {
                self.state.metrics.permits.count("share");
                return Permit::Share;
            }
            actix_rt::time::sleep(GRANT_INTERVAL).await;
        }
    }

    /// Handles the permit request of a peer; the load ends when the peer drops the call.
    pub async fn serve(self, request: PermitRequest, mut replies: ReplySender) {
        let Some((entry, granted)) = self.add_pending(request) else {
            // A peer that was lost or has dropped the call needs no reply.
            let _closed = replies.send(&PeerReply::LoadPermit(PermitReply::NotOwner)).await;
            replies.finish();
            return;
        };
        if replies.send(&PeerReply::LoadPermit(PermitReply::Queued)).await.is_err() {
            return;
        }
        let is_granted = tokio::select! {
            granted = granted => granted.is_ok(),
            () = replies.closed() => false,
        };
        if is_granted && replies.send(&PeerReply::LoadPermit(PermitReply::Granted)).await.is_ok() {
            replies.closed().await;
        }
        drop(entry);
    }

    /// Returns the address of the budget's owner, and whether it is this process.
    fn budget_owner(&self) -> Option<(SocketAddr, bool)> {
        let record = self.state.session.resource_owner(LOAD_BUDGET)?;
        Some((record.address, self.state.session.is_own(&record)))
    }

    async fn acquire_locally(&self, request: PermitRequest) -> Option<Permit> {
        let (entry, granted) = self.add_pending(request)?;
        granted.await.ok()?;
        Some(Permit::Local(entry))
    }

    async fn acquire_from(&self, owner: SocketAddr, request: PermitRequest) -> Option<Permit> {
        let call = PeerRequest::LoadPermit(request);
        let call = timeout(OWNER_TIMEOUT, self.state.peers.call(owner, &call));
        let mut replies = call.await.ok()?.ok()?;
        let queued = timeout(OWNER_TIMEOUT, replies.next()).await.ok()?;
        if !matches!(queued, Ok(Some(PeerReply::LoadPermit(PermitReply::Queued)))) {
            return None;
        }
        let grant = replies.next().await;
        let is_granted = matches!(grant, Ok(Some(PeerReply::LoadPermit(PermitReply::Granted))));
        is_granted.then_some(Permit::Remote(replies))
    }

    /// Adds a pending request to the table; returns none if this process does not own the budget.
    fn add_pending(&self, request: PermitRequest) -> Option<(PermitEntry, oneshot::Receiver<()>)> {
        self.update_ownership();
        let now = self.state.clock.now();
        let mut permit_table = self.state.permit_table.borrow_mut();
        let permit_table = permit_table.as_mut()?;
        let (sender, granted) = oneshot::channel();
        let id = permit_table.next_id;
        permit_table.next_id += 1;
        let worth = request.worth_milli as f64 / 1000.0;
        permit_table
            .owner
            .request(id, PendingPermit { urgent: request.urgent, worth, requested_at: now });
        permit_table.waiters.insert(id, sender);
        permit_table.grant(now);
        if !permit_table.waiters.is_empty() {
            self.state.requested.notify_one();
        }
        let state = Rc::downgrade(&self.state);
        Some((PermitEntry { state, fence: permit_table.fence, id }, granted))
    }

    /// Grants permits up to the current limits; returns whether requests still wait.
    fn tick(&self) -> bool {
        self.update_ownership();
        let now = self.state.clock.now();
        let mut permit_table = self.state.permit_table.borrow_mut();
        let Some(permit_table) = permit_table.as_mut() else {
            return false;
        };
        permit_table.owner.set_limits(store_limits(&self.state.config.applied()), now);
        permit_table.grant(now);
        !permit_table.waiters.is_empty()
    }

    /// Creates a table with an empty token bucket when this process becomes the budget's owner;
    /// removes it when the ownership or the session is lost.
    fn update_ownership(&self) {
        let record = self.state.session.resource_owner(LOAD_BUDGET);
        let own = record.filter(|record| self.state.session.is_own(record));
        let fence = own.filter(|_| self.state.session.is_valid()).map(|record| record.fence);
        let mut permit_table = self.state.permit_table.borrow_mut();
        if permit_table.as_ref().map(|permit_table| permit_table.fence) == fence {
            return;
        }
        let limits = store_limits(&self.state.config.applied());
        *permit_table = fence.map(|fence| PermitTable {
            fence,
            owner: PermitOwner::new(limits, self.state.clock.now()),
            next_id: 0,
            waiters: BTreeMap::new(),
        });
    }

    fn try_acquire_share(&self) -> bool {
        let limits = store_limits(&self.state.config.applied());
        let rate = limits.rate_per_s / self.state.session.live_session_count() as f64;
        let now = self.state.clock.now();
        let mut share = self.state.share.borrow_mut();
        share.refill(now);
        share.set_rate(rate, SHARE_BURST);
        share.acquire(1.0).is_ok()
    }
}

impl PermitTable {
    fn grant(&mut self, now: Duration) {
        while let Some(id) = self.owner.grant(now) {
            let sent = self.waiters.remove(&id).is_some_and(|waiter| waiter.send(()).is_ok());
            if !sent {
                self.owner.finish(id);
            }
        }
    }
}

fn store_limits(fleet: &Fleet) -> StoreLimits {
    let budget = fleet.store_budget;
    let uses_objective = PlacementSettings::current().policy.uses_objective();
    StoreLimits {
        rate_per_s: f64::from(budget.loads_per_s),
        burst: f64::from(budget.at_once.max(1)),
        in_flight: budget.in_flight as usize,
        urgent_reserve: if uses_objective { URGENT_RESERVE } else { 0.0 },
    }
}
