//! Load permits: asks the owner of the budget, or grants when this process owns it.

use super::settings::PlacementSettings;
use crate::{metrics::SchedulerMetrics, session::Session};
use rail_config::Fleet;
use rail_peer::ReplyStream;
use rail_peer::{PeerClient, PeerReply, PeerRequest, PermitReply, PermitRequest, ReplySender};
use rail_place::{LoadBudget, PendingPermit, PermitId, PermitOwner, StoreLimits};
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

/// Resource whose owner grants load permits.
pub const LOAD_BUDGET: &str = "load-budget";
/// Interval between looks at standing requests.
const TICK: Duration = Duration::from_millis(20);
/// Interval between looks at the ownership of the budget while nobody asks.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time in which the owner of the budget must take a request.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Loads of the static share that may start together.
const SHARE_BURST: f64 = 1.0;
/// Tokens that only urgent loads may use.
const URGENT_RESERVE: f64 = 1.0;

thread_local! {
    static CURRENT: RefCell<Option<PermitBroker>> = const { RefCell::new(None) };
}

/// Right to one load until dropped.
#[expect(dead_code, reason = "the contents are held for their Drop")]
#[derive(Debug)]
pub enum Permit {
    /// Granted by the owner, which counts the load until this call ends.
    Remote(ReplyStream),
    /// Granted by this process as the owner.
    Local(Standing),
    /// Taken from the static share, without the owner.
    Share,
    /// The policy asks for no permits.
    Free,
}

/// Gets permits; clones share their state.
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
    share: RefCell<LoadBudget>,
    desk: RefCell<Option<Desk>>,
    asked: Notify,
}

/// Requests at this process while it owns the budget.
#[derive(Debug)]
struct Desk {
    fence: u64,
    owner: PermitOwner,
    next_id: PermitId,
    waiters: BTreeMap<PermitId, oneshot::Sender<()>>,
}

/// A request or a load in flight at this process's desk; ends when dropped.
#[derive(Debug)]
pub struct Standing {
    state: Weak<State>,
    fence: u64,
    id: PermitId,
}

impl Drop for Standing {
    fn drop(&mut self) {
        let Some(state) = self.state.upgrade() else {
            return;
        };
        let mut desk = state.desk.borrow_mut();
        if let Some(desk) = desk.as_mut().filter(|desk| desk.fence == self.fence) {
            desk.waiters.remove(&self.id);
            desk.owner.finish(self.id);
        }
    }
}

impl PermitBroker {
    /// Starts the broker of this thread.
    pub fn spawn(
        clock: MonotonicClock,
        peers: PeerClient,
        session: Session,
        config: ConfigFollower,
        metrics: SchedulerMetrics,
    ) -> Self {
        let share = RefCell::new(LoadBudget::new(1.0, SHARE_BURST, clock.now()));
        let desk = RefCell::default();
        let asked = Notify::new();
        let state = Rc::new(State { clock, peers, session, config, metrics, share, desk, asked });
        let broker = Self { state };
        CURRENT.set(Some(broker.clone()));
        let ticks = broker.clone();
        actix_rt::spawn(async move {
            loop {
                let is_asked = ticks.tick();
                let pause = if is_asked { TICK } else { IDLE_TICK };
                // A new request starts the short ticks at once.
                let _asked = timeout(pause, ticks.state.asked.notified()).await;
            }
        });
        broker
    }

    /// Gives the broker of this thread, once it was spawned.
    pub fn current() -> Option<Self> {
        CURRENT.with_borrow(Clone::clone)
    }

    /// Waits for a permit; without an answer of the owner it comes from the static share.
    pub async fn acquire(&self, request: PermitRequest) -> Permit {
        if !PlacementSettings::current().policy.needs_permits() {
            return Permit::Free;
        }
        loop {
            let permit = match self.budget_owner() {
                Some((_, true)) => self.acquire_here(request).await,
                Some((address, false)) => self.acquire_from(address, request).await,
                None => None,
            };
            if let Some(permit) = permit {
                self.state.metrics.permits.count("owner");
                return permit;
            }
            if self.take_share() {
                self.state.metrics.permits.count("share");
                return Permit::Share;
            }
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Answers a peer that asks for a permit.
    pub async fn serve(self, request: PermitRequest, mut replies: ReplySender) {
        let Some((standing, granted)) = self.stand(request) else {
            // A peer that is gone needs no answer.
            let _gone = replies.send(&PeerReply::LoadPermit(PermitReply::NotOwner)).await;
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
        drop(standing);
    }

    /// Gives the address of the owner, and whether it is this process.
    fn budget_owner(&self) -> Option<(SocketAddr, bool)> {
        let record = self.state.session.resource_owner(LOAD_BUDGET)?;
        Some((record.address, self.state.session.is_own(&record)))
    }

    async fn acquire_here(&self, request: PermitRequest) -> Option<Permit> {
        let (standing, granted) = self.stand(request)?;
        granted.await.ok()?;
        Some(Permit::Local(standing))
    }

    async fn acquire_from(&self, owner: SocketAddr, request: PermitRequest) -> Option<Permit> {
        let call = PeerRequest::LoadPermit(request);
        let call = timeout(OWNER_TIMEOUT, self.state.peers.call(owner, &call));
        let mut replies = call.await.ok()?.ok()?;
        let first = timeout(OWNER_TIMEOUT, replies.next()).await.ok()?;
        if !matches!(first, Ok(Some(PeerReply::LoadPermit(PermitReply::Queued)))) {
            return None;
        }
        let second = replies.next().await;
        let is_granted = matches!(second, Ok(Some(PeerReply::LoadPermit(PermitReply::Granted))));
        is_granted.then_some(Permit::Remote(replies))
    }

    /// Adds a request at this process's desk; none when it does not own the budget.
    fn stand(&self, request: PermitRequest) -> Option<(Standing, oneshot::Receiver<()>)> {
        self.follow_ownership();
        let now = self.state.clock.now();
        let mut desk = self.state.desk.borrow_mut();
        let desk = desk.as_mut()?;
        let (sender, granted) = oneshot::channel();
        let id = desk.next_id;
        desk.next_id += 1;
        let worth = request.worth_milli as f64 / 1000.0;
        desk.owner.request(id, PendingPermit { urgent: request.urgent, worth, requested_at: now });
        desk.waiters.insert(id, sender);
        desk.grant(now);
        if !desk.waiters.is_empty() {
            self.state.asked.notify_one();
        }
        let state = Rc::downgrade(&self.state);
        Some((Standing { state, fence: desk.fence, id }, granted))
    }

    /// Grants what is free; returns whether requests still wait.
    fn tick(&self) -> bool {
        self.follow_ownership();
        let now = self.state.clock.now();
        let mut desk = self.state.desk.borrow_mut();
        let Some(desk) = desk.as_mut() else {
            return false;
        };
        desk.owner.set_limits(store_limits(&self.state.config.applied()), now);
        desk.grant(now);
        !desk.waiters.is_empty()
    }

    /// Opens a desk with an empty bucket on each new ownership; closes it when it is lost.
    fn follow_ownership(&self) {
        let record = self.state.session.resource_owner(LOAD_BUDGET);
        let own = record.filter(|record| self.state.session.is_own(record));
        let fence = own.filter(|_| self.state.session.is_in_force()).map(|record| record.fence);
        let mut desk = self.state.desk.borrow_mut();
        if desk.as_ref().map(|desk| desk.fence) == fence {
            return;
        }
        let limits = store_limits(&self.state.config.applied());
        *desk = fence.map(|fence| Desk {
            fence,
            owner: PermitOwner::new(limits, self.state.clock.now()),
            next_id: 0,
            waiters: BTreeMap::new(),
        });
    }

    fn take_share(&self) -> bool {
        let limits = store_limits(&self.state.config.applied());
        let rate = limits.rate_per_s / self.state.session.live_sessions() as f64;
        let now = self.state.clock.now();
        let mut share = self.state.share.borrow_mut();
        share.refill(now);
        share.set_rate(rate, SHARE_BURST);
        share.acquire(1.0).is_ok()
    }
}

impl Desk {
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
    let is_planned = PlacementSettings::current().policy.uses_objective();
    StoreLimits {
        rate_per_s: f64::from(budget.loads_per_s),
        burst: f64::from(budget.at_once.max(1)),
        in_flight: budget.in_flight as usize,
        urgent_reserve: if is_planned { URGENT_RESERVE } else { 0.0 },
    }
}
